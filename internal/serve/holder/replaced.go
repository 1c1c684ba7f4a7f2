package holder

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// probeTimeout is how long a probe may be unanswered before the server gets no
// more transactions, in milliseconds.
const probeTimeout = 400 * clock.Millis(1)

// LearnPrimary applies a later term and its primary that an observer of the
// group has seen, unless the primary is this server. The server then gets no
// more writes: the waiting requests are refused, and the connections that run
// writes are closed, so the outcome of these is unknown. This needs no answer
// from the server, which may be an isolated former primary.
func (h *Holder) LearnPrimary(term floor.Term, primary string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if term <= h.state.Term || primary == h.options.Server.Name {
		return
	}
	h.state.Term, h.state.Leader, h.state.Role = term, primary, backend.RoleReplica
	h.isConfirmed = false
	h.signalLocked()
	h.admission.refuseWaiting()
	for t := range h.transactions {
		if t.begin.Kind == document.KindWrite {
			t.closeConnection()
		}
	}
}

// unresponsiveLocked reports whether a probe has been unanswered for longer
// than probeTimeout.
func (h *Holder) unresponsiveLocked() bool {
	return h.probing && h.options.Clock.Now()-h.probeSent > probeTimeout
}

// setProbing records that a probe was sent or has ended.
func (h *Holder) setProbing(probing bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probing, h.probeSent = probing, h.options.Clock.Now()
}

// knowsLaterTerm reports whether a term later than the given one is known.
func (h *Holder) knowsLaterTerm(term floor.Term) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Term > term
}

func (h *Holder) addTransaction(t *transaction) {
	h.markUsed()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.transactions[t] = struct{}{}
}

func (h *Holder) removeTransaction(t *transaction) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.transactions, t)
}

// closeConnection closes the connection of a running transaction, whose outcome
// is then unknown.
func (t *transaction) closeConnection() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.conn.Close()
	}
}
