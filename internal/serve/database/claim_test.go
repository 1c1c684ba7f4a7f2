package database

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
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
