package holder

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// silenceTime is how long a server may leave probes unanswered before nothing
// more is sent to it, in milliseconds.
const silenceTime = 400 * clock.Millis(1)

// LearnPrimary takes in the primary of a term that an observer of the group has
// seen. A server that was the primary of a lower term gets no more writes, and
// those that run on it end as unknown, even when the server itself is silent.
func (h *Holder) LearnPrimary(term floor.Term, primary string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if term <= h.state.Term || primary == h.options.Server.Name {
		return
	}
	h.state.Term, h.state.Leader, h.state.Role = term, primary, backend.RoleReplica
	h.isConfirmed = false
	h.signalLocked()
	h.admission.turnAway()
	for t := range h.running {
		if t.begin.Kind == document.KindWrite {
			t.cut()
		}
	}
}

// silentLocked reports whether a probe has waited too long for its answer.
func (h *Holder) silentLocked() bool {
	return h.probing && h.options.Clock.Now()-h.asked > silenceTime
}

// setProbing notes that a probe was sent or answered.
func (h *Holder) setProbing(probing bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probing, h.asked = probing, h.options.Clock.Now()
}

// replaced reports whether a later term than the given one is known.
func (h *Holder) replaced(term floor.Term) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Term > term
}

func (h *Holder) enter(t *transaction) {
	h.use()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running[t] = struct{}{}
}

func (h *Holder) leave(t *transaction) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.running, t)
}

// cut closes the connection of a running transaction; its outcome is unknown.
func (t *transaction) cut() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.conn.Close()
	}
}
