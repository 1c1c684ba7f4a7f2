package gossip

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// startingNetwork is a network whose VMs know only what they read from a store, which
// registers them one after the other.
type startingNetwork struct {
	*network
	list inner.List
	// nextUpdate is the time of the next update of the list by each VM.
	nextUpdate map[string]clock.Millis
}

// newStartingNetwork returns a network of VMs that have not started yet.
func newStartingNetwork(vms int) *startingNetwork {
	n := &startingNetwork{network: newNetwork(vms), nextUpdate: map[string]clock.Millis{}}
	for _, m := range n.meshes {
		m.peers = map[string]*peer{}
		m.options.RegisteredFunc = func() {}
		m.options.ListFunc = func(context.Context) (inner.List, error) { return n.list, nil }
		m.options.FetchListFunc = func(_ context.Context, address string) (inner.List, error) { return n.meshes[address].List(), nil }
		m.options.RegisterFunc = func(_ context.Context, v member.VM) error {
			n.list = inner.List{Version: n.list.Version + 1, VMs: append(append([]member.VM{}, n.list.VMs...), v)}
			return nil
		}
	}
	return n
}

// start starts the VMs from first to the one before last, pause milliseconds apart, while those that
// have started go on.
func (n *startingNetwork) start(first, last int, pause clock.Millis) {
	for i := first; i < last; i++ {
		n.nextUpdate[n.vmName(i)] = n.clock.Clock().Now()
		n.runStarted(pause)
	}
}

func (n *startingNetwork) vmName(i int) string { return fmt.Sprintf("vm%d", i) }

// runStarted lets time pass for the VMs that have started: an update of the list when it is due
// or asked for, and a round every interval.
func (n *startingNetwork) runStarted(length clock.Millis) {
	const step = clock.Millis(50)
	for range length / step {
		n.clock.Advance(step)
		now := n.clock.Clock().Now()
		for i := range len(n.meshes) {
			name := n.vmName(i)
			m, due := n.meshes[name], n.nextUpdate[name]
			if due == 0 {
				continue
			}
			select {
			case <-m.relist:
				due = now
			default:
			}
			if now >= due {
				n.nextUpdate[name] = now + m.updateList(context.Background())
			}
			if (now/step+clock.Millis(i))%(interval/step) == 0 {
				m.round(context.Background())
			}
		}
	}
}

// lists returns how many VMs each VM takes for running, by number of VMs.
func (n *startingNetwork) lists() map[int]int {
	out := map[int]int{}
	for _, m := range n.meshes {
		out[len(m.Members())]++
	}
	return out
}

// TestLateVMsBecomeKnown guards against VMs that choose holders among those registered when they started.
func TestLateVMsBecomeKnown(t *testing.T) {
	n := newStartingNetwork(90)
	n.start(0, 60, 50)
	n.runStarted(8 * clock.Second)
	n.start(60, 90, 50)
	n.runStarted(8 * clock.Second)
	if diff := cmp.Diff(map[int]int{90: 90}, n.lists()); diff != "" {
		t.Errorf("VMs by the number of VMs that they know (-want +got):\n%s", diff)
	}
}

// TestFollowerFindsNoSilentZones guards against followers that take a zone for down which did not answer before they followed a relay.
func TestFollowerFindsNoSilentZones(t *testing.T) {
	n := newStartingNetwork(30)
	var all []member.VM
	for i := range 30 {
		all = append(all, n.meshes[n.vmName(i)].options.Self)
	}
	m := n.meshes[n.vmName(0)]
	// vm1 is in another zone and has not started.
	n.cut[n.vmName(1)] = true
	m.mergeList(all[:2])
	for range fullRateTries {
		n.clock.Advance(interval)
		m.round(context.Background())
	}
	m.mergeList(all)
	m.round(context.Background())
	if diff := cmp.Diff(Follower, m.Role()); diff != "" {
		t.Fatalf("role (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(29, len(m.Members())); diff != "" {
		t.Errorf("VMs taken for running, of 30 with one down (-want +got):\n%s", diff)
	}
}

// TestUnsettledWhileVMsRegister guards against VMs that act as holders of most servers at a start.
func TestUnsettledWhileVMsRegister(t *testing.T) {
	n := newStartingNetwork(60)
	n.start(0, 60, 50)
	for name, m := range n.meshes {
		if m.Settled() && len(m.Members()) < 40 {
			t.Errorf("%s is settled and knows %d of 60 VMs", name, len(m.Members()))
		}
	}
	n.runStarted(settleTimeout)
	for name, m := range n.meshes {
		if !m.Settled() {
			t.Errorf("%s is not settled", name)
		}
	}
}

// TestSizeOfVMKnownFromMessages guards against VMs that choose different relays, since messages do not contain sizes.
func TestSizeOfVMKnownFromMessages(t *testing.T) {
	n := newNetwork(3)
	n.run(SilenceTimeout)
	var list []member.VM
	for i := range 3 {
		v := n.meshes[fmt.Sprintf("vm%d", i)].options.Self
		v.Size = 536
		list = append(list, v)
	}
	m := n.meshes["vm0"]
	m.adoptList(inner.List{Version: 1, VMs: list})
	for _, v := range m.Alive()[1:] {
		if diff := cmp.Diff(536, v.Size); diff != "" {
			t.Errorf("size of %s (-want +got):\n%s", v.Name, diff)
		}
	}
}

// TestVMRegistersAgain guards against a follower that stays unlisted because it reads the list from relays only.
func TestVMRegistersAgain(t *testing.T) {
	n := newStartingNetwork(30)
	n.start(0, 30, 50)
	n.runStarted(8 * clock.Second)
	lost := 0
	for n.meshes[n.vmName(lost)].Role() != Follower {
		lost++
	}
	vms := slices.DeleteFunc(slices.Clone(n.list.VMs), func(v member.VM) bool { return v.Name == n.vmName(lost) })
	n.list = inner.List{Version: n.list.Version + 1, VMs: vms}
	n.runStarted(2 * listInterval)
	if diff := cmp.Diff(30, len(n.list.VMs)); diff != "" {
		t.Errorf("registered VMs after a row was lost (-want +got):\n%s", diff)
	}
}

// TestSettledAfterRegistrationAtStart guards against a VM that never probes servers, because it had registered in the first millisecond of its clock.
func TestSettledAfterRegistrationAtStart(t *testing.T) {
	r := newRoster()
	before := r.withSettled(settleTimeout).settled
	after := r.withRegistration(0, false).withSettled(settleTimeout).settled
	if diff := cmp.Diff([]bool{false, true}, []bool{before, after}); diff != "" {
		t.Errorf("settled without a registration and after one (-want +got):\n%s", diff)
	}
}
