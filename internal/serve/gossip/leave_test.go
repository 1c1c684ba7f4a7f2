package gossip

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// leavingMesh makes vm0 of a network leave. removed counts its removals from the list of VMs,
// which has every VM until then.
func leavingMesh(n *network) (m *Mesh, removed *int) {
	m, removed = n.meshes["vm0"], new(int)
	m.options.RemoveFunc = func(context.Context, member.VM) error { *removed++; return nil }
	m.options.ListFunc = func(context.Context) (inner.List, error) {
		l := inner.List{Version: 1}
		for _, other := range n.meshes {
			if *removed == 0 || other != m {
				l.VMs = append(l.VMs, other.options.Self)
			}
		}
		return l, nil
	}
	m.Leave()
	return m, removed
}

// TestStoppingVMIsKnown guards against a claimant that forgets a VM which is stopping, is cut off from it and still acknowledges commits.
func TestStoppingVMIsKnown(t *testing.T) {
	n := newNetwork(3)
	n.run(clock.Second)
	m, removed := leavingMesh(n)
	m.updateList(t.Context())
	if diff := cmp.Diff(0, *removed); diff != "" {
		t.Errorf("removals while the VM serves (-want +got):\n%s", diff)
	}
	n.cut["vm0"] = true
	n.run(2 * SilenceTimeout)
	claimant := n.meshes["vm1"]
	claimant.options.ListFunc = m.options.ListFunc
	if err := claimant.RefreshVMs(t.Context()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(3, claimant.KnownCount()); diff != "" {
		t.Errorf("known VMs (-want +got):\n%s", diff)
	}
}

// TestVMThatLeft guards against a claimant that awaits a VM which has left, or does not learn that what it acknowledged is forgotten.
func TestVMThatLeft(t *testing.T) {
	n := newNetwork(3)
	n.run(clock.Second)
	m, _ := leavingMesh(n)
	claimant := n.meshes["vm1"]
	claimant.options.ListFunc = m.options.ListFunc
	n.run(2 * SilenceTimeout)
	if diff := cmp.Diff([]member.VM{m.options.Self}, claimant.Leaving()); diff != "" {
		t.Errorf("leaving VMs while it serves (-want +got):\n%s", diff)
	}
	if err := m.Unregister(t.Context()); err != nil {
		t.Fatal(err)
	}
	n.cut["vm0"] = true
	n.run(2 * SilenceTimeout)
	// The limits of accounts are not divided by a VM that announced that it leaves.
	if diff := cmp.Diff([]int{3, 2}, []int{claimant.KnownCount(), claimant.ExpectedCount()}); diff != "" {
		t.Errorf("known and expected VMs before the list is read (-want +got):\n%s", diff)
	}
	if err := claimant.RefreshVMs(t.Context()); err != nil {
		t.Fatal(err)
	}
	now := n.clock.Clock().Now()
	if diff := cmp.Diff([]any{2, []member.VM(nil), now}, []any{claimant.KnownCount(), claimant.Leaving(), claimant.RemovedAt()}); diff != "" {
		t.Errorf("known VMs, leaving ones and time of the last removal (-want +got):\n%s", diff)
	}
}
