package database

import (
	"context"
	"slices"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// TestEarlierTermIsNotClaimed guards against a VM that replaces the primary of a term which another claimant has already replaced.
func TestEarlierTermIsNotClaimed(t *testing.T) {
	f := &fakeGroup{}
	g, _ := claimableGroup(t, f)
	g.options.Claims.ReadFunc = func(context.Context, string) (failover.Claim, uint64, clock.Millis, error) {
		return failover.Claim{Holder: "vm2", Term: 2}, 7, 60 * clock.Second, nil
	}
	a := &claimAttempt{group: g, startedAt: g.options.Clock.Now(), lastStep: g.options.Clock.Now(), sealed: map[string]seal{}}
	err := a.run(t.Context())
	if !errors.Is(err, errTermBehind) {
		t.Errorf("error %v, want %v", err, errTermBehind)
	}
	if sealed, _ := f.claimCommands(); len(sealed) > 0 {
		t.Errorf("servers sealed: %v", sealed)
	}
}

// TestGiveUpUnsealsAll guards against a replica that receives nothing any more, because a claimant that is gone had sealed it.
func TestGiveUpUnsealsAll(t *testing.T) {
	f := &fakeGroup{}
	g, _ := claimableGroup(t, f)
	f.mu.Lock()
	f.sealedNow["r"] = 2
	f.mu.Unlock()
	now := g.options.Clock.Now()
	a := &claimAttempt{group: g, term: 1, formerPrimary: "p", startedAt: now, lastStep: now, sealed: map[string]seal{}}
	a.giveUp(t.Context())
	f.mu.Lock()
	defer f.mu.Unlock()
	if diff := cmp.Diff(0, len(f.sealedNow)); diff != "" {
		t.Errorf("replicas sealed (-want +got):\n%s", diff)
	}
}

// TestTermOfClaimIsLearned guards against a group that is never served again, because no server or process is left that knows the term of the last claim.
func TestTermOfClaimIsLearned(t *testing.T) {
	cases := []struct {
		name        string
		needed      floor.Position
		unreachable string
		elapsed     clock.Millis
		want        []string
	}{
		{"its primary may come back", 0, "", 0, nil},
		{"its primary left long ago", 0, "", failover.RemovedAfter, []string{"p"}},
		{"a replica with its commits may come back", 0, "r", failover.RemovedAfter, nil},
		{"a commit of it is needed", 9, "", failover.RemovedAfter, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeGroup{steppedDown: true, unreachable: map[string]bool{c.unreachable: true}, logEnds: map[string]floor.Position{"p": 5, "q": 4, "r": 4}}
			g := f.group(t, 4)
			g.probe(t.Context(), g.pools["p"])
			claim := failover.Claim{Holder: "vm", Term: 2, Former: "gone", ClaimedAt: 1000}
			claim = claim.WithNeeded(floor.ReplicationPosition{Term: 1, Position: c.needed})
			r := &claimRecord{now: 2000, claim: claim, version: 1}
			r.keepClaims(g)
			g.attemptClaim(t.Context())
			if diff := cmp.Diff(floor.Term(2), g.Term()); diff != "" {
				t.Errorf("known term (-want +got):\n%s", diff)
			}
			g.mu.Lock()
			g.createdAt -= c.elapsed
			g.unlistedSince["gone"] -= c.elapsed
			g.mu.Unlock()
			g.attemptClaim(t.Context())
			_, promoted := f.claimCommands()
			if diff := cmp.Diff(c.want, slices.Compact(promoted)); diff != "" {
				t.Errorf("promoted servers (-want +got):\n%s", diff)
			}
		})
	}
}
