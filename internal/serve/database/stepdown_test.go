package database

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// secondVM returns the group as served by another VM, vm2, which knows the same primary, and a
// function that exchanges the views of both VMs.
func (f *fakeGroup) secondVM(g *Group) (*Group, func()) {
	vms := func() []string { return []string{"vm", "vm2"} }
	g.options.LiveVMsFunc, g.options.ExpectedVMCountFunc = vms, func() int { return 2 }
	o := g.options
	o.Self = "vm2"
	other := NewGroup(o)
	other.Update([]Server{{ID: "p", Group: "g", Slots: 2}, {ID: "q", Group: "g", Slots: 2}, {ID: "r", Group: "g", Slots: 2}})
	other.probe(context.Background(), other.pools["p"])
	other.probe(context.Background(), other.pools["q"])
	exchange := func() {
		other.MergeView(Sender{VM: "vm", Process: 1}, g.View(), nil)
		g.MergeView(Sender{VM: "vm2", Process: 2}, other.View(), nil)
	}
	exchange()
	return other, exchange
}

// sealedAttempt returns an attempt of the group's VM to replace p in term 1, with these servers
// sealed.
func sealedAttempt(t *testing.T, g *Group, servers ...string) *claimAttempt {
	t.Helper()
	now := g.options.Clock.Now()
	a := &claimAttempt{group: g, term: 1, token: 5, formerPrimary: "p", startedAt: now, lastStep: now, sealedAt: now, sealed: map[string]seal{}}
	for _, id := range servers {
		a.sealServer(t.Context(), id, failover.Server{ID: id, FormerPrimary: id == "p"})
	}
	return a
}

// TestReleaseOutlastsStepDown guards against the loss of what a VM acknowledged because it dropped its release when the former primary had stepped down.
func TestReleaseOutlastsStepDown(t *testing.T) {
	f := &fakeGroup{logEnds: map[string]floor.Position{"p": 4, "r": 3}}
	g, _ := claimableGroup(t, f)
	other, exchange := f.secondVM(g)
	if err := other.recordCommit("p", floor.ReplicationPosition{Term: 1, Position: 3}, other.options.Clock.Now()); err != nil {
		t.Fatal(err)
	}
	a := sealedAttempt(t, g, "p", "q")
	g.options.GossipFunc = func() {
		g.options.GossipFunc = func() {}
		exchange()
		other.probe(t.Context(), other.pools["p"])
		exchange()
	}
	if err := a.awaitRelease(t.Context()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(floor.Position(3), other.View().Acknowledged); diff != "" {
		t.Errorf("reported as acknowledged (-want +got):\n%s", diff)
	}
	if err := a.promote(t.Context()); err != nil {
		t.Fatal(err)
	}
	_, promoted := f.claimCommands()
	if diff := cmp.Diff([]string{"p"}, promoted); diff != "" {
		t.Errorf("promoted servers (-want +got):\n%s", diff)
	}
}

// TestEndedReleaseDoesNotCount guards against a claimant that relies on the release of a VM that has ended it and acknowledges commits again.
func TestEndedReleaseDoesNotCount(t *testing.T) {
	f := &fakeGroup{}
	g := f.group(t, 4)
	f.secondVM(g)
	released := func(ended bool) bool {
		g.MergeView(Sender{VM: "vm2", Process: 2}, inner.GroupView{Group: "g", Term: 1, Leader: "p", ProofAge: -1, ReleasedToken: 5, ReleaseEnded: ended}, nil)
		return g.termReleased(5, g.options.Clock.Now())
	}
	if diff := cmp.Diff([]bool{true, false}, []bool{released(false), released(true)}); diff != "" {
		t.Errorf("released in force and ended (-want +got):\n%s", diff)
	}
}

// TestRebornPrimaryHasNotSteppedDown guards against a former primary that started anew without its log and is taken for one that has stepped down with everything it acknowledged.
func TestRebornPrimaryHasNotSteppedDown(t *testing.T) {
	f := &fakeGroup{logEnds: map[string]floor.Position{"r": 3}, unreachable: map[string]bool{"r": true}}
	g, _ := claimableGroup(t, f)
	f.mu.Lock()
	f.steppedDown, f.logEnds["p"] = true, 0
	f.mu.Unlock()
	g.Update([]Server{{ID: "p", Group: "g", Slots: 2, Born: 7}, {ID: "q", Group: "g", Slots: 2}, {ID: "r", Group: "g", Slots: 2}})
	a := sealedAttempt(t, g)
	a.stopFormer(t.Context())
	a.startSeals(t.Context(), g.failoverServers("p")).Wait()
	if diff := cmp.Diff([]bool{false, false}, []bool{a.formerStopped(), a.isSafe(g.failoverServers("p"))}); diff != "" {
		t.Errorf("stepped down and safe to promote (-want +got):\n%s", diff)
	}
}

// TestRestartedPrimaryStepsDown guards against a primary that started anew with its log, and leads again, but counts for nothing once it has stepped down.
func TestRestartedPrimaryStepsDown(t *testing.T) {
	f := &fakeGroup{logEnds: map[string]floor.Position{"p": 4}}
	g, _ := claimableGroup(t, f)
	g.Update([]Server{{ID: "p", Group: "g", Slots: 2, Born: 7}, {ID: "q", Group: "g", Slots: 2}, {ID: "r", Group: "g", Slots: 2}})
	g.probe(t.Context(), g.pools["p"])
	a := sealedAttempt(t, g)
	a.stopFormer(t.Context())
	if !a.formerStopped() {
		t.Error("the former primary counts as one that has not stepped down")
	}
}
