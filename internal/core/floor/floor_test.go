package floor

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestCommits guards against the position of a session's commit in one group that replaces, or is asked of, another group's log.
func TestCommits(t *testing.T) {
	at := func(term Term, position Position) ReplicationPosition {
		return ReplicationPosition{Term: term, Position: position}
	}
	first := Commits{}.With("a", at(1, 50))
	both := first.With("b", at(7, 3)).With("a", at(1, 40)).With("b", at(7, 4))
	got := []ReplicationPosition{Commits{}.In("a"), first.In("a"), first.In("b"), both.In("a"), both.In("b")}
	if diff := cmp.Diff([]ReplicationPosition{{}, at(1, 50), {}, at(1, 50), at(7, 4)}, got); diff != "" {
		t.Errorf("positions (-want +got):\n%s", diff)
	}
}

// TestCovers checks that terms compare before positions, and that a position covers itself.
func TestCovers(t *testing.T) {
	at := func(term Term, position Position) ReplicationPosition {
		return ReplicationPosition{Term: term, Position: position}
	}
	got := []bool{at(1, 5).Covers(at(1, 5)), at(1, 5).Covers(at(1, 6)), at(2, 1).Covers(at(1, 6)), at(1, 6).Covers(at(2, 1)), at(0, 0).Covers(at(0, 0))}
	if diff := cmp.Diff([]bool{true, false, true, false, true}, got); diff != "" {
		t.Errorf("covers (-want +got):\n%s", diff)
	}
}
