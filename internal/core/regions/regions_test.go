package regions

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestIntersect guards against an empty intersection that is taken for no constraint, and
// against a server of an unknown region that a constraint lets pass.
func TestIntersect(t *testing.T) {
	x, y, xy := Only([]string{"x"}), Only([]string{"y"}), Only([]string{"y", "x", "y"})
	for _, c := range []struct {
		name    string
		allowed Allowed
		want    map[string]bool
	}{
		{"none constrained", Only(nil).Intersect(Only([]string{})), map[string]bool{"x": true, "y": true, "": true}},
		{"one constrained", Allowed{}.Intersect(x), map[string]bool{"x": true, "y": false, "": false}},
		{"the other constrained", x.Intersect(Allowed{}), map[string]bool{"x": true, "y": false, "": false}},
		{"overlap", xy.Intersect(y), map[string]bool{"x": false, "y": true, "": false}},
		{"disjoint", x.Intersect(y), map[string]bool{"x": false, "y": false, "": false}},
		{"empty name", Only([]string{""}), map[string]bool{"x": false, "y": false, "": false}},
	} {
		got := map[string]bool{}
		for region := range c.want {
			got[region] = c.allowed.Contains(region)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: allowed (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestUnconstrainedAllocatesNothing guards the path of a statement without a constraint.
func TestUnconstrainedAllocatesNothing(t *testing.T) {
	x, allowed := Only([]string{"x"}), true
	if n := testing.AllocsPerRun(100, func() {
		allowed = allowed && Allowed{}.Intersect(Allowed{}).Contains("y") && x.Intersect(Allowed{}).Contains("x")
	}); n != 0 || !allowed {
		t.Errorf("%v allocations, want none; allowed is %v", n, allowed)
	}
}
