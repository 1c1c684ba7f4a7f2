package overlay

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// zoneCount is the number of zones of the installations in the tests.
const zoneCount = 6

// nodesOf returns an installation of this many VMs.
func nodesOf(vms int) []Node {
	out := make([]Node, vms)
	for i := range out {
		out[i] = Node{Name: fmt.Sprintf("vm%d", i), Zone: member.Zone(fmt.Sprintf("zone%d", i%zoneCount))}
	}
	return out
}

// reached returns the VMs that get a message of one VM, directly or passed on by relays.
func reached(from string, nodes []Node) map[string]bool {
	out := map[string]bool{from: true}
	pending := []string{from}
	for len(pending) > 0 {
		name := pending[0]
		pending = pending[1:]
		for _, t := range Targets(name, nodes) {
			if !out[t.Name] {
				out[t.Name] = true
				pending = append(pending, t.Name)
			}
		}
	}
	return out
}

// TestEveryVMIsReached marks any VMs as down and checks that each of the others learns what
// each knows, at several sizes.
func TestEveryVMIsReached(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := nodesOf(rapid.SampledFrom([]int{1, 3, 16, 17, 30, 90}).Draw(t, "vms"))
		for i := range nodes {
			nodes[i].Down = rapid.IntRange(0, 2).Draw(t, "state") == 0
		}
		from := rapid.IntRange(0, len(nodes)-1).Draw(t, "from")
		if nodes[from].Down {
			return
		}
		got := reached(nodes[from].Name, nodes)
		for _, n := range nodes {
			if !n.Down && !got[n.Name] {
				t.Errorf("%s does not learn what %s knows", n.Name, nodes[from].Name)
			}
		}
	})
}

// TestTargetsDoNotGrow checks that a VM that is no relay sends to as many others at 900 VMs
// as at 30, and that a relay sends only to its zone and the relays of the others.
func TestTargetsDoNotGrow(t *testing.T) {
	for _, vms := range []int{30, 300, 900} {
		nodes := nodesOf(vms)
		most := map[bool]int{}
		for _, n := range nodes {
			relay := cmp.Equal([]string{n.Name}, Relays(nodes, n.Zone)[:1]) || cmp.Equal([]string{n.Name}, Relays(nodes, n.Zone)[1:])
			most[relay] = max(most[relay], len(Targets(n.Name, nodes)))
		}
		want := map[bool]int{false: RelaysPerZone, true: vms/zoneCount - 1 + RelaysPerZone*(zoneCount-1)}
		if diff := cmp.Diff(want, most); diff != "" {
			t.Errorf("%d VMs: most targets of others and of relays (-want +got):\n%s", vms, diff)
		}
	}
}

// TestDownRelay checks that a relay that is down is replaced, and gets messages again only
// as one of the VMs of its zone.
func TestDownRelay(t *testing.T) {
	nodes := nodesOf(60)
	before := Relays(nodes, "zone0")
	for i := range nodes {
		nodes[i].Down = nodes[i].Name == before[0]
	}
	after := Relays(nodes, "zone0")
	if diff := cmp.Diff(before[1], after[0]); diff != "" {
		t.Errorf("first relay (-want +got):\n%s", diff)
	}
	for _, target := range Targets(after[0], nodes) {
		if target.Name == before[0] {
			if diff := cmp.Diff(Summary, target.Content); diff != "" {
				t.Errorf("content for the relay that is down (-want +got):\n%s", diff)
			}
			return
		}
	}
	t.Error("the relay that is down gets no message")
}
