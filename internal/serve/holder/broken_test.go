package holder

import (
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/broken"
)

// TestBrokenOutcome refuses a batch as not run after it was sent, and sends a batch
// with an idempotency key a second time. Each must violate an invariant.
func TestBrokenOutcome(t *testing.T) {
	broken.ExpectViolation(t, invariant.NotRun, func() {
		(&transaction{batchSent: true}).sendRefusal(outcome.Refuse(outcome.ReasonDeadline, outcome.CodeTimeout, "too late"))
	})
	broken.ExpectViolation(t, invariant.AtMostOnce, func() { _, _ = (&transaction{keyedBatchSent: true}).sendOnce(inner.Batch{}) })
}

// TestBrokenBatch plans a batch that contains a caller's key, in a password
// message, which must violate an invariant.
func TestBrokenBatch(t *testing.T) {
	password := []byte("p\x00\x00\x00\x0ajelly\x00")
	broken.ExpectViolation(t, invariant.NoKeys, func() { planBatch(inner.Batch{Raw: password}, backend.NewStatementCache(1)) })
}

// TestBrokenPin changes the state of the server between its last check and the
// use of the connection, which the program itself never does. Each change must
// violate an invariant.
func TestBrokenPin(t *testing.T) {
	for name, change := range map[invariant.Name]func(*Holder){
		invariant.ReadYourWrites: func(h *Holder) { h.state.Applied = floor.ReplicationPosition{} },
		invariant.LeavingServer: func(h *Holder) {
			h.isLeaving, h.leavingSince = true, -2*leavingGrace
		},
	} {
		t.Run(string(name), func(t *testing.T) {
			var h *Holder
			setupDone := false
			// The staleness check, the last of checkReady, reads the clock, so the
			// change follows the other checks.
			h = New(Options{Clock: clock.Clock{NowFunc: func() clock.Millis {
				if setupDone {
					change(h)
				}
				return 0
			}}})
			seen := floor.ReplicationPosition{Term: 1, Position: 7}
			h.hasLock, h.state.Applied = true, seen
			setupDone = true
			begin := inner.Begin{Kind: document.KindRead, Floor: seen, MaxStaleness: clock.Second}
			broken.ExpectViolation(t, name, func() { (&transaction{holder: h, begin: begin}).pin(nil) })
		})
	}
}
