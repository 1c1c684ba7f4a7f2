package gossip

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

const (
	// maxFullMesh is the number of VMs up to which each sends to every other. Above it, a
	// VM sends to those of its zone, and the relays of the zones send to each other.
	maxFullMesh = 16
	// relaysPerZone is the number of relays of a zone. The second takes over when the
	// first fails.
	relaysPerZone = 2
	// maxRelayUnanswered is the number of unanswered rounds from which a VM that counts as
	// down is not chosen as a relay.
	maxRelayUnanswered = 6
)

// recipient is a VM to send to, and the scopes of the messages that it gets.
type recipient struct {
	peer   *peer
	scopes []inner.Scope
}

// recipients returns the VMs to which this VM sends, with the scopes of their messages.
// Only the first relay of a zone sends ScopeOtherZones to the VMs of its zone.
func (m *Mesh) recipients() []recipient {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []recipient
	if !m.usesRelaysLocked() {
		for _, p := range m.peers {
			out = append(out, recipient{peer: p, scopes: []inner.Scope{inner.ScopeVM}})
		}
		return out
	}
	now := m.options.Clock.Now()
	relayRank := slices.Index(m.relaysOfLocked(m.options.Self.Zone, now), m.options.Self.Name)
	otherRelays := map[string]bool{}
	for _, zone := range m.zonesLocked() {
		if relayRank >= 0 && zone != m.options.Self.Zone {
			for _, name := range m.relaysOfLocked(zone, now) {
				otherRelays[name] = true
			}
		}
	}
	for name, p := range m.peers {
		switch {
		case p.vm.Zone == m.options.Self.Zone && relayRank == 0:
			out = append(out, recipient{peer: p, scopes: []inner.Scope{inner.ScopeVM, inner.ScopeOtherZones}})
		case p.vm.Zone == m.options.Self.Zone:
			out = append(out, recipient{peer: p, scopes: []inner.Scope{inner.ScopeVM}})
		case otherRelays[name]:
			out = append(out, recipient{peer: p, scopes: []inner.Scope{inner.ScopeZone}})
		}
	}
	return out
}

// usesRelaysLocked reports whether there are too many VMs for each to send to every other.
// The caller holds the lock.
func (m *Mesh) usesRelaysLocked() bool { return len(m.peers)+1 > maxFullMesh }

// UsesRelays reports whether there are too many VMs for each to send to every other.
func (m *Mesh) UsesRelays() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usesRelaysLocked()
}

// IsFirstRelay reports whether a VM is the first relay of its zone, as far as this VM
// knows. Different VMs may choose different ones for a time.
func (m *Mesh) IsFirstRelay(name string, zone member.Zone) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.relaysOfLocked(zone, m.options.Clock.Now())
	return len(list) > 0 && list[0] == name
}

// zonesLocked returns the zones of the known VMs, sorted. The caller holds the lock.
func (m *Mesh) zonesLocked() []member.Zone {
	seen := map[member.Zone]bool{m.options.Self.Zone: true}
	for _, p := range m.peers {
		seen[p.vm.Zone] = true
	}
	out := make([]member.Zone, 0, len(seen))
	for z := range seen {
		out = append(out, z)
	}
	slices.Sort(out)
	return out
}

// relaysOfLocked returns the names of the relays of a zone, the first relay first: the VMs
// of the zone with the highest rendezvous scores. It passes over other VMs that are leaving,
// and those that count as down after maxRelayUnanswered unanswered rounds. The caller holds
// the lock.
func (m *Mesh) relaysOfLocked(zone member.Zone, now clock.Millis) []string {
	var relays []string
	if zone == m.options.Self.Zone {
		relays = append(relays, m.options.Self.Name)
	}
	for name, p := range m.peers {
		if p.vm.Zone == zone && !p.leaving && (now-p.lastReceived < SilenceTimeout || p.unanswered < maxRelayUnanswered) {
			relays = append(relays, name)
		}
	}
	slices.SortFunc(relays, func(a, b string) int {
		x, y := xxhash.Sum64String("relay\x00"+a), xxhash.Sum64String("relay\x00"+b)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return strings.Compare(a, b)
	})
	return relays[:min(len(relays), relaysPerZone)]
}
