package database

import (
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/tenure"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// TestFormerStepsDownFirst guards against commits that the former primary acknowledges while another server is promoted.
func TestFormerStepsDownFirst(t *testing.T) {
	f := &fakeGroup{}
	g, _ := claimableGroup(t, f)
	var stoppedBefore []bool
	f.promoteFunc = func() { stoppedBefore = append(stoppedBefore, f.steppedDown) }
	replacePrimary(f, g)
	f.mu.Lock()
	defer f.mu.Unlock()
	if diff := cmp.Diff([]bool{true}, stoppedBefore); diff != "" {
		t.Errorf("former primary stepped down before each order to promote (-want +got):\n%s", diff)
	}
}

// TestCommitAfterRelease guards against an acknowledgement to a caller after the VM has told a claimant what it had acknowledged.
func TestCommitAfterRelease(t *testing.T) {
	f := &fakeGroup{position: floor.ReplicationPosition{Term: 1, Position: 7}}
	g := f.group(t, 4)
	f.runTicks(g, testTimeout, g.Ready)
	conn, err := g.AcquirePrimary(t.Context(), Requester{Account: "acme", Weight: 1}, 1000)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Release()
	g.releaseTerm(5)
	if _, err := conn.Run(Request{ID: "x", Timeout: 1000, IsCommit: true}); err == nil {
		t.Error("the commit was acknowledged")
	}
}

// replacePrimary lets the primary leave and waits until the claim that follows has ended.
func replacePrimary(f *fakeGroup, g *Group) {
	g.Update(directoryEntries("p", "q", "r", "other"))
	f.runTicks(g, testTimeout, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.claimAfter > 0 && !g.claiming
	})
}

// releasingVM adds a second VM to the group, which releases the term for each claim and says
// that it had acknowledged up to a position.
func releasingVM(g *Group, acknowledged floor.Position) {
	g.options.LiveVMsFunc = func() []string { return []string{"vm", "vm2"} }
	g.options.ExpectedVMCountFunc = func() int { return 2 }
	report := func() {
		g.mu.Lock()
		token := g.releasedToken
		g.mu.Unlock()
		view := inner.GroupView{Group: "g", Term: 1, Leader: "p", ProofAge: -1, PrimaryLost: true, ReleasedToken: token, AcknowledgedTerm: 1, Acknowledged: acknowledged}
		g.MergeView(Sender{VM: "vm2", Process: 1}, view, nil)
	}
	report()
	g.options.GossipFunc = func() { go report() }
}

// TestPromotesWhatWasAcknowledged guards against the promotion of a server without a commit that a VM acknowledged through a server listed later.
func TestPromotesWhatWasAcknowledged(t *testing.T) {
	f := &fakeGroup{unreachable: map[string]bool{"p": true}, logEnds: map[string]floor.Position{"p": 3, "new": 3}}
	g, _ := claimableGroup(t, f)
	releasingVM(g, 3)
	f.awaitSample(g)
	f.mu.Lock()
	f.logEnds["p"] = 4
	f.mu.Unlock()
	var rereads atomic.Int64
	f.directoryFunc = func() {
		if rereads.Add(1) > 1 {
			g.Update(directoryEntries("p", "q", "r", "other", "new"))
		}
	}
	replacePrimary(f, g)
	_, promoted := f.claimCommands()
	if diff := cmp.Diff([]string{"new"}, promoted); diff != "" {
		t.Errorf("promoted servers (-want +got):\n%s", diff)
	}
}

// TestAcknowledgedNowhere guards against the promotion of a server without an acknowledged commit that no known server has. The term must be used again afterwards.
func TestAcknowledgedNowhere(t *testing.T) {
	f := &fakeGroup{unreachable: map[string]bool{"p": true}}
	g, _ := claimableGroup(t, f)
	releasingVM(g, 3)
	var unsealed atomic.Int64
	f.unsealFunc = func() { unsealed.Add(1) }
	replacePrimary(f, g)
	_, promoted := f.claimCommands()
	if diff := cmp.Diff([]string(nil), promoted); diff != "" {
		t.Errorf("promoted servers (-want +got):\n%s", diff)
	}
	if unsealed.Load() < 2 {
		t.Errorf("%d replicas were unsealed, want all", unsealed.Load())
	}
	_ = g.options.Clock.Sleep(t.Context(), 2*clock.Millis(1))
	if diff := cmp.Diff(true, g.View().ReleaseEnded); diff != "" {
		t.Errorf("release ended (-want +got):\n%s", diff)
	}
}

// TestStoppedPrimaryKeepsWhatWasAcknowledged guards against the loss of a commit that only the former primary has among the known servers.
func TestStoppedPrimaryKeepsWhatWasAcknowledged(t *testing.T) {
	f := &fakeGroup{logEnds: map[string]floor.Position{"p": 4}}
	g, _ := claimableGroup(t, f)
	releasingVM(g, 3)
	replacePrimary(f, g)
	_, promoted := f.claimCommands()
	if diff := cmp.Diff([]string{"p"}, promoted); diff != "" {
		t.Errorf("promoted servers (-want +got):\n%s", diff)
	}
}

// TestNothingAcknowledgedInTerm guards against a release without a commit that is taken for a position of the term, which a replica's log may not have reached.
func TestNothingAcknowledgedInTerm(t *testing.T) {
	f := &fakeGroup{}
	g := f.group(t, 4)
	g.MergeView(Sender{VM: "vm2", Process: 1}, inner.GroupView{Group: "g", Term: 2, ProofAge: -1, ReleasedToken: 5}, nil)
	if diff := cmp.Diff(floor.ReplicationPosition{}, g.acknowledgedPosition()); diff != "" {
		t.Errorf("acknowledged (-want +got):\n%s", diff)
	}
}

// TestReleaseOfRestartedVM guards against a release by a process that does not know what its VM acknowledged before it started anew.
func TestReleaseOfRestartedVM(t *testing.T) {
	f := &fakeGroup{}
	g := f.group(t, 4)
	g.options.LiveVMsFunc = func() []string { return []string{"vm", "vm2"} }
	released := func(process uint64, since clock.Millis) bool {
		g.MergeView(Sender{VM: "vm2", Process: process}, inner.GroupView{Group: "g", ProofAge: -1, ReleasedToken: 5}, nil)
		return g.termReleased(5, since)
	}
	first := released(1, g.options.Clock.Now())
	since := g.options.Clock.Now()
	_ = g.options.Clock.Sleep(t.Context(), 5)
	diff := cmp.Diff([]bool{true, true, false}, []bool{first, released(1, since), released(2, since)})
	if diff != "" {
		t.Errorf("released by a known process, again, and by a restarted one (-want +got):\n%s", diff)
	}
}

// TestServersListedAtStart guards against a change of primary because the replicas were listed only just after a VM had started, and counted for no proof.
func TestServersListedAtStart(t *testing.T) {
	f := &fakeGroup{claimable: true}
	g := f.group(t, 4)
	g.Update([]Server{{ID: "p", Group: "g", Slots: 2}})
	g.Update([]Server{{ID: "p", Group: "g", Slots: 2}, {ID: "q", Group: "g", Slots: 2}, {ID: "r", Group: "g", Slots: 2}})
	began := g.options.Clock.Now()
	f.runTicks(g, testTimeout, g.Ready)
	if took := g.options.Clock.Now() - began; took > tenure.WitnessDelay/2 {
		t.Errorf("the primary could be used after %d ms", took)
	}
}

// TestNewReplicasOnly guards against a change of primary because all replicas have started anew and count for no proof yet.
func TestNewReplicasOnly(t *testing.T) {
	f := &fakeGroup{claimable: true}
	g := f.group(t, 4)
	g.createdAt -= tenure.WitnessDelay
	f.runTicks(g, testTimeout, g.Ready)
	g.Update([]Server{{ID: "p", Group: "g", Slots: 2}, {ID: "q", Group: "g", Slots: 2, Born: 7}, {ID: "r", Group: "g", Slots: 2, Born: 7}})
	listed := g.options.Clock.Now()
	f.runTicks(g, testTimeout, func() bool { return g.options.Clock.Now() > listed+tenure.Lease && g.Ready() })
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.claimReads > 0 {
		t.Errorf("%d claims began while the primary answered", f.claimReads)
	}
}
