package gossip

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

const (
	// rosterInterval is the pause between two rosters of a relay, in milliseconds. While the
	// list has changed less than rosterNews ago, each round has one.
	rosterInterval = 3 * clock.Second
	rosterNews     = 5 * clock.Second
	// rosterMaxAge is how long a roster of a relay spares the other VMs reading the list from
	// the store, in milliseconds.
	rosterMaxAge = 15 * clock.Second
	// minStrangerPause is the pause after a read of the list before a message of a VM that is
	// not listed starts another, in milliseconds. It doubles, up to listInterval, while reads
	// bring nothing new.
	minStrangerPause = clock.Second
	// settleTime is how long the list must be unchanged after the registration of this VM
	// before it is taken for complete, in milliseconds, and settleTimeout the longest wait.
	settleTime    = clock.Millis(1500)
	settleTimeout = 6 * clock.Second
)

// roster is the latest list of VMs, from the store or another VM, with the state of its
// updates. It is immutable. The VMs that this one exchanges messages with may differ: they may
// have registered since.
type roster struct {
	list inner.List
	hash uint64
	// names holds the names in the list.
	names map[string]bool
	// readAt is the time of the last read of the list from the store, changedAt that at which the list
	// last differed from the one before.
	readAt    clock.Millis
	changedAt clock.Millis
	// source is the address of a VM that reported a later list, or "".
	source string
	// confirmedAt is the time of the last roster of a relay, sentAt that of the last one to
	// other VMs.
	confirmedAt clock.Millis
	sentAt      clock.Millis
	// strangerAfter is the time from which a message of a VM that is not listed starts a
	// read of the list, and strangerPause the present pause.
	strangerAfter clock.Millis
	strangerPause clock.Millis
	// registered is set once this VM has registered, at registeredAt. settled is set once the
	// list is taken for complete.
	registered   bool
	registeredAt clock.Millis
	settled      bool
}

// newRoster returns a roster without a list.
func newRoster() roster {
	return roster{strangerPause: minStrangerPause, confirmedAt: -rosterMaxAge, sentAt: -rosterInterval}
}

// withList takes a list, unless the present one is as late. It reports whether it did.
func (r roster) withList(l inner.List, now clock.Millis) (roster, bool) {
	if l.Version < r.list.Version {
		return r, false
	}
	hash := member.HashList(l.VMs)
	if hash != r.hash {
		r.changedAt, r.strangerPause = now, minStrangerPause
		r.names = make(map[string]bool, len(l.VMs))
		for _, v := range l.VMs {
			r.names[v.Name] = true
		}
	}
	r.list, r.hash = l, hash
	return r, true
}

// withRead records a read of the list from the store.
func (r roster) withRead(now clock.Millis) roster {
	r.readAt, r.strangerAfter = now, now+r.strangerPause
	r.strangerPause = min(2*r.strangerPause, listInterval)
	return r
}

// withRegistration records the registration of this VM. If it was listed before, it has
// restarted, and the list is that of an installation that runs.
func (r roster) withRegistration(now clock.Millis, listed bool) roster {
	r.registered, r.registeredAt, r.settled = true, now, listed
	return r
}

// withSettled sets settled if the list is to be taken for complete at time now.
func (r roster) withSettled(now clock.Millis) roster {
	sinceRegistration := now - r.registeredAt
	if r.registered && (sinceRegistration >= settleTimeout || min(sinceRegistration, now-r.changedAt) >= settleTime) {
		r.settled = true
	}
	return r
}

// isStranger reports whether a message of a VM is reason to read the list.
func (r roster) isStranger(name string, now clock.Millis) bool {
	return !r.names[name] && now >= r.strangerAfter
}

// isDue reports whether a relay sends the roster in a round at time now.
func (r roster) isDue(now clock.Millis) bool {
	return r.hash != 0 && (now-r.changedAt < rosterNews || now-r.sentAt >= rosterInterval)
}

// List returns the latest list of VMs, for another VM that asks for it.
func (m *Mesh) List() inner.List {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.list
}

// Settled reports whether the list of VMs is taken for complete. VMs that start together
// register one after the other, and each would take itself for a holder of most servers while
// it knows but a few others.
func (m *Mesh) Settled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster = m.roster.withSettled(m.options.Clock.Now())
	return m.roster.settled
}

// adoptList takes a list of VMs, unless the present one is later.
func (m *Mesh) adoptList(l inner.List) {
	m.mu.Lock()
	r, taken := m.roster.withList(l, m.options.Clock.Now())
	m.roster = r
	m.mu.Unlock()
	if taken {
		m.mergeList(l.VMs)
	}
}

// fetchList takes the list of the VM that reported a later one. It reports false if there is
// none, it does not answer, or this VM is not registered or missing in the list.
func (m *Mesh) fetchList(ctx context.Context) bool {
	m.mu.Lock()
	source := m.roster.source
	m.roster.source = ""
	usable := source != "" && m.registered && !m.unlisted && !m.leaving
	m.mu.Unlock()
	if !usable {
		return false
	}
	l, err := m.options.FetchListFunc(ctx, source)
	if err != nil {
		m.options.Log.Info("fetching the list of VMs from another VM failed", "address", source, "err", err)
		return false
	}
	m.adoptList(l)
	return hasName(l.VMs, m.options.Self.Name)
}

// listConfirmed reports whether a relay reports changes of the list to this VM, which then does
// not read the list from the store.
func (m *Mesh) listConfirmed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	inTouch := m.role == Follower && m.roster.names[m.options.Self.Name] && m.options.Clock.Now()-m.roster.confirmedAt < rosterMaxAge
	return inTouch && m.registered && !m.unlisted && !m.leaving
}

// mergeRoster records the roster of another VM. The list is read again if that is a later one, unless it
// has the same VMs, this one among them.
func (m *Mesh) mergeRoster(o inner.Roster) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[o.From]
	if p == nil || p.vm.Address == "" {
		return
	}
	m.roster.confirmedAt = m.options.Clock.Now()
	isUnlisted := m.registered && !m.leaving && !m.roster.names[m.options.Self.Name]
	if o.Version > m.roster.list.Version && (o.Hash != m.roster.hash || isUnlisted) {
		m.roster.source = p.vm.Address
		m.relistSoon()
	}
}

// rosterDatagramLocked returns the roster to send to other VMs in a round, or nil if this VM is
// no relay or none is due. The caller holds the lock.
func (m *Mesh) rosterDatagramLocked(now clock.Millis) []byte {
	if m.role != Relay || !m.roster.isDue(now) {
		return nil
	}
	m.roster.sentAt = now
	return m.encodeRosterLocked()
}

// strangerDatagramLocked returns the roster to send to a running VM that is not listed, or nil if none is
// due. If its row is gone, it learns so, and registers again. The caller holds the lock.
func (m *Mesh) strangerDatagramLocked(p *peer, now clock.Millis) []byte {
	isStranger := m.role == Equal && m.roster.hash != 0 && !m.roster.names[p.vm.Name] && !p.leaving && now-p.lastReceived < SilenceTimeout
	if !isStranger || now-p.rosterSentAt < rosterInterval {
		return nil
	}
	p.rosterSentAt = now
	return m.encodeRosterLocked()
}

// encodeRosterLocked encodes the roster. The caller holds the lock.
func (m *Mesh) encodeRosterLocked() []byte {
	return inner.Pack(inner.Encode(inner.KindRoster, inner.Roster{From: m.options.Self.Name, Version: m.roster.list.Version, Hash: m.roster.hash}))
}
