package limit

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// TestHoldingExpires checks that an owner counts the part of a VM as held for the whole of
// Expiry after the report, since the VM may spend it until then.
func TestHoldingExpires(t *testing.T) {
	const reported = clock.Millis(1000)
	o := NewOwner(10, 5, 0, 0).WithAllReported(0)
	o, g, ok := o.WithReport("a", Report{Account: "acme", Number: 1, Demand: 8, WaitingStatements: 1}, reported)
	if !ok || g.Burst == 0 {
		t.Fatalf("the report got %+v, answered %v", g, ok)
	}
	holders := func(at clock.Millis) int { return o.advance(at).Holders() }
	got := []int{holders(reported + Expiry - 1), holders(reported + Expiry)}
	if diff := cmp.Diff([]int{1, 0}, got); diff != "" {
		t.Errorf("holders before and at the end of the part (-want +got):\n%s", diff)
	}
}
