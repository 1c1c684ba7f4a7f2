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
	// meshMost is the number of VMs up to which each speaks to every other. Above it
	// a VM speaks to those of its zone, and the relays of the zones to each other.
	meshMost = 16
	// relays is the number of relays of a zone; the second is there when the first
	// is gone.
	relays = 2
	// lostTries is the number of unanswered messages from which a VM is passed over
	// as a relay.
	lostTries = 6
)

// route is what is sent to one VM.
type route struct {
	peer   *peer
	scopes []inner.Scope
}

// routes returns to whom this VM speaks, and of what.
func (m *Mesh) routes() []route {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []route
	if !m.large() {
		for _, p := range m.peers {
			out = append(out, route{peer: p, scopes: []inner.Scope{inner.ScopeVM}})
		}
		return out
	}
	now := m.options.Clock.Now()
	place := slices.Index(m.relaysOf(m.options.Self.Zone, now), m.options.Self.Name)
	others := map[string]bool{}
	for _, zone := range m.zones() {
		if place >= 0 && zone != m.options.Self.Zone {
			for _, name := range m.relaysOf(zone, now) {
				others[name] = true
			}
		}
	}
	for name, p := range m.peers {
		switch {
		case p.vm.Zone == m.options.Self.Zone && place == 0:
			out = append(out, route{peer: p, scopes: []inner.Scope{inner.ScopeVM, inner.ScopeRest}})
		case p.vm.Zone == m.options.Self.Zone:
			out = append(out, route{peer: p, scopes: []inner.Scope{inner.ScopeVM}})
		case others[name]:
			out = append(out, route{peer: p, scopes: []inner.Scope{inner.ScopeZone}})
		}
	}
	return out
}

// large reports whether there are too many VMs for all to speak to all. It needs
// the lock.
func (m *Mesh) large() bool { return len(m.peers)+1 > meshMost }

// Large is large for others.
func (m *Mesh) Large() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.large()
}

// IsRelay reports whether a VM is the first relay of its zone, as this VM sees it.
func (m *Mesh) IsRelay(name string, zone member.Zone) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.relaysOf(zone, m.options.Clock.Now())
	return len(list) > 0 && list[0] == name
}

// zones lists the zones of the VMs that are known. It needs the lock.
func (m *Mesh) zones() []member.Zone {
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

// relaysOf returns the relays of a zone, the first one first: those of its VMs that
// are heard, or have not yet been silent for long, in rendezvous order. It needs
// the lock.
func (m *Mesh) relaysOf(zone member.Zone, now clock.Millis) []string {
	var names []string
	if zone == m.options.Self.Zone {
		names = append(names, m.options.Self.Name)
	}
	for name, p := range m.peers {
		if p.vm.Zone == zone && !p.leaving && (now-p.heard < Absent || p.tries < lostTries) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := xxhash.Sum64String("relay\x00"+a), xxhash.Sum64String("relay\x00"+b)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return strings.Compare(a, b)
	})
	return names[:min(len(names), relays)]
}
