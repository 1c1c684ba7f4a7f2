package session

import (
	"context"
	"io"
	"testing"

	"github.com/charmbracelet/log"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/freshness"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
)

// TestSessionBeforeConfiguration guards against sessions that are refused while the VM gets its first configuration.
func TestSessionBeforeConfiguration(t *testing.T) {
	var inForce *catalog.Catalog
	accepted := false
	o := Options{
		Clock: clock.System(), Log: log.New(io.Discard), Counters: NewCounters(), CopyFunc: freshness.New,
		CatalogFunc: func() *catalog.Catalog { return inForce }, TakesFunc: func(clock.Millis) bool { return true },
		AwaitCatalogFunc: func(context.Context, clock.Millis) {
			inForce = catalog.New(1)
			inForce.AddRoute(catalog.Route{Database: "orders", AllowAnonymous: true})
		},
	}
	Serve(t.Context(), o, Caller{
		Database: "orders", AcceptFunc: func() error { accepted = true; return io.EOF },
		RefuseFunc: func(_ statement.Code, detail string) { t.Errorf("refused: %s", detail) },
	})
	if !accepted {
		t.Error("the session was not accepted")
	}
}
