package try

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// TestChangeUnderLoad runs a short trial, whose primary is isolated in the middle.
func TestChangeUnderLoad(t *testing.T) {
	r, err := Run(t.Context(), Options{Seed: 3, Length: 4 * clock.Second, Sessions: 6})
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
