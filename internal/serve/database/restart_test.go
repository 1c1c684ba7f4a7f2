package database

import (
	"slices"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// TestRestartedReplicaIsSealedAgain guards against the loss of commits that a sealed replica received after a restart had ended its seal.
func TestRestartedReplicaIsSealedAgain(t *testing.T) {
	// Only the seals protect what vm2 acknowledges, which is not heard any more.
	f := &fakeGroup{unreachable: map[string]bool{"p": true}}
	g, _ := claimableGroup(t, f)
	g.options.LiveVMsFunc = func() []string { return []string{"vm", "vm2"} }
	g.options.ExpectedVMCountFunc = func() int { return 2 }
	g.MergeView(Sender{VM: "vm2", Process: 1}, inner.GroupView{Group: "g", Term: 1, Leader: "p", ProofAge: -1, PrimaryLost: true}, nil)
	var rereads atomic.Int64
	f.directoryFunc = func() {
		if rereads.Add(1) == 1 {
			f.restart("r", 9)
		}
	}
	replacePrimary(f, g)
	_, promoted := f.claimCommands()
	if diff := cmp.Diff([]string{"r"}, slices.Compact(promoted)); diff != "" {
		t.Errorf("promoted servers (-want +got):\n%s", diff)
	}
}

// TestEmptyServerIsNotPromoted guards against the promotion of a server that has lost its log in a restart since it was sealed.
func TestEmptyServerIsNotPromoted(t *testing.T) {
	f := &fakeGroup{logEnds: map[string]floor.Position{"q": 3, "r": 3, "other": 2}, promoteErr: errors.New("no answer")}
	g, _ := claimableGroup(t, f)
	f.promoteFunc = func() { f.restartLocked("q", 0) }
	replacePrimary(f, g)
	f.runTicks(g, testTimeout, func() bool {
		_, promoted := f.claimCommands()
		return len(promoted) > 3
	})
	_, promoted := f.claimCommands()
	// The second order may come while the answer of q counts still.
	if diff := cmp.Diff([]string{"r"}, slices.Compact(promoted[2:])); diff != "" {
		t.Errorf("promoted servers (-want +got):\n%s", diff)
	}
}

// TestTargetThatLeadsIsNotReplaced guards against a second promotion when the first has taken effect and only its answer was lost.
func TestTargetThatLeadsIsNotReplaced(t *testing.T) {
	f := &fakeGroup{promoteErr: errors.New("no answer")}
	g, _ := claimableGroup(t, f)
	f.promoteFunc = func() { f.leading = f.promoted[0] }
	replacePrimary(f, g)
	_, promoted := f.claimCommands()
	if diff := cmp.Diff(1, len(slices.Compact(promoted))); diff != "" {
		t.Errorf("servers ordered to be promoted (-want +got):\n%s", diff)
	}
	if term := g.Term(); term != 2 {
		t.Errorf("term %d, want 2", term)
	}
}

// TestRebornServerIsNotSealed guards against a seal that is taken for one of the server's next start.
func TestRebornServerIsNotSealed(t *testing.T) {
	f := &fakeGroup{}
	g := f.group(t, 4)
	now := g.options.Clock.Now()
	a := &claimAttempt{group: g, formerPrimary: "p", startedAt: now, lastStep: now, sealed: map[string]seal{}}
	for id, s := range g.failoverServers("p") {
		if id != "p" {
			s.Sealed = true
			a.sealed[id] = seal{server: s}
		}
	}
	before := a.isSafe(g.failoverServers("p"))
	g.Update([]Server{{ID: "p", Group: "g", Slots: 2}, {ID: "q", Group: "g", Slots: 2}, {ID: "r", Group: "g", Slots: 2, Born: 7}})
	if diff := cmp.Diff([]bool{true, false}, []bool{before, a.isSafe(g.failoverServers("p"))}); diff != "" {
		t.Errorf("safe before and after the restart (-want +got):\n%s", diff)
	}
	a.startSeals(t.Context(), g.failoverServers("p")).Wait()
	sealed, _ := f.claimCommands()
	if diff := cmp.Diff([]string{"r"}, sealed); diff != "" {
		t.Errorf("servers sealed again (-want +got):\n%s", diff)
	}
}

// TestRebornServerHasNoPosition guards against a position of the log that a server had before it started anew.
func TestRebornServerHasNoPosition(t *testing.T) {
	f := &fakeGroup{logEnds: map[string]floor.Position{"r": 9}}
	g := f.group(t, 4)
	f.runTicks(g, testTimeout, g.Ready)
	g.recordPosition("r", floor.ReplicationPosition{Term: 1, Position: 9}, g.options.Clock.Now())
	g.probe(t.Context(), g.pools["r"])
	g.Update([]Server{{ID: "p", Group: "g", Slots: 2}, {ID: "q", Group: "g", Slots: 2}, {ID: "r", Group: "g", Slots: 2, Born: 7}})
	g.mu.Lock()
	defer g.mu.Unlock()
	if diff := cmp.Diff([]floor.ReplicationPosition{{}, {}}, []floor.ReplicationPosition{g.positions["r"], g.receivedPositions["r"].position}); diff != "" {
		t.Errorf("applied and received position (-want +got):\n%s", diff)
	}
}
