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

// leavingGrace is the time after which a leaving server must get no new work.
const leavingGrace = 3 * clock.Second

// Update takes in a change of the server's entry in the configuration. It
// reports false when the change needs a new holder.
func (h *Holder) Update(s document.Server) bool {
	same := s
	same.Leaving = h.options.Server.Leaving
	if same != h.options.Server {
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

func (h *Holder) checkLeaving() {
	h.mu.Lock()
	defer h.mu.Unlock()
	since := h.options.Clock.Now() - h.leavingSince
	invariant.Check(!h.isLeaving || since <= leavingGrace, invariant.LeavingServer,
		"backend server %s got a new transaction after it had been leaving for %d ms", h.options.Server.Name, since)
}

// awaitReady waits until the server may run the transaction, or tells why it may not.
func (h *Holder) awaitReady(ctx context.Context, b inner.Begin) *outcome.NotRun {
	deadline := h.options.Clock.Now() + b.Wait
	for {
		if b.MaxStaleness > 0 && b.Kind == document.KindRead {
			h.confirmPrimary(ctx, b.MaxStaleness)
		}
		refusal, changed := h.check(b)
		left := deadline - h.options.Clock.Now()
		if refusal == nil || refusal.Reason != outcome.ReasonReplicaBehind || left <= 0 {
			return refusal
		}
		h.awaitStateChange(ctx, changed, left)
		if ctx.Err() != nil {
			return refusal
		}
	}
}

// awaitStateChange waits for a change of state, which it has looked for more often.
func (h *Holder) awaitStateChange(ctx context.Context, changed <-chan struct{}, left clock.Millis) {
	h.addWaitingReaders(1)
	defer h.addWaitingReaders(-1)
	select {
	case h.readerArrived <- struct{}{}:
	default:
	}
	fired, stop := h.options.Clock.AfterFunc(left)
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

// confirmPrimary asks a majority about a primary that has not been confirmed within
// the age, since an isolated one does not know that it was replaced.
func (h *Holder) confirmPrimary(ctx context.Context, age clock.Millis) {
	h.confirmMu.Lock()
	defer h.confirmMu.Unlock()
	now := h.options.Clock.Now()
	h.mu.Lock()
	needed := h.state.Role == backend.RolePrimary && (!h.isConfirmed || now-h.confirmedTime > age)
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

// check tells why the transaction may not run, and what to wait for if waiting
// may help.
func (h *Holder) check(b inner.Begin) (*outcome.NotRun, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	name := h.options.Server.Name
	switch {
	case !h.held:
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

// staleLocked reports whether the server may be further behind than the age.
func (h *Holder) staleLocked(age clock.Millis) bool {
	now := h.options.Clock.Now()
	if h.state.Role == backend.RolePrimary {
		return !h.isConfirmed || now-h.confirmedTime > age
	}
	return now-h.caughtUpTime > age
}
