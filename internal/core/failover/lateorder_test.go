package failover

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/tenure"
)

// changeModel is a database group with one synchronous replica, its claim record, VMs that
// all hear of a release, and orders to promote that were not answered.
type changeModel struct {
	now     clock.Millis
	term    floor.Term
	primary string
	// stopped is set once the primary has stepped down.
	stopped bool
	logs    map[string]floor.ReplicationPosition
	sealed  map[string]bool
	// evacuated holds the servers of evacuated zones.
	evacuated map[string]bool
	// acknowledged is the furthest position that a VM acknowledged to a caller.
	acknowledged floor.ReplicationPosition
	// releasedUntil is the time until which the VMs do not use the term.
	releasedUntil clock.Millis
	claim         Claim
	orders        []lateOrder
	// attempt is that of the present claimant, which has ended if it is not active.
	attempt modelAttempt
}

// lateOrder is an order to promote a server, which may be performed before the time until.
type lateOrder struct {
	server string
	until  clock.Millis
}

type modelAttempt struct {
	active, released, ordered, inherited bool
	startedAt                            clock.Millis
	sealed                               map[string]bool
}

// working reports whether the claimant may send commands.
func (m *changeModel) working() bool {
	return m.attempt.active && m.now-m.attempt.startedAt <= AttemptTimeout && m.claim.Term == m.term
}

func (m *changeModel) wait(length clock.Millis) {
	m.now += length
	m.orders = slices.DeleteFunc(m.orders, func(o lateOrder) bool { return m.now >= o.until })
}

// startAttempt starts an attempt of the same VM, whose last one has ended, or of another.
func (m *changeModel) startAttempt() {
	if m.attempt.active && !m.claim.CanTakeOver("other", m.now, false) {
		return
	}
	next, ok := m.claim.WithHolder("a", m.term, m.primary, m.now)
	if !ok {
		return
	}
	m.claim = next
	m.attempt = modelAttempt{active: true, startedAt: m.now, inherited: next.Target != "", sealed: map[string]bool{}}
	if next.Target == "" {
		m.releasedUntil = m.now
	}
}

func (m *changeModel) seal(server string) {
	if !m.working() {
		return
	}
	m.attempt.sealed[server] = true
	if server == m.primary {
		m.stopped = true
		return
	}
	m.sealed[server] = true
}

func (m *changeModel) release() {
	if m.working() {
		m.attempt.released, m.releasedUntil = true, m.now+tenure.ClaimTimeout
	}
}

// order orders a promotion if the claimant may, whose seals are confirmed just before.
func (m *changeModel) order() {
	var known []Server
	for _, id := range []string{"p", "q", "r"} {
		s := Server{ID: id, FormerPrimary: id == m.primary, Evacuated: m.evacuated[id], Sealed: m.attempt.sealed[id] && (m.sealed[id] || id == m.primary)}
		if s.Sealed {
			s.LogEnd = m.logs[id]
		}
		known = append(known, s)
	}
	if !m.working() || !m.attempt.released || !SafeToPromote(known, 1) {
		return
	}
	target, _ := m.claim.PromotionTarget(known, 1, Acknowledged{Position: m.acknowledged, Complete: true})
	if target == "" || m.attempt.ordered && target != m.claim.Target {
		return
	}
	if !m.attempt.ordered {
		m.claim = m.claim.WithOrder(target, m.logs[target])
	}
	m.attempt.ordered = true
	m.orders = append(m.orders, lateOrder{server: target, until: m.attempt.startedAt + OrderTimeout})
}

func (m *changeModel) giveUp() {
	if !m.working() || m.attempt.ordered || m.attempt.inherited {
		return
	}
	clear(m.sealed)
	m.releasedUntil, m.attempt.active = m.now, false
}

// commit writes one entry. It is acknowledged if a replica that is not sealed receives it and
// the VMs use the term.
func (m *changeModel) commit(reaches func(server string) bool) {
	if m.stopped {
		return
	}
	end := floor.ReplicationPosition{Term: m.term, Position: m.logs[m.primary].Position + 1}
	m.logs[m.primary] = end
	received := false
	for _, id := range []string{"p", "q", "r"} {
		if id != m.primary && !m.sealed[id] && reaches(id) {
			m.logs[id], received = end, true
		}
	}
	if received && m.now >= m.releasedUntil {
		m.acknowledged = end
	}
}

// perform performs an order, and reports whether the server has all that was acknowledged.
func (m *changeModel) perform(i int, reaches func(server string) bool) bool {
	o := m.orders[i]
	m.orders = slices.Delete(m.orders, i, i+1)
	if o.server == m.primary && !m.stopped {
		return true
	}
	if !m.logs[o.server].Covers(m.acknowledged) {
		return false
	}
	m.term++
	m.primary, m.stopped, m.releasedUntil = o.server, false, m.now
	m.logs[o.server] = floor.ReplicationPosition{Term: m.term, Position: m.logs[o.server].Position}
	clear(m.sealed)
	for _, id := range []string{"p", "q", "r"} {
		if reaches(id) {
			m.logs[id] = m.logs[o.server]
		}
	}
	if len(m.orders) == 0 {
		m.claim = m.claim.WithoutOrder()
	}
	return true
}

// TestLateOrdersLoseNothing guards against the loss of acknowledged commits by an order to promote that takes effect long after its attempt.
func TestLateOrdersLoseNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &changeModel{evacuated: map[string]bool{}, now: 1, term: 1, primary: "p", logs: map[string]floor.ReplicationPosition{}, sealed: map[string]bool{}}
		for _, id := range []string{"p", "q", "r"} {
			m.logs[id] = floor.ReplicationPosition{Term: 1, Position: 1}
		}
		server := func() string { return rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "server") }
		reaches := func(id string) bool { return rapid.Bool().Draw(t, "reaches "+id) }
		steps := map[string]func(){
			"wait":    func() { m.wait(rapid.SampledFrom([]clock.Millis{100, 1000, SilentHolderTimeout}).Draw(t, "length")) },
			"claim":   func() { m.startAttempt() },
			"fail":    func() { m.attempt.active = false },
			"seal":    func() { m.seal(server()) },
			"restart": func() { delete(m.sealed, server()) },
			"release": func() { m.release() },
			"order":   func() { m.order() },
			"evacuate": func() {
				id := server()
				m.evacuated[id] = !m.evacuated[id]
			},
			"give up": func() { m.giveUp() },
			"attempt": func() {
				m.startAttempt()
				for _, id := range []string{"p", "q", "r"} {
					if reaches(id) {
						m.seal(id)
					}
				}
				m.release()
				m.order()
			},
			"commit": func() { m.commit(reaches) },
			"perform": func() {
				if len(m.orders) > 0 && !m.perform(rapid.IntRange(0, len(m.orders)-1).Draw(t, "order"), reaches) {
					t.Fatalf("an order takes effect at a server without what was acknowledged: %+v", m)
				}
			},
		}
		names := slices.Sorted(maps.Keys(steps))
		for range 200 {
			steps[rapid.SampledFrom(names).Draw(t, "step")]()
		}
	})
}
