package oracle

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestRow reads the last known value and values of writes with an unknown outcome:
// a value may be read until a later one has been.
func TestRow(t *testing.T) {
	row := Row{LastValue: "a"}.WithUnknownWrite("b").WithUnknownWrite("c")
	var got []bool
	for _, v := range []string{"a", "d", "b", "a", "c", "b", "c"} {
		next, ok := row.WithRead(v)
		row = next
		got = append(got, ok)
	}
	if diff := cmp.Diff([]bool{true, false, true, false, true, false, true}, got); diff != "" {
		t.Errorf("reads accepted (-want +got):\n%s", diff)
	}
}

// TestFairShares divides the served requests by weight, and by demand where that is less.
func TestFairShares(t *testing.T) {
	const unlimited = 1e9
	cases := []struct {
		usages []AccountUsage
		want   []float64
		worst  float64
	}{
		{[]AccountUsage{{1, 10, 10}, {1, unlimited, 90}}, []float64{10, 90}, 1},
		{[]AccountUsage{{1, unlimited, 10}, {1, unlimited, 90}}, []float64{50, 50}, 0.2},
		{[]AccountUsage{{1, unlimited, 25}, {3, unlimited, 75}}, []float64{25, 75}, 1},
		{[]AccountUsage{{1, 10, 5}, {1, 40, 30}, {2, unlimited, 65}}, []float64{10, 30, 60}, 0.5},
		{[]AccountUsage{{1, 10, 0}, {1, unlimited, 0}}, []float64{0, 0}, 1},
	}
	for _, c := range cases {
		if diff := cmp.Diff(c.want, fairShares(c.usages)); diff != "" {
			t.Errorf("%v: shares (-want +got):\n%s", c.usages, diff)
		}
		if got := WorstServedShare(c.usages); got != c.worst {
			t.Errorf("%v: worst served share %v, want %v", c.usages, got, c.worst)
		}
	}
}
