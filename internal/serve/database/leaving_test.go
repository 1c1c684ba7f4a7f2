package database

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// planReplacement lets replica q of a group leave and its primary p a second later, and waits until an attempt
// to replace p has ended. r stays.
func planReplacement(t *testing.T, f *fakeGroup) {
	t.Helper()
	g := f.group(t, 4)
	f.runTicks(g, testTimeout, g.Ready)
	list := []Server{{ID: "p", Group: "g", Slots: 2}, {ID: "q", Group: "g", Slots: 2, Leaving: true}, {ID: "r", Group: "g", Slots: 2}}
	g.Update(list)
	g.mu.Lock()
	g.leavingSince["q"] -= clock.Second
	g.mu.Unlock()
	list[0].Leaving = true
	g.Update(list)
	g.options.DrainTimeout = 10 * clock.Second
	g.attemptClaim(t.Context())
}

// TestLeavingReplicaIsNotPromoted guards against a planned change that promotes a replica which is about to end, because it was sealed last and the primary acknowledged with it until then.
func TestLeavingReplicaIsNotPromoted(t *testing.T) {
	f := &fakeGroup{claimable: true, commits: 1, sealDelays: map[string]time.Duration{"q": 30 * time.Millisecond}}
	planReplacement(t, f)
	_, promoted := f.claimCommands()
	if diff := cmp.Diff([]string{"r"}, promoted); diff != "" {
		t.Errorf("promoted servers (-want +got):\n%s", diff)
	}
}

// TestStayingReplicaBehind guards against a planned change that takes the only replica with all commits away, while the one that stays may still receive them.
func TestStayingReplicaBehind(t *testing.T) {
	f := &fakeGroup{claimable: true, logEnds: map[string]floor.Position{"p": 5, "q": 5, "r": 4}}
	planReplacement(t, f)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.steppedDown || len(f.sealedNow) > 0 || len(f.promoted) > 0 {
		t.Errorf("primary stepped down: %v, sealed: %v, promoted: %v", f.steppedDown, f.sealedNow, f.promoted)
	}
}

// TestPlannedChangeWithoutReplica guards against a planned change that takes no writes for seconds, because a replica which cannot be reached or has just left cannot be sealed.
func TestPlannedChangeWithoutReplica(t *testing.T) {
	f := &fakeGroup{unreachable: map[string]bool{"q": true}}
	g, _ := claimableGroup(t, f)
	replacePrimary(f, g)
	_, promoted := f.claimCommands()
	if diff := cmp.Diff([]string{"other"}, promoted); diff != "" {
		t.Errorf("promoted servers (-want +got):\n%s", diff)
	}
}
