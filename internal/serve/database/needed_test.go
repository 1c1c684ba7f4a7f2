package database

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// restartedGroup returns the group as served by a process that has just started and learns from q that a
// term is in force. The primary p has crashed.
func (f *fakeGroup) restartedGroup(t *testing.T) *Group {
	t.Helper()
	g := f.group(t, 4)
	f.unreachable = map[string]bool{"p": true}
	g.probe(t.Context(), g.pools["q"])
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaderChangedAt -= 2 * failover.LostAfter
	return g
}

// TestCommitsOfRestartedVMs guards against the loss of commits that only a primary which has crashed has, and that no VM remembers because all have been killed since one of them claimed the term.
func TestCommitsOfRestartedVMs(t *testing.T) {
	f := &fakeGroup{claimable: true, logEnds: map[string]floor.Position{"p": 5, "q": 4, "r": 4}}
	r := &claimRecord{now: 1000}
	before := f.group(t, 4)
	f.runTicks(before, testTimeout, before.Ready)
	before.acknowledged = floor.ReplicationPosition{Term: 1, Position: 5}
	f.unreachable = map[string]bool{"p": true}
	r.keepClaims(before)
	before.attemptClaim(t.Context())
	var got [][]string
	for _, age := range []clock.Millis{2000, failover.NeededTimeout} {
		g := f.restartedGroup(t)
		r.keepClaims(g)
		r.now = 1000 + age
		g.attemptClaim(t.Context())
		_, promoted := f.claimCommands()
		got = append(got, promoted)
	}
	if diff := cmp.Diff([][]string{nil, {"q"}}, got); diff != "" {
		t.Errorf("promoted servers by processes that started soon and later (-want +got):\n%s", diff)
	}
}
