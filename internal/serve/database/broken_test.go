package database

import (
	"context"
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/regions"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/broken"
)

// TestBrokenRelease runs a statement on a connection after its release.
func TestBrokenRelease(t *testing.T) {
	f := &fakeGroup{}
	g := f.group(t, 4)
	f.runTicks(g, testTimeout, g.Ready)
	broken.ExpectViolation(t, invariant.OneTransaction, func() {
		conn, err := g.pools["p"].acquire(context.Background(), Requester{Account: "acme", Weight: 1}, 1000)
		if err != nil {
			t.Fatal(err)
		}
		conn.Release()
		_, _ = conn.Run(Request{ID: "x", Timeout: 100})
	})
}

// TestBrokenExecution executes a statement under a name of several words.
func TestBrokenExecution(t *testing.T) {
	l := &sentLines{}
	g := (&fakeGroup{}).group(t, 4)
	g.options.Protocol = l.protocol()
	broken.ExpectViolation(t, invariant.Unchanged, func() {
		conn, err := g.pools["p"].acquire(context.Background(), Requester{Account: "acme", Weight: 1}, 1000)
		if err != nil {
			t.Fatal(err)
		}
		e := statement.Execution{Shape: statement.Shape{Text: "q7 READ n"}, Arguments: "x9"}
		conn.prepared.add(e.Shape, "rq7 READ n")
		_, _ = conn.Run(Request{ID: "x", Execution: e, Timeout: 100})
	})
}

// TestBrokenRegions runs a statement on a connection to a server, and on one of a VM, outside the
// allowed regions.
func TestBrokenRegions(t *testing.T) {
	allowed := regions.Only([]string{"y"})
	for _, pc := range []*PooledConn{
		{pool: regionalGroup(t).pools["p"]},
		{pool: regionalGroup(t).pools["q"], remote: &RemoteConn{VM: "vm2", Region: "x"}},
	} {
		broken.ExpectViolation(t, invariant.AllowedRegions, func() { _, _ = pc.Run(Request{ID: "x", Regions: allowed, Timeout: 100}) })
	}
}

// TestBrokenHandover lets a VM use a server for longer than the deadline.
func TestBrokenHandover(t *testing.T) {
	f := &fakeGroup{}
	g, z := f.zonedGroup(t, 4)
	broken.ExpectViolation(t, invariant.EvacuatedZone, func() {
		conn, err := g.pools["q"].acquire(t.Context(), Requester{Account: "acme", Weight: 1}, 1000)
		if err != nil {
			t.Fatal(err)
		}
		g.options.Evacuation.Handover = 60 * clock.Second
		z.evacuate(2*g.options.Evacuation.Deadline, "q")
		_, _ = conn.Run(Request{ID: "x", Timeout: 1000})
	})
}
