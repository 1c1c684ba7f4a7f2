package database

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/tenure"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// laggingGroup returns a group with r out of reach of commands, so that only the log of the
// former primary shows what q lacks.
func laggingGroup(t *testing.T, f *fakeGroup, p, q floor.Position) *Group {
	t.Helper()
	f.unreachable = map[string]bool{"r": true}
	f.logEnds = map[string]floor.Position{"p": p, "q": q, "r": p}
	g, _ := claimableGroup(t, f)
	return g
}

// advance lets the logs of p and r reach a position that q does not get.
func (f *fakeGroup) advance(end floor.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logEnds["p"], f.logEnds["r"] = end, end
}

// releaseFromProcess lets a process of vm2 release the term for each claim, and say that it
// has acknowledged nothing.
func releaseFromProcess(g *Group, process uint64) {
	g.options.LiveVMsFunc = func() []string { return []string{"vm", "vm2"} }
	g.options.ExpectedVMCountFunc = func() int { return 2 }
	report := func() {
		g.mu.Lock()
		token := g.releasedToken
		g.mu.Unlock()
		view := inner.GroupView{Group: "g", Term: 1, Leader: "p", ProofAge: -1, PrimaryLost: true, ReleasedToken: token}
		g.MergeView(Sender{VM: "vm2", Process: process}, view, nil)
	}
	report()
	g.options.GossipFunc = func() { go report() }
}

// expectPromoted lets this VM lose the primary, which can still be told to step down, and
// checks which server it promotes.
func expectPromoted(t *testing.T, f *fakeGroup, g *Group, want string) {
	t.Helper()
	f.promoteFunc = func() { f.leading = f.promoted[0] }
	for g.primaryRecovered() {
		_ = g.options.Clock.Sleep(t.Context(), pollPause)
	}
	g.attemptClaim(t.Context())
	_, promoted := f.claimCommands()
	if diff := cmp.Diff([]string{want}, promoted); diff != "" {
		t.Errorf("promoted servers (-want +got):\n%s", diff)
	}
}

// awaitSample runs the group until the position of the primary is known at a later time than now.
func (f *fakeGroup) awaitSample(g *Group) {
	since := g.options.Clock.Now()
	f.runTicks(g, testTimeout, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.watch.Report().PositionAt > since
	})
}

// TestCommitsOfRestartedVM guards against the loss of commits whose VM has restarted before the claim and reports none.
func TestCommitsOfRestartedVM(t *testing.T) {
	for name, sampled := range map[string]bool{"position of the primary known since": true, "not known": false} {
		t.Run(name, func(t *testing.T) {
			f := &fakeGroup{}
			g := laggingGroup(t, f, 2, 2)
			releaseFromProcess(g, 1)
			f.awaitSample(g)
			f.advance(5)
			releaseFromProcess(g, 2)
			if sampled {
				f.awaitSample(g)
			}
			expectPromoted(t, f, g, "p")
		})
	}
}

// TestCommitsBeforeClaimantStarted guards against the loss of commits that an earlier process of the claimant acknowledged.
func TestCommitsBeforeClaimantStarted(t *testing.T) {
	f := &fakeGroup{}
	g := laggingGroup(t, f, 5, 2)
	expectPromoted(t, f, g, "p")
}

// TestCommitsBeforeAllVMsStarted guards against the loss of commits after which every VM has restarted.
func TestCommitsBeforeAllVMsStarted(t *testing.T) {
	f := &fakeGroup{}
	g := laggingGroup(t, f, 5, 2)
	releaseFromProcess(g, 1)
	f.awaitSample(g)
	expectPromoted(t, f, g, "p")
}

// TestUnacknowledgedEntries guards against the promotion of a primary that was cut off from its replicas, for entries that nobody acknowledged.
func TestUnacknowledgedEntries(t *testing.T) {
	f := &fakeGroup{}
	g := laggingGroup(t, f, 2, 2)
	releaseFromProcess(g, 1)
	f.awaitSample(g)
	f.advance(9)
	f.awaitSample(g)
	expectPromoted(t, f, g, "q")
}

// TestReportOutlivesItsProcess guards against the loss of a position that a VM reported for a claim, because the VM restarts before the claim ends.
func TestReportOutlivesItsProcess(t *testing.T) {
	f := &fakeGroup{}
	g := f.group(t, 4)
	view := inner.GroupView{Group: "g", Term: 1, Leader: "p", ProofAge: -1, ReleasedToken: 5, AcknowledgedTerm: 1, Acknowledged: 7}
	g.MergeView(Sender{VM: "vm2", Process: 1}, view, nil)
	view.ReleasedToken, view.Acknowledged = 0, 0
	g.MergeView(Sender{VM: "vm2", Process: 2}, view, nil)
	if diff := cmp.Diff(floor.ReplicationPosition{Term: 1, Position: 7}, g.acknowledgedPosition()); diff != "" {
		t.Errorf("acknowledged (-want +got):\n%s", diff)
	}
}

// TestCommitsOfVMThatLeft guards against the loss of commits whose VM has left the list of VMs before the claim.
func TestCommitsOfVMThatLeft(t *testing.T) {
	for name, sampled := range map[string]bool{"position of the primary known since": true, "not known": false} {
		t.Run(name, func(t *testing.T) {
			f := &fakeGroup{}
			g := laggingGroup(t, f, 2, 2)
			f.awaitSample(g)
			f.advance(5)
			removedAt := g.options.Clock.Now()
			g.options.VMRemovedAtFunc = func() clock.Millis { return removedAt }
			if sampled {
				f.awaitSample(g)
			}
			expectPromoted(t, f, g, "p")
		})
	}
}

// TestLeavingVMIsAwaited guards against a promotion while a VM that is leaving still uses the term.
func TestLeavingVMIsAwaited(t *testing.T) {
	f := &fakeGroup{}
	g := f.group(t, 4)
	g.options.LeavingVMsFunc = func() []string { return []string{"vm2"} }
	view := inner.GroupView{Group: "g", Term: 1, Leader: "p", ProofAge: -1}
	g.MergeView(Sender{VM: "vm2", Process: 1}, view, nil)
	before := g.termReleased(5, g.options.Clock.Now())
	g.options.ExpectedVMCountFunc = func() int { return 2 }
	view.ReleasedToken = 5
	g.MergeView(Sender{VM: "vm2", Process: 1}, view, nil)
	after := g.termReleased(5, g.options.Clock.Now())
	if diff := cmp.Diff([]bool{false, true}, []bool{before, after}); diff != "" {
		t.Errorf("released before and after its release (-want +got):\n%s", diff)
	}
}

// TestCommitsOfRemovedReplica guards against the loss of commits that only the primary and a replica had which has left the group, after the VM that acknowledged them has restarted.
func TestCommitsOfRemovedReplica(t *testing.T) {
	f := &fakeGroup{}
	g := laggingGroup(t, f, 2, 2)
	releaseFromProcess(g, 1)
	f.awaitSample(g)
	f.advance(5)
	releaseFromProcess(g, 2)
	g.Update([]Server{{ID: "p", Group: "g", Slots: 2}, {ID: "q", Group: "g", Slots: 2}})
	g.mu.Lock()
	g.unlistedSince["r"] -= failover.RemovedAfter
	g.mu.Unlock()
	expectPromoted(t, f, g, "p")
}

// TestBusyPrimaryAfterRemovedReplica guards against the loss of commits that only the primary and a removed replica had, because the primary is too busy to step down at once.
func TestBusyPrimaryAfterRemovedReplica(t *testing.T) {
	f := &fakeGroup{}
	g := laggingGroup(t, f, 2, 2)
	releaseFromProcess(g, 1)
	f.awaitSample(g)
	f.advance(5)
	releaseFromProcess(g, 2)
	g.Update([]Server{{ID: "p", Group: "g", Slots: 2}, {ID: "q", Group: "g", Slots: 2}})
	f.awaitSample(g)
	g.mu.Lock()
	g.unlistedSince["r"] -= failover.RemovedAfter
	g.mu.Unlock()
	f.mu.Lock()
	f.unreachable = map[string]bool{"p": true}
	f.mu.Unlock()
	time.AfterFunc(2*stepDownTimeout.Duration()+tenure.Lease.Duration(), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.unreachable = nil
	})
	expectPromoted(t, f, g, "p")
}
