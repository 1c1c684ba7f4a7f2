package database

import (
	"context"
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/broken"
)

// TestBrokenRelease uses a connection that was given back.
func TestBrokenRelease(t *testing.T) {
	f := &fake{}
	g := f.group(t, 4)
	f.runTicks(g, testTimeout, g.Ready)
	broken.ExpectViolation(t, invariant.OneTransaction, func() {
		h, err := g.pools["p"].acquire(context.Background(), "acme", 1, 1000)
		if err != nil {
			t.Fatal(err)
		}
		h.Release()
		_, _ = h.Run(Request{ID: "x", Timeout: 100})
	})
}
