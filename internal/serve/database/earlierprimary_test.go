package database

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// withoutSuccessor returns a group in which p leads term 1 and the primary of term 2 is gone for good. r has
// its log. The group has been without a primary for long enough to be claimed.
func withoutSuccessor(t *testing.T, f *fakeGroup) *Group {
	t.Helper()
	g := f.group(t, 4)
	g.Update([]Server{{ID: "p", Group: "g", Slots: 2}, {ID: "r", Group: "g", Slots: 2}})
	g.MergeView(Sender{VM: "vm2", Process: 1}, inner.GroupView{Group: "g", Term: 2, ProofAge: -1}, nil)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaderChangedAt -= 2 * failover.LostAfter
	g.createdAt -= 2 * failover.RemovedAfter
	g.unlistedSince["q"] -= 2 * failover.RemovedAfter
	return g
}

// TestPrimaryOfEarlierTermInClaim guards against a group that is never served again, because a primary of an earlier term neither seals for a claim nor steps down.
func TestPrimaryOfEarlierTermInClaim(t *testing.T) {
	f := &fakeGroup{claimable: true, logEnds: map[string]floor.Position{"r": 2}}
	g := withoutSuccessor(t, f)
	g.attemptClaim(t.Context())
	_, promoted := f.claimCommands()
	if diff := cmp.Diff([]string{"r"}, promoted); diff != "" {
		t.Errorf("promoted servers (-want +got):\n%s", diff)
	}
}

// TestPrimaryOfEarlierTermIsProbed guards against a primary of an earlier term that goes on until a claim needs it, and takes writes of VMs that know no later term.
func TestPrimaryOfEarlierTermIsProbed(t *testing.T) {
	f := &fakeGroup{}
	g := withoutSuccessor(t, f)
	f.runTicks(g, testTimeout, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.steppedDown
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	if diff := cmp.Diff(true, f.steppedDown); diff != "" {
		t.Errorf("stepped down (-want +got):\n%s", diff)
	}
}
