package holder

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
)

// Floor returns the floor of a named session. It answers only when, after the
// question came, the server was the primary and a majority of the group knew no
// later term, so that a replaced primary's holder cannot hide a write.
func (h *Holder) Floor(ctx context.Context, session string) (floor.Mark, error) {
	h.mu.Lock()
	held, state := h.held, h.state
	h.mu.Unlock()
	name := h.options.Server.Name
	if !held {
		return floor.Mark{}, outcome.Refuse(outcome.ReasonHolder, outcome.CodeUnavailable, "the VM does not hold backend server %s", name)
	}
	if state.Role != backend.RolePrimary {
		return floor.Mark{}, outcome.Refuse(outcome.ReasonPrimary, outcome.CodeReadOnly, "backend server %s is not the primary", name)
	}
	if !h.options.ConfirmFunc(ctx, h.options.Database, state.Term) {
		return floor.Mark{}, outcome.Refuse(outcome.ReasonPrimary, outcome.CodeUnavailable, "no majority confirms the primary %s", name)
	}
	return h.floors.of(session), nil
}
