package frontend

import (
	"math"
	"strings"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/quota"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/gossip"
)

// contact is the contact with a source of usages: a VM, or the VMs of a zone.
type contact struct {
	quota.Contact
	// covered is the number of VMs that its last message covered, and lost is set once they no
	// longer count towards the reach.
	covered int
	lost    bool
}

// wholeReach is the reach from which all VMs count as reachable.
const wholeReach = 0.95

// currentReach returns the reach as of the last round, and the number of VMs that it covers.
func (l *limiter) currentReach() (reach, covered float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reach, l.covered
}

// setRole sets the role of a round. When the role changes, usages come from other sources, so the
// contacts are cleared. The caller holds the lock.
func (l *limiter) setRole(role gossip.Role, now clock.Millis) {
	if role == l.role {
		return
	}
	l.coveredBefore, l.roleChangedAt = l.covered, now
	clear(l.contacts)
	l.role = role
}

// updateReach determines the reach at time now, in a round. The caller holds the lock.
func (l *limiter) updateReach(vms int, now clock.Millis) {
	l.reachSince = l.hintedAt
	if l.role != gossip.Follower {
		l.reachSince = l.lostSince(now)
	}
	l.reach = l.reachAt(vms, now)
	l.covered = l.reach * float64(vms)
}

// reachAt returns the reach at time now. The caller holds the lock.
func (l *limiter) reachAt(vms int, now clock.Millis) float64 {
	known := float64(max(vms, 1))
	reach := 1 / known
	switch {
	case l.role != gossip.Follower:
		reach = float64(l.coveredVMs(now, func(string) bool { return true })) / known
	case now-l.hintedAt <= quota.HintMaxAge:
		reach = l.hintedReach
	}
	if now-l.roleChangedAt <= roleGrace {
		reach = max(reach, l.coveredBefore/known)
	}
	return min(reach, 1)
}

// roleGrace is the time after a change of role for which the number of VMs covered before still counts,
// in milliseconds. VMs send their messages to a new relay, and it sends its hints, within that time.
const roleGrace = clock.Millis(1500)

// lostSince returns the earliest time of the last message of a source that has gone out of reach since
// the previous call, or now if there is none. The caller holds the lock.
func (l *limiter) lostSince(now clock.Millis) clock.Millis {
	out := now
	for source, c := range l.contacts {
		lost := !c.InReach(now)
		if lost && !c.lost {
			out = min(out, c.Last)
		}
		c.lost = lost
		l.contacts[source] = c
	}
	return out
}

// coveredVMs returns the number of VMs in reach at time now, this one included, over the sources that
// match. The caller holds the lock.
func (l *limiter) coveredVMs(now clock.Millis, matches func(source string) bool) int {
	out := 1
	for source, c := range l.contacts {
		if source != selfName && c.InReach(now) && matches(source) {
			out += c.covered
		}
	}
	return out
}

// coverage returns the number of VMs that the usages of a scope cover, and the number of known VMs.
func (l *limiter) coverage(s inner.Scope) (covered, known int) {
	vms := l.vmCountFunc()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	switch s {
	case inner.ScopeZone:
		return l.coveredVMs(now, func(source string) bool { return !strings.HasPrefix(source, zonePrefix) }), vms
	case inner.ScopeAll:
		return int(math.Round(l.reach * float64(vms))), vms
	}
	return 1, vms
}

// recordContact records a message of a source that covers some VMs. The caller holds the lock.
func (l *limiter) recordContact(source string, covered int, far bool, now clock.Millis) contact {
	c := contact{Contact: l.contact(source).WithMessage(far, now), covered: covered}
	l.contacts[source] = c
	return c
}

// contact returns the contact with a source of usages. The caller holds the lock.
func (l *limiter) contact(source string) quota.Contact {
	c, ok := l.contacts[source]
	if !ok {
		past := l.clock.Now() - quota.SilenceTimeout
		return quota.Contact{Joined: past, Last: past}
	}
	return c.Contact
}

// partLogDelay is how long VMs must have been out of reach before that is logged, in milliseconds. It is
// longer than a change of relays takes.
const partLogDelay = clock.Millis(1500)

// observeReach sets the gauge of the reach, and logs when VMs go out of reach and when all are in reach
// again.
func (f *Frontend) observeReach() {
	reach, covered := f.limiter.currentReach()
	now := f.options.Clock.Now()
	f.reachGauge.Set(reach)
	fields := []any{"reach", reach, "vms", int(covered), "known", f.mesh.ExpectedCount(), "role", f.mesh.Role()}
	switch {
	case reach >= wholeReach && f.partLogged:
		f.options.Log.Info("limits of accounts are whole again", append(fields, "after_ms", now-f.partSince)...)
		f.partSince, f.partLogged = 0, false
	case reach >= wholeReach:
		f.partSince = 0
	case f.partSince == 0:
		f.partSince = now
	case !f.partLogged && now-f.partSince >= partLogDelay:
		f.options.Log.Warn("limits of accounts are divided: VMs are out of reach", fields...)
		f.partLogged = true
	}
}
