package failover

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// TestUnlistedOrderedServer guards against the promotion of another server while the order of one may take effect that is off the directory, but may run.
func TestUnlistedOrderedServer(t *testing.T) {
	end := floor.ReplicationPosition{Term: 1, Position: 5}
	ordered := Claim{Holder: "a", Term: 1, ClaimedAt: 1000}.WithOrder("q", end)
	next, _ := ordered.WithHolder("b", 1, "p", 7000)
	servers := []Server{{ID: "p", FormerPrimary: true, Sealed: true, LogEnd: end}, {ID: "r", Sealed: true, LogEnd: end}}
	target, waits := next.PromotionTarget(servers, 1, Acknowledged{Position: end, Complete: true})
	if diff := cmp.Diff([]any{true, "", true}, []any{next.HasOrder(7000), target, waits}); diff != "" {
		t.Errorf("order in force, target, and whether the ordered server is awaited (-want +got):\n%s", diff)
	}
}
