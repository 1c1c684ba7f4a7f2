package holder

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
)

// Floor returns the floor of a named session. It succeeds only if, after the
// call began, this holder had the lock, the server was the primary and a
// majority of the group knew no later term. Otherwise a holder or primary that
// was replaced could miss a later write of the session. Errors are of type
// *outcome.NotRun.
func (h *Holder) Floor(ctx context.Context, session string) (floor.ReplicationPosition, error) {
	state, refusal := h.confirmedPrimary(ctx)
	if refusal != nil {
		return floor.ReplicationPosition{}, refusal
	}
	if !h.options.ConfirmFunc(ctx, h.options.Database, state.Term) {
		return floor.ReplicationPosition{}, outcome.Refuse(outcome.ReasonNotPrimary, outcome.CodeUnavailable, "no majority confirms the primary %s", h.options.Server.Name)
	}
	return h.floors.get(session), nil
}

// RecordFloor raises the floor of a named session after a holder that had lost
// the lock committed the session's write. A holder that acquires the lock after
// the commit needs no such record: it starts with a floor that covers the write.
// Errors are of type *outcome.NotRun.
func (h *Holder) RecordFloor(ctx context.Context, session string, position floor.ReplicationPosition) error {
	if _, refusal := h.confirmedPrimary(ctx); refusal != nil {
		return refusal
	}
	h.floors.record(session, position)
	return nil
}

// confirmedPrimary returns the state of the server if, after the call began, it
// was the primary and this holder had the lock.
func (h *Holder) confirmedPrimary(ctx context.Context) (backend.State, *outcome.NotRun) {
	if refusal := h.refresh(ctx); refusal != nil {
		return backend.State{}, refusal
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state.Role != backend.RolePrimary {
		return h.state, outcome.Refuse(outcome.ReasonNotPrimary, outcome.CodeReadOnly, "backend server %s is not the primary", h.options.Server.Name)
	}
	return h.state, nil
}
