package holder

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// leavingGrace is the time after which no new transaction may reach a leaving
// server.
const leavingGrace = 3 * clock.Second

// Update applies a change of the server's configuration. It returns false, and
// changes nothing, when the change needs a new holder: only Leaving can be
// changed.
func (h *Holder) Update(s document.Server) bool {
	updated := s
	updated.Leaving = h.options.Server.Leaving
	if updated != h.options.Server {
		return false
	}
	h.setLeaving(s.Leaving)
	return true
}

func (h *Holder) setLeaving(leaving bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if leaving && !h.isLeaving {
		h.leavingSince = h.options.Clock.Now()
	}
	h.isLeaving = leaving
}

// checkLeaving reports a violation if the server has been leaving for longer
// than leavingGrace.
func (h *Holder) checkLeaving() {
	h.mu.Lock()
	defer h.mu.Unlock()
	elapsed := h.options.Clock.Now() - h.leavingSince
	invariant.Check(!h.isLeaving || elapsed <= leavingGrace, invariant.LeavingServer,
		"backend server %s got a new transaction after it had been leaving for %d ms", h.options.Server.Name, elapsed)
}

// awaitReady waits until the server may run the transaction, at most for
// b.Wait, or returns why it may not. Only a server that is behind is waited
// for.
func (h *Holder) awaitReady(ctx context.Context, b inner.Begin) *outcome.NotRun {
	deadline := h.options.Clock.Now() + b.Wait
	for {
		if b.MaxStaleness > 0 && b.Kind == document.KindRead {
			h.confirmPrimary(ctx, b.MaxStaleness)
		}
		refusal, changed := h.checkReady(b)
		remaining := deadline - h.options.Clock.Now()
		if refusal == nil || refusal.Reason != outcome.ReasonReplicaBehind || remaining <= 0 {
			return refusal
		}
		h.awaitStateChange(ctx, changed, remaining)
		if ctx.Err() != nil {
			return refusal
		}
	}
}

// awaitStateChange waits for a change of state, and has the server probed more
// often until then.
func (h *Holder) awaitStateChange(ctx context.Context, changed <-chan struct{}, timeout clock.Millis) {
	h.addWaitingReaders(1)
	defer h.addWaitingReaders(-1)
	select {
	case h.readerArrived <- struct{}{}:
	default:
	}
	fired, stop := h.options.Clock.AfterFunc(timeout)
	defer stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-fired:
	}
}

func (h *Holder) addWaitingReaders(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waitingReaders += n
}

func (h *Holder) hasWaitingReaders() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.waitingReaders > 0
}

// confirmPrimary queries a majority, since an isolated primary does not know
// that it was replaced. It does nothing on a replica, or if a majority has
// confirmed the primary within the last maxAge milliseconds.
func (h *Holder) confirmPrimary(ctx context.Context, maxAge clock.Millis) {
	h.confirmMu.Lock()
	defer h.confirmMu.Unlock()
	now := h.options.Clock.Now()
	h.mu.Lock()
	needed := h.state.Role == backend.RolePrimary && (!h.isConfirmed || now-h.confirmedTime > maxAge)
	term := h.state.Term
	h.mu.Unlock()
	if !needed || !h.options.ConfirmFunc(ctx, h.options.Database, term) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state.Term == term {
		h.confirmedTime, h.isConfirmed = now, true
	}
}

// checkReady returns why the transaction may not run, or nil. The channel is
// not nil when waiting may help; it is closed at the next change of state.
func (h *Holder) checkReady(b inner.Begin) (*outcome.NotRun, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	name := h.options.Server.Name
	switch {
	case !h.hasLock:
		return outcome.Refuse(outcome.ReasonNotHolder, outcome.CodeUnavailable, "the VM does not hold backend server %s", name), nil
	case h.draining:
		return outcome.Refuse(outcome.ReasonNotHolder, outcome.CodeUnavailable, "the VM gives up backend server %s", name), nil
	case h.isLeaving:
		return outcome.Refuse(outcome.ReasonLeaving, outcome.CodeUnavailable, "backend server %s is leaving", name), nil
	case h.unresponsiveLocked():
		return outcome.Refuse(outcome.ReasonNotHolder, outcome.CodeUnavailable, "backend server %s does not answer", name), nil
	case b.Kind == document.KindWrite && h.state.Role != backend.RolePrimary:
		return outcome.Refuse(outcome.ReasonNotPrimary, outcome.CodeReadOnly, "backend server %s is not the primary", name), nil
	case !h.state.Applied.Covers(b.Floor):
		return outcome.Refuse(outcome.ReasonReplicaBehind, outcome.CodeUnavailable, "backend server %s is at %s and the session has seen %s", name, h.state.Applied, b.Floor), h.stateChanged
	case b.MaxStaleness > 0 && b.Kind == document.KindRead && h.staleLocked(b.MaxStaleness):
		return outcome.Refuse(outcome.ReasonReplicaBehind, outcome.CodeUnavailable, "backend server %s may be more than %d ms behind", name, b.MaxStaleness), h.stateChanged
	}
	return nil, nil
}

// staleLocked reports whether reads on the server may exceed the staleness
// bound maxAge, in milliseconds.
func (h *Holder) staleLocked(maxAge clock.Millis) bool {
	now := h.options.Clock.Now()
	if h.state.Role == backend.RolePrimary {
		return !h.isConfirmed || now-h.confirmedTime > maxAge
	}
	return now-h.caughtUpTime > maxAge
}
