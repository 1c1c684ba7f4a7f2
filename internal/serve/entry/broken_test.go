package entry

import (
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/caller"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/broken"
)

// TestBrokenAttempt sends work to a leaving server, and runs a route that is not
// open for a caller without a key.
func TestBrokenAttempt(t *testing.T) {
	for name, p := range map[invariant.Name]struct {
		route  document.Route
		server document.Server
	}{
		invariant.LeavingServer: {document.Route{AllowAnonymous: true}, document.Server{Name: "orders-1", Leaving: true}},
		invariant.OwnAccount:    {document.Route{}, document.Server{Name: "orders-1"}},
	} {
		t.Run(string(name), func(t *testing.T) {
			b := newTestEntry(t, nil)
			b.dial(t)
			r := &request{session: b.entry.sessionList()[0], route: p.route}
			broken.ExpectViolation(t, name, func() { _ = r.attempt(t.Context(), p.server) })
		})
	}
}

// TestBrokenAnswer ends an answer before its last message.
func TestBrokenAnswer(t *testing.T) {
	b := newTestEntry(t, nil)
	b.dial(t)
	f := inner.Encode(inner.KindEnd, inner.End{Status: statusIdle, Raw: caller.CommandComplete("SELECT 1")})
	broken.ExpectViolation(t, invariant.WholeAnswer, func() { _ = b.entry.sessionList()[0].handleEnd(f, "orders-1", true) })
}

// TestBrokenStop cuts a statement that runs, as no planned stop may.
func TestBrokenStop(t *testing.T) {
	b := newTestEntry(t, nil)
	c, _ := b.dial(t)
	if _, err := c.Write(messageOf(t, "Q HOLD")); err != nil {
		t.Fatal(err)
	}
	b.waitForRecord("hold")
	broken.ExpectViolation(t, invariant.PlannedStop, b.entry.terminateAll)
	b.record("release")
}

// TestBrokenKey sends work of an account long after its key was looked at.
func TestBrokenKey(t *testing.T) {
	b := newTestEntry(t, nil)
	b.dial(t)
	s := b.entry.sessionList()[0]
	s.account, s.keyCheckedAt = "counter", b.entry.options.Clock.Now()-2*maxKeyCheckAge
	broken.ExpectViolation(t, invariant.KeyWithdrawn, func() { _ = s.runInTransaction(&batch{}) })
}
