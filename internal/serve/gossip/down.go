package gossip

import (
	"maps"
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

const (
	// maxDownSize is the size in bytes that the VMs which are down may take in a message.
	// More than fit are left out; whoever sends to those finds out by their silence.
	maxDownSize = 600
	// downReportMaxAge is how long a report of the VMs that are down counts.
	downReportMaxAge = 8 * clock.Second
)

// downList lists VMs that are registered and send no messages, and zones in which no VM
// does.
type downList struct {
	vms   []string
	zones []member.Zone
}

// downReport is the last report of a zone's VMs that are down.
type downReport struct {
	vms map[string]bool
	// all is set if no VM of the zone sends messages.
	all      bool
	received clock.Millis
}

// size returns an upper bound of the encoded size in bytes.
func (d downList) size() int {
	out := 0
	for _, name := range d.vms {
		out += textSize(name)
	}
	for _, zone := range d.zones {
		out += textSize(string(zone))
	}
	return out
}

// downOf returns what to report of the VMs of a scope. A relay gets messages from all VMs of
// its zone and from the relays of the others.
func (m *Mesh) downOf(s inner.Scope) downList {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	var out downList
	for name, p := range m.peers {
		if p.vm.Zone == m.options.Self.Zone && p.isDown(now) {
			out.vms = append(out.vms, name)
		}
	}
	if s == inner.ScopeAll {
		out.zones = m.silentZonesLocked(now)
		for zone, r := range m.downReports {
			if zone != m.options.Self.Zone && !slices.Contains(out.zones, zone) && now-r.received < downReportMaxAge {
				out.vms = slices.AppendSeq(out.vms, maps.Keys(r.vms))
			}
		}
	}
	slices.Sort(out.vms)
	for out.size() > maxDownSize && len(out.vms) > 0 {
		out.vms = out.vms[:len(out.vms)-1]
	}
	return out
}

// silentZonesLocked returns the other zones from which no message came within SilenceTimeout
// although one was sent there, sorted. A follower gets none from other zones, whatever it sent
// there before it followed. The caller holds the lock.
func (m *Mesh) silentZonesLocked(now clock.Millis) []member.Zone {
	if m.role == Follower {
		return nil
	}
	heard, asked := map[member.Zone]bool{m.options.Self.Zone: true, "": true}, map[member.Zone]bool{}
	for _, p := range m.peers {
		heard[p.vm.Zone] = heard[p.vm.Zone] || now-p.lastReceived < SilenceTimeout
		asked[p.vm.Zone] = asked[p.vm.Zone] || p.isDown(now)
	}
	var out []member.Zone
	for zone := range asked {
		if asked[zone] && !heard[zone] {
			out = append(out, zone)
		}
	}
	slices.Sort(out)
	return out
}

// mergeDown records the VMs that a relay reports as down: those of its own zone or, in a
// summary for the VMs of its zone, those of all zones.
func (m *Mesh) mergeDown(g inner.Gossip, d downList) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	zones := map[member.Zone]bool{g.Zone: true}
	if g.Scope == inner.ScopeAll {
		for _, p := range m.peers {
			zones[p.vm.Zone] = true
		}
	}
	for zone := range zones {
		m.downReports[zone] = downReport{vms: map[string]bool{}, all: slices.Contains(d.zones, zone), received: now}
	}
	for _, name := range d.vms {
		if p := m.peers[name]; p != nil && zones[p.vm.Zone] {
			m.downReports[p.vm.Zone].vms[name] = true
		}
	}
}

// reportedDownLocked reports whether a relay has reported a VM as down. The caller holds the
// lock.
func (m *Mesh) reportedDownLocked(v member.VM, now clock.Millis) bool {
	r, ok := m.downReports[v.Zone]
	return ok && now-r.received < downReportMaxAge && (r.all || r.vms[v.Name])
}
