package entry

import (
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/caller"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/broken"
)

// TestBrokenAttempt checks that sending work to a leaving server, and running the
// request of an anonymous caller on a route that does not allow such callers,
// violate invariants.
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

// TestBrokenAnswer checks that an answer without its ReadyForQuery violates an
// invariant.
func TestBrokenAnswer(t *testing.T) {
	b := newTestEntry(t, nil)
	b.dial(t)
	f := inner.Encode(inner.KindEnd, inner.End{Status: statusIdle, Raw: caller.CommandComplete("SELECT 1")})
	broken.ExpectViolation(t, invariant.WholeAnswer, func() { _ = b.entry.sessionList()[0].handleEnd(f, "orders-1", true) })
}

// TestBrokenStop checks that terminating a running statement in a planned stop
// violates an invariant.
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

// TestBrokenKey checks that sending work of an account long after its key was
// checked violates an invariant.
func TestBrokenKey(t *testing.T) {
	b := newTestEntry(t, nil)
	b.dial(t)
	s := b.entry.sessionList()[0]
	s.account, s.keyCheckedAt = "counter", b.entry.options.Clock.Now()-2*maxKeyCheckAge
	broken.ExpectViolation(t, invariant.KeyWithdrawn, func() { _ = s.runInTransaction(&batch{}) })
}
