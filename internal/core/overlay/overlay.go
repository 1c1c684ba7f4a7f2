// Package overlay decides which VMs send messages to which others. In a small installation
// each sends to every other. In a larger one the VMs of an availability zone send to the
// relays of their zone, which sum up what they receive: for the VMs of their zone, and for
// the relays of the other zones. So a VM that is no relay sends to RelaysPerZone others,
// however many there are, and the messages between zones do not grow with the VMs.
//
// All VMs choose the relays of a zone by the same hash, among those that are not known to
// be down, so that their choices agree without an election. A VM sends to both
// relays of its zone, so that the loss of one interrupts nothing.
package overlay

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

const (
	// MaxFullMesh is the number of VMs up to which each sends to every other.
	MaxFullMesh = 16
	// RelaysPerZone is the number of relays of a zone, as Relays chooses them. The second
	// takes over when the first fails.
	RelaysPerZone = 2
)

// Node is a VM as another one sees it.
type Node struct {
	Name string
	Zone member.Zone
	// SizeClass is greater for larger VMs, which are chosen as relays first.
	SizeClass int
	// Down is set if the VM is leaving or known not to answer. It is not chosen as a
	// relay then.
	Down bool
}

// Content is the subject of a message.
type Content uint8

// The contents.
const (
	// Own is about the sender.
	Own Content = iota
	// Zone is about the VMs of the sender's zone, for the relays of other zones.
	Zone
	// Summary is about all VMs, for those of the sender's zone.
	Summary
)

// Target is a VM to send to.
type Target struct {
	Name    string
	Content Content
}

// UsesRelays reports whether an installation of this many VMs is too large for each to send
// to every other.
func UsesRelays(vms int) bool { return vms > MaxFullMesh }

// Relays returns the names of the relays of a zone, the first relay first.
func Relays(nodes []Node, zone member.Zone) []string {
	var first, second candidate
	for i := range nodes {
		n := &nodes[i]
		if n.Zone != zone || n.Down {
			continue
		}
		switch c := (candidate{name: n.Name, sizeClass: n.SizeClass, score: relayScore(n.Name)}); {
		case c.precedes(first):
			first, second = c, first
		case c.precedes(second):
			second = c
		}
	}
	switch {
	case first.name == "":
		return nil
	case second.name == "":
		return []string{first.name}
	}
	return []string{first.name, second.name}
}

// candidate is a VM that may be a relay; without a name it stands for none.
type candidate struct {
	name      string
	sizeClass int
	score     uint64
}

// precedes reports whether a candidate is chosen before another one: the larger one or, of one
// class, that with the higher score.
func (c candidate) precedes(other candidate) bool {
	switch {
	case other.name == "":
		return true
	case c.sizeClass != other.sizeClass:
		return c.sizeClass > other.sizeClass
	case c.score != other.score:
		return c.score > other.score
	}
	return c.name < other.name
}

// relayScore ranks the VMs of a zone; the highest score is first.
func relayScore(name string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString("relay\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Targets returns the VMs to which self sends, which must be one of the nodes. A relay also
// sends to the VMs of its zone that are known to be down, since they may have come back.
func Targets(self string, nodes []Node) []Target {
	i := slices.IndexFunc(nodes, func(n Node) bool { return n.Name == self })
	if i < 0 {
		return nil
	}
	if !UsesRelays(len(nodes)) {
		return targets(self, Own, nodes, func(Node) bool { return true })
	}
	zone := nodes[i].Zone
	relays := Relays(nodes, zone)
	isOwnRelay := func(n Node) bool { return slices.Contains(relays, n.Name) }
	out := targets(self, Own, nodes, isOwnRelay)
	if !slices.Contains(relays, self) {
		return out
	}
	out = append(out, targets(self, Summary, nodes, func(n Node) bool { return n.Zone == zone && !isOwnRelay(n) })...)
	otherRelays := relaysOfOtherZones(nodes, zone)
	return append(out, targets(self, Zone, nodes, func(n Node) bool { return otherRelays[n.Name] })...)
}

// targets returns the nodes that match, without self, as targets of the content.
func targets(self string, c Content, nodes []Node, matches func(Node) bool) []Target {
	var out []Target
	for _, n := range nodes {
		if n.Name != self && matches(n) {
			out = append(out, Target{Name: n.Name, Content: c})
		}
	}
	return out
}

// relaysOfOtherZones returns the names of the relays of all zones but one.
func relaysOfOtherZones(nodes []Node, zone member.Zone) map[string]bool {
	out := map[string]bool{}
	zones := map[member.Zone]bool{zone: true, "": true}
	for _, n := range nodes {
		if zones[n.Zone] {
			continue
		}
		zones[n.Zone] = true
		for _, name := range Relays(nodes, n.Zone) {
			out[name] = true
		}
	}
	return out
}
