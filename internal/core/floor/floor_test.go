package floor

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

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
