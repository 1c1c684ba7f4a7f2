package try

import (
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// TestChangeUnderLoad runs a short trial, whose primary is isolated in the middle.
func TestChangeUnderLoad(t *testing.T) {
	r, err := Run(t.Context(), Options{Seed: 3, Length: 10 * clock.Second, Sessions: 12})
	if err != nil {
		t.Fatal(err)
	}
	if !r.Passed() {
		t.Errorf("the trial broke a promise: %+v", r)
	}
}
