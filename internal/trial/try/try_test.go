package try

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// TestChangeUnderLoad runs a short trial, whose primary is isolated in the middle.
func TestChangeUnderLoad(t *testing.T) {
	r, err := Run(t.Context(), Options{Seed: 3, Length: 10 * clock.Second, Sessions: 12})
	if err != nil {
		t.Fatal(err)
	}
	if !r.Good() {
		t.Errorf("the trial broke a promise: %+v", r)
	}
}

// TestExpected checks the oracle of a row.
func TestExpected(t *testing.T) {
	row := expected{last: "a"}.withUnknown("b").withUnknown("c")
	var got []bool
	for _, v := range []string{"a", "d", "b", "a", "c", "b", "c"} {
		next, ok := row.withRead(v)
		row = next
		got = append(got, ok)
	}
	if diff := cmp.Diff([]bool{true, false, true, false, true, false, true}, got); diff != "" {
		t.Errorf("reads accepted (-want +got):\n%s", diff)
	}
}

// TestEntitled shares what was served by weight, and by demand where that is less.
func TestEntitled(t *testing.T) {
	const plenty = 1e9
	cases := []struct {
		claims []claim
		want   []float64
		worst  float64
	}{
		{[]claim{{1, 10, 10}, {1, plenty, 90}}, []float64{10, 90}, 1},
		{[]claim{{1, plenty, 10}, {1, plenty, 90}}, []float64{50, 50}, 0.2},
		{[]claim{{1, plenty, 25}, {3, plenty, 75}}, []float64{25, 75}, 1},
		{[]claim{{1, 10, 5}, {1, 40, 30}, {2, plenty, 65}}, []float64{10, 30, 60}, 0.5},
		{[]claim{{1, 10, 0}, {1, plenty, 0}}, []float64{0, 0}, 1},
	}
	for _, c := range cases {
		if diff := cmp.Diff(c.want, entitled(c.claims)); diff != "" {
			t.Errorf("%v: shares (-want +got):\n%s", c.claims, diff)
		}
		if got := worst(c.claims); got != c.worst {
			t.Errorf("%v: worst served %v, want %v", c.claims, got, c.worst)
		}
	}
}
