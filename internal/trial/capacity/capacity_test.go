package capacity

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestFitLine fits points on a line, points that are on no common line, points at one x,
// and no points.
func TestFitLine(t *testing.T) {
	for name, p := range map[string]struct {
		x, y []float64
		want Line
	}{
		"exact":   {[]float64{1, 2, 4}, []float64{5, 7, 11}, Line{Intercept: 3, Slope: 2}},
		"nearest": {[]float64{0, 1, 2}, []float64{0, 3, 0}, Line{Intercept: 1}},
		"level":   {[]float64{3, 3}, []float64{1, 5}, Line{Intercept: 3}},
		"nothing": {},
	} {
		if diff := cmp.Diff(p.want, FitLine(p.x, p.y)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

// TestControlCost checks the number of VMs of each role in a small installation, and how
// many messages a VM of each role sends and receives per second. A heartbeat that is not
// answered, or a message that is counted at one end only, changes these numbers.
func TestControlCost(t *testing.T) {
	got := map[string]float64{}
	for _, c := range newSimulation(27).measure(27) {
		got[c.Role] = float64(c.Count)
		got[c.Role+" messages"] = c.Messages
		if c.Bytes < c.Messages*datagramOverhead {
			t.Errorf("%s: %.0f bytes in %.0f messages", c.Role, c.Bytes, c.Messages)
		}
	}
	// A leaf sends two heartbeats per second and receives their answers. A root answers
	// those of 3.5 leaves on average. It also sends two heartbeats per second to each of
	// the five other roots and receives two from it, all of them answered.
	want := map[string]float64{RoleLeaf: 21, RoleRoot: 6, "leaf messages": 4, "root messages": 3.5*4 + 5*8}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("roles (-want +got):\n%s", diff)
	}
}

// TestReplace checks that only the text between the markers changes, and that a page
// without both markers in order is refused.
func TestReplace(t *testing.T) {
	const page = "before\n" + MarkerBegin + "\nold\n" + MarkerEnd + "\nafter\n"
	got, err := ReplaceTables(page, "new\n")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("before\n"+MarkerBegin+"\nnew\n"+MarkerEnd+"\nafter\n", got); diff != "" {
		t.Errorf("page (-want +got):\n%s", diff)
	}
	for _, page := range []string{"none", MarkerBegin, MarkerEnd + MarkerBegin} {
		if _, err := ReplaceTables(page, ""); err == nil {
			t.Errorf("ReplaceTables accepted the page %q", page)
		}
	}
}
