package gossip

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/overlay"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// network is a set of meshes on a fake clock. Messages arrive at once, but for those from
// and to the VMs that are cut off.
type network struct {
	clock  *clock.Fake
	meshes map[string]*Mesh
	cut    map[string]bool
	sent   map[string]int
	// content is called when a VM makes the content of a message.
	content func()
}

// newNetwork returns the meshes of VMs in three zones of two regions that all know each
// other.
func newNetwork(vms int) *network {
	n := &network{clock: clock.NewFake(100000), meshes: map[string]*Mesh{}, cut: map[string]bool{}, sent: map[string]int{}, content: func() {}}
	var list []member.VM
	for i := range vms {
		zone := i % 3
		list = append(list, member.VM{
			Name: fmt.Sprintf("vm%d", i), Address: fmt.Sprintf("vm%d", i), Zone: member.Zone(fmt.Sprintf("zone%d", zone)), Region: fmt.Sprintf("region%d", zone/2),
		})
	}
	for _, self := range list {
		n.meshes[self.Name] = New(Options{
			Self: self, Clock: n.clock.Clock(), Log: log.New(io.Discard), MaxDatagram: 1100,
			SendFunc: func(_ context.Context, address string, body []byte) error {
				n.sent[self.Name]++
				if !n.cut[self.Name] && !n.cut[address] {
					n.meshes[address].Receive(self.Name, body)
				}
				return nil
			},
			RestartedFunc: func(string) {}, BeginRoundFunc: func() {}, ReceiveFunc: func(inner.Gossip, func(clock.Millis) clock.Millis) {},
			ContentFunc: func(s inner.Scope) inner.Gossip {
				n.content()
				return inner.Gossip{Scope: s}
			},
		})
	}
	for _, m := range n.meshes {
		m.mergeList(list)
	}
	return n
}

// run lets time pass in rounds.
func (n *network) run(length clock.Millis) {
	for range length / interval {
		n.clock.Advance(interval)
		for i := range len(n.meshes) {
			n.meshes[fmt.Sprintf("vm%d", i)].round(context.Background())
		}
	}
}

func (n *network) isMember(at, name string) bool {
	for _, v := range n.meshes[at].Members() {
		if v.Name == name {
			return true
		}
	}
	return false
}

// TestSummariesCarryDownVMs cuts a VM off at 30 VMs. All others must learn of it from the
// relays, and that it is back.
func TestSummariesCarryDownVMs(t *testing.T) {
	for _, name := range []string{"vm5", "relay"} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(30)
			n.run(6 * clock.Second)
			if name == "relay" {
				name = n.meshes["vm0"].relays("zone0")[0]
			}
			for _, cut := range []bool{false, true, false} {
				n.cut[name] = cut
				n.run(8 * clock.Second)
				for other := range n.meshes {
					if other == name {
						continue
					}
					if diff := cmp.Diff(!cut, n.isMember(other, name)); diff != "" {
						t.Errorf("%s has %s as a member, which is cut off: %v (-want +got):\n%s", other, name, cut, diff)
					}
				}
			}
		})
	}
}

// TestSilentZone cuts all VMs of a zone off. The others must no longer count any of them as
// running, so that other VMs hold the connections to the servers there.
func TestSilentZone(t *testing.T) {
	n := newNetwork(30)
	n.run(6 * clock.Second)
	for name, m := range n.meshes {
		n.cut[name] = m.options.Self.Zone == "zone1"
	}
	n.run(9 * clock.Second)
	for name, m := range n.meshes {
		if n.cut[name] {
			continue
		}
		for _, v := range m.Members() {
			if v.Zone == "zone1" {
				t.Fatalf("%s has %s as a member", name, v.Name)
			}
		}
	}
}

// TestMessagesDoNotGrow counts the messages of a VM that is no relay at several sizes.
func TestMessagesDoNotGrow(t *testing.T) {
	got := map[int]int{}
	for _, vms := range []int{30, 90, 300} {
		n := newNetwork(vms)
		n.run(6 * clock.Second)
		clear(n.sent)
		n.run(3 * clock.Second)
		for name, m := range n.meshes {
			if m.Role() == Follower {
				got[vms] = max(got[vms], n.sent[name])
			}
		}
	}
	perRound := int(3*clock.Second/interval) * overlay.RelaysPerZone
	if diff := cmp.Diff(map[int]int{30: perRound, 90: perRound, 300: perRound}, got); diff != "" {
		t.Errorf("messages of a follower in 3 s (-want +got):\n%s", diff)
	}
}

// TestSuspendedRound suspends a VM after it has made the content of a message. What the
// message reports must not be taken for younger than it is.
func TestSuspendedRound(t *testing.T) {
	n := newNetwork(2)
	n.run(3 * clock.Second)
	var told clock.Millis
	n.meshes["vm1"].options.ReceiveFunc = func(_ inner.Gossip, toLocalTime func(clock.Millis) clock.Millis) { told = toLocalTime(0) }
	n.clock.Advance(interval)
	made := n.clock.Clock().Now()
	n.content = func() { n.clock.Advance(5000) }
	n.meshes["vm0"].round(context.Background())
	if told > made {
		t.Errorf("the content, made at %d, is taken for one of %d", made, told)
	}
}
