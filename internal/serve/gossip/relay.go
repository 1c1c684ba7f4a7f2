package gossip

import (
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/overlay"
)

// nodesLocked returns this VM and the known ones. The caller holds the lock.
func (m *Mesh) nodesLocked(now clock.Millis) []overlay.Node {
	out := make([]overlay.Node, 0, len(m.peers)+1)
	out = append(out, overlay.Node{Name: m.options.Self.Name, Zone: m.options.Self.Zone, SizeClass: m.options.Self.SizeClass()})
	for name, p := range m.peers {
		out = append(out, overlay.Node{Name: name, Zone: p.vm.Zone, SizeClass: p.vm.SizeClass(), Down: p.isDown(now)})
	}
	return out
}

// usesRelaysLocked reports whether there are too many VMs for each to send to every other.
// The caller holds the lock.
func (m *Mesh) usesRelaysLocked() bool { return overlay.UsesRelays(len(m.peers) + 1) }

// UsesRelays reports whether there are too many VMs for each to send to every other.
func (m *Mesh) UsesRelays() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usesRelaysLocked()
}

// relays returns the relays of a zone, the first relay first, as far as this VM knows.
// Different VMs may choose different ones for a time.
func (m *Mesh) relays(zone member.Zone) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return overlay.Relays(m.nodesLocked(m.options.Clock.Now()), zone)
}

// IsFirstRelay reports whether a VM is the first relay of its zone.
func (m *Mesh) IsFirstRelay(name string, zone member.Zone) bool {
	list := m.relays(zone)
	return len(list) > 0 && list[0] == name
}

// ReadsForRegion reports whether this VM reads from the store what the VMs of its region need:
// it is the first relay of the first zone of its region by name.
func (m *Mesh) ReadsForRegion() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	first := m.firstZoneLocked(now)
	if first != m.options.Self.Zone {
		return false
	}
	relays := overlay.Relays(m.nodesLocked(now), first)
	return len(relays) > 0 && relays[0] == m.options.Self.Name
}

// firstZoneLocked returns the first zone by name of this VM's region with a VM that is not down.
// The caller holds the lock.
func (m *Mesh) firstZoneLocked(now clock.Millis) member.Zone {
	first := m.options.Self.Zone
	for _, p := range m.peers {
		if p.vm.Region == m.options.Self.Region && p.vm.Zone != "" && p.vm.Zone < first && !p.isDown(now) {
			first = p.vm.Zone
		}
	}
	return first
}

// Upstreams returns the VMs from which this one gets the configuration that one VM reads for the region:
// the relays of its zone or, for such a relay, those of the first zone of its region. There are none
// while relays are not used, and for the VM that reads for its region.
func (m *Mesh) Upstreams() []member.VM {
	if !m.UsesRelays() || m.ReadsForRegion() {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	nodes := m.nodesLocked(now)
	names := overlay.Relays(nodes, m.options.Self.Zone)
	if slices.Contains(names, m.options.Self.Name) {
		names = overlay.Relays(nodes, m.firstZoneLocked(now))
	}
	var out []member.VM
	for _, name := range names {
		if p := m.peers[name]; p != nil {
			out = append(out, p.vm)
		}
	}
	return out
}

// FollowsRelay reports whether this VM is a follower and in touch with a relay: a message came
// within the last inTouchTime. The relay itself may have lost the store; its messages contain the
// age of its configuration.
func (m *Mesh) FollowsRelay() bool {
	if m.Role() != Follower {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	for _, p := range m.peers {
		if now-p.lastReceived < inTouchTime {
			return true
		}
	}
	return false
}

// inTouchTime is the time without a message of a relay after which a VM reads the store
// itself, in milliseconds.
const inTouchTime = clock.Millis(1200)

// Role is how a VM learns what the others know.
type Role uint8

// The roles.
const (
	// Equal is the role of each VM while relays are not used: it gets messages from all.
	Equal Role = iota
	// Relay is the role of a VM that gets messages from the VMs of its zone and from the
	// relays of the others, and passes on what they report.
	Relay
	// Follower is the role of a VM that gets messages from relays only.
	Follower
)

// String returns the role as in logs.
func (r Role) String() string { return [...]string{"equal", "relay", "follower"}[r] }

// Role returns the role of this VM.
func (m *Mesh) Role() Role {
	switch {
	case !m.UsesRelays():
		return Equal
	case slices.Contains(m.relays(m.options.Self.Zone), m.options.Self.Name):
		return Relay
	}
	return Follower
}
