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

// removeLongAgo lets a group have run, without the server p, for longer than failover.RemovedAfter.
func removeLongAgo(g *Group) {
	g.Update([]Server{{ID: "q", Group: "g", Slots: 2}, {ID: "r", Group: "g", Slots: 2}})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unlistedSince["p"] -= failover.RemovedAfter
	g.createdAt -= failover.RemovedAfter
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
		removeLongAgo(g)
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

// TestFormerOfOldClaim guards against the loss of commits that only a crashed primary has, because processes that know of none take it from the record of an old claim and pass it over.
func TestFormerOfOldClaim(t *testing.T) {
	left := func(g *Group) {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.pools, "p")
	}
	cases := []struct {
		name   string
		former string
		before func(g *Group)
		want   []string
	}{
		{"listed", "p", func(*Group) {}, nil},
		{"not listed when the process started", "p", left, nil},
		{"not listed and not in the record", "", left, nil},
		{"left long ago", "p", removeLongAgo, []string{"q"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeGroup{logEnds: map[string]floor.Position{"p": 5, "q": 4, "r": 4}}
			g := f.restartedGroup(t)
			r := &claimRecord{now: 60 * clock.Second, claim: failover.Claim{Holder: "vm", Term: 1, Former: c.former, ClaimedAt: 1000}, version: 1}
			r.keepClaims(g)
			c.before(g)
			g.attemptClaim(t.Context())
			_, promoted := f.claimCommands()
			if diff := cmp.Diff(c.want, promoted); diff != "" {
				t.Errorf("promoted servers (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPrimaryLeavesDuringChange guards against a lost primary that is awaited after it has left the directory, because its own departure counts as that of a replica with commits.
func TestPrimaryLeavesDuringChange(t *testing.T) {
	f := &fakeGroup{claimable: true, logEnds: map[string]floor.Position{"p": 4, "q": 4, "r": 4}}
	g := f.group(t, 4)
	f.awaitSample(g)
	// No message of another VM arrives, so that its acknowledged commits are not known.
	g.options.ExpectedVMCountFunc = func() int { return 2 }
	f.mu.Lock()
	f.unreachable = map[string]bool{"p": true}
	f.mu.Unlock()
	g.Update([]Server{{ID: "q", Group: "g", Slots: 2}, {ID: "r", Group: "g", Slots: 2}})
	g.attemptClaim(t.Context())
	_, promoted := f.claimCommands()
	if diff := cmp.Diff([]string{"q"}, promoted); diff != "" {
		t.Errorf("promoted servers (-want +got):\n%s", diff)
	}
}
