package database

import (
	"context"
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/broken"
)

// TestBrokenRelease runs a statement on a connection after its release.
func TestBrokenRelease(t *testing.T) {
	f := &fakeGroup{}
	g := f.group(t, 4)
	f.runTicks(g, testTimeout, g.Ready)
	broken.ExpectViolation(t, invariant.OneTransaction, func() {
		conn, err := g.pools["p"].acquire(context.Background(), "acme", 1, 1000)
		if err != nil {
			t.Fatal(err)
		}
		conn.Release()
		_, _ = conn.Run(Request{ID: "x", Timeout: 100})
	})
}
