package primary

import (
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/primary"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/broken"
)

// TestBrokenPromotion promotes a server that lacks what another has.
func TestBrokenPromotion(t *testing.T) {
	a := primary.Action{Kind: primary.Promote, Server: "orders-2", TargetPosition: floor.ReplicationPosition{Term: 1, Position: 3}, HighestPosition: floor.ReplicationPosition{Term: 1, Position: 4}}
	broken.ExpectViolation(t, invariant.CurrentPrimary, func() { (&link{}).runAction(t.Context(), a) })
}
