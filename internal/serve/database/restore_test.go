package database

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// claimableGroup returns a group of the fake in which this VM may claim, and the time at which
// the store came back from a copy for it, at first long ago.
func claimableGroup(t *testing.T, f *fakeGroup) (*Group, *atomic.Int64) {
	t.Helper()
	restoredAt := &atomic.Int64{}
	restoredAt.Store(int64(clock.DistantPast))
	f.claimable = true
	g := f.group(t, 4)
	g.options.DrainTimeout = 100
	g.options.RestoredAtFunc = func() clock.Millis { return clock.Millis(restoredAt.Load()) }
	f.runTicks(g, testTimeout, g.Ready)
	return g, restoredAt
}

// TestClaimAfterRestore guards against two claimants at once, because the store lost the claim of the first.
func TestClaimAfterRestore(t *testing.T) {
	f := &fakeGroup{}
	g, restoredAt := claimableGroup(t, f)
	var claimedAt atomic.Int64
	write := g.options.Claims.WriteFunc
	g.options.Claims.WriteFunc = func(ctx context.Context, group string, c failover.Claim, version uint64) (uint64, error) {
		claimedAt.CompareAndSwap(0, int64(g.options.Clock.Now()))
		return write(ctx, group, c, version)
	}
	restoredAt.Store(int64(g.options.Clock.Now()))
	g.Update(directoryEntries("p", "q", "r", "new"))
	f.runTicks(g, testTimeout, func() bool { return claimedAt.Load() > 0 })
	if claimedAt.Load() == 0 {
		t.Fatal("no claim was written later")
	}
	waited := clock.Millis(claimedAt.Load() - restoredAt.Load())
	if waited < failover.RestoreDelay {
		t.Errorf("a claim was written %d ms after the restore, want at least %d", waited, failover.RestoreDelay)
	}
}

// TestRestoreDuringAttempt guards against a claimant that goes on after the store may have lost its claim.
func TestRestoreDuringAttempt(t *testing.T) {
	f := &fakeGroup{}
	g, restoredAt := claimableGroup(t, f)
	f.directoryFunc = func() { restoredAt.Store(int64(g.options.Clock.Now()) + 1) }
	expectNoPromotion(t, f, g)
}

// TestLaterClaimDuringAttempt guards against a claimant that goes on after a VM has released the term for a later claim.
func TestLaterClaimDuringAttempt(t *testing.T) {
	f := &fakeGroup{}
	g, _ := claimableGroup(t, f)
	var unsealed atomic.Bool
	f.unsealFunc = func() { unsealed.Store(true) }
	f.directoryFunc = func() {
		g.MergeView(Sender{VM: "other"}, inner.GroupView{Group: "g", Term: 1, Leader: "p", ProofAge: -1, ReleasedToken: 1 << 50}, nil)
	}
	expectNoPromotion(t, f, g)
	if unsealed.Load() {
		t.Error("a server was unsealed that the later claimant may have sealed")
	}
}

// expectNoPromotion lets the primary leave and fails the test if the claim that follows
// promotes a server.
func expectNoPromotion(t *testing.T, f *fakeGroup, g *Group) {
	t.Helper()
	g.Update(directoryEntries("p", "q", "r", "new"))
	f.runTicks(g, testTimeout, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.claimAfter > 0 && !g.claiming
	})
	_, promoted := f.claimCommands()
	if diff := cmp.Diff([]string(nil), promoted); diff != "" {
		t.Errorf("promoted servers (-want +got):\n%s", diff)
	}
}
