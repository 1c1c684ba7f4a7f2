package database

import (
	"testing"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// TestCommitAnsweredAfterLease guards against the loss of a commit that is acknowledged after its VM's lease ended, which a claimant may have waited out.
func TestCommitAnsweredAfterLease(t *testing.T) {
	f := &fakeGroup{position: floor.ReplicationPosition{Term: 1, Position: 9}}
	g := f.group(t, 4)
	f.runTicks(g, testTimeout, g.Ready)
	conn, err := g.AcquirePrimary(t.Context(), Requester{Account: "acme", Weight: 1}, 1000)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Release()
	skipTime(g)(60 * clock.Second)
	if _, err := conn.Run(Request{ID: "x", Timeout: 1000, IsCommit: true}); !errors.Is(err, errLeaseEnded) {
		t.Errorf("error %v, want %v", err, errLeaseEnded)
	}
}
