package gossip

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// relayOf returns the first relay of zone0 and the VMs of that zone that are no relays.
func relayOf(n *network) (*Mesh, []member.VM) {
	var relay *Mesh
	var followers []member.VM
	for _, m := range n.meshes {
		switch v := m.options.Self; {
		case v.Zone != "zone0":
		case m.IsFirstRelay(v.Name, v.Zone):
			relay = m
		case m.Role() == Follower:
			followers = append(followers, v)
		}
	}
	slices.SortFunc(followers, func(a, b member.VM) int { return strings.Compare(a.Name, b.Name) })
	return relay, followers
}

// TestFollowersAfterRestore guards against followers that stay unlisted after the store came back from a copy, since they read the list seldom.
func TestFollowersAfterRestore(t *testing.T) {
	n := newNetwork(30)
	n.run(5 * clock.Second)
	relay, followers := relayOf(n)
	gone, leaving := followers[0], followers[1]
	n.cut[gone.Name] = true
	n.run(2 * SilenceTimeout)
	n.meshes[leaving.Name].leaving = true
	n.run(clock.Second)
	var before []member.VM
	relay.options.AddFunc = func(_ context.Context, v member.VM) error { before = append(before, v); return nil }
	relay.registerFollowers(t.Context(), nil)
	if diff := cmp.Diff([]member.VM(nil), before); diff != "" {
		t.Errorf("registered without a restore (-want +got):\n%s", diff)
	}
	relay.StoreRestored()
	got := map[string]bool{}
	relay.options.AddFunc = func(_ context.Context, v member.VM) error { got[v.Name] = true; return nil }
	relay.registerFollowers(t.Context(), followers[2:3])
	want := map[string]bool{}
	for _, m := range n.meshes {
		if v := m.options.Self; v.Zone == "zone0" && v != relay.options.Self && v != gone && v != leaving && v != followers[2] {
			want[v.Name] = true
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("registered for others (-want +got):\n%s", diff)
	}
}

// TestUnlistedAfterRestore guards against a VM that a claimant forgets because a restored list lacks it.
func TestUnlistedAfterRestore(t *testing.T) {
	n := newNetwork(3)
	n.run(clock.Second)
	m := n.meshes["vm0"]
	n.cut["vm1"] = true
	n.run(2 * SilenceTimeout)
	m.StoreRestored()
	m.mergeList(nil)
	if diff := cmp.Diff(3, m.KnownCount()); diff != "" {
		t.Errorf("known VMs just after the restore (-want +got):\n%s", diff)
	}
	n.run(restoreTime + interval)
	m.mergeList(nil)
	if diff := cmp.Diff(2, m.KnownCount()); diff != "" {
		t.Errorf("known VMs later (-want +got):\n%s", diff)
	}
}

// TestLeavingVMAfterRestore guards against a VM that leaves and is listed for good because the store lost its removal.
func TestLeavingVMAfterRestore(t *testing.T) {
	self := member.VM{Name: "vm0", Zone: "a"}
	removed := make(chan struct{}, 8)
	m := New(Options{
		Self: self, Clock: clock.System(), ListFunc: func(context.Context) (inner.List, error) {
			return inner.List{VMs: []member.VM{self, {Name: "vm1"}}}, nil
		},
		RegisterFunc:   func(context.Context, member.VM) error { t.Error("registered while leaving"); return nil },
		RemoveFunc:     func(context.Context, member.VM) error { removed <- struct{}{}; return nil },
		RegisteredFunc: func() {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	m.Leave()
	if err := m.Unregister(ctx); err != nil {
		t.Fatal(err)
	}
	<-removed
	go func() {
		defer close(done)
		m.RunRegistration(ctx)
	}()
	m.StoreRestored()
	select {
	case <-removed:
	case <-time.After(20 * time.Second):
		t.Error("not removed again")
	}
	cancel()
	<-done
}
