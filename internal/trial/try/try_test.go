package try

import (
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// TestChangeUnderLoad runs a short trial, which isolates the primary and edits the
// configuration under load. It must meet every requirement of Report.Passed.
func TestChangeUnderLoad(t *testing.T) {
	r, err := Run(t.Context(), Options{Seed: 3, Length: 10 * clock.Second, Sessions: 12})
	if err != nil {
		t.Fatal(err)
	}
	if !r.Passed() {
		t.Errorf("the trial did not meet every requirement: %+v", r)
	}
}
