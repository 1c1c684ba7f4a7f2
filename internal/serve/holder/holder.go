// Package holder owns the connections to one backend server on behalf of every
// VM: it admits transactions in fair order, pins each to one connection, and
// knows the server's state.
package holder

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// Options makes a holder.
type Options struct {
	Server   document.Server
	Database string
	// VM names the holder in the server's list of connections.
	VM       string
	User     string
	Password string
	Clock    clock.Clock
	// ConfirmFunc reports whether a majority of the database's servers, asked
	// after the call began, know no term above the given one.
	ConfirmFunc func(ctx context.Context, database string, term floor.Term) bool
}

// Holder serves one backend server.
type Holder struct {
	options   Options
	admission *admission
	floors    *floors
	owners    atomic.Uint64
	done      chan struct{}

	mu      sync.Mutex
	state   backend.State
	seen    clock.Millis
	held    bool
	changed chan struct{}
	// probing is set while a probe that was sent at asked has no answer.
	probing bool
	asked   clock.Millis
	running map[*transaction]struct{}
	// epoch ends when the server is lost or replaced as the primary.
	epoch    context.Context
	endEpoch context.CancelFunc
}

// New returns a holder that serves once Run is called.
func New(o Options) *Holder {
	h := &Holder{options: o, done: make(chan struct{}), changed: make(chan struct{}), running: map[*transaction]struct{}{}, floors: newFloors(MaxSessions)}
	h.epoch, h.endEpoch = context.WithCancel(context.Background())
	h.admission = newAdmission(o.Server.Slots, poolSize(o.Server.Connections), h.dial)
	return h
}

// Done is closed once Run has ended and every connection is closed.
func (h *Holder) Done() <-chan struct{} { return h.done }

// Server returns the server that the holder serves.
func (h *Holder) Server() document.Server { return h.options.Server }

func (h *Holder) dial(ctx context.Context) (*backend.Conn, error) {
	return backend.Dial(ctx, h.dialOptions())
}

func (h *Holder) dialOptions() backend.Options {
	o := h.options
	return backend.Options{
		Address: o.Server.Address, Database: o.Database, User: o.User, Password: o.Password,
		Name: "sycamoredoor/" + o.VM, Timeout: dialTimeout,
	}
}

// State returns what is known of the server and whether the holder has its lock.
func (h *Holder) State() (inner.State, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.innerState(), h.held
}

func (h *Holder) innerState() inner.State {
	return inner.State{
		Server: h.options.Server.Name, Term: h.state.Term, Primary: h.state.Leader,
		Applied: h.state.Applied, Lag: h.state.Lag + h.options.Clock.Now() - h.seen,
	}
}

// learn takes in a newer state and wakes the readers that wait for one.
func (h *Holder) learn(s backend.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Term < h.state.Term || s.Term == h.state.Term && !s.Applied.Covers(h.state.Applied) {
		return
	}
	if s.Role == backend.RolePrimary && (h.state.Role != backend.RolePrimary || s.Term != h.state.Term) {
		h.floors.restart(s.Last)
	}
	h.state, h.seen = s, h.options.Clock.Now()
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *Holder) setHeld(held bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !held {
		h.endEpochLocked()
	}
	h.held = held
	close(h.changed)
	h.changed = make(chan struct{})
}

// lockKey is the advisory lock that the holder of a server keeps on it.
func lockKey(server string) uint32 { return uint32(xxhash.Sum64String("sycamoredoor/" + server)) }

// ready waits until the server may run the transaction, or tells why it may not.
func (h *Holder) ready(ctx context.Context, b inner.Begin) *outcome.NotRun {
	deadline := h.options.Clock.Now() + b.Wait
	for {
		refusal, changed := h.check(b)
		left := deadline - h.options.Clock.Now()
		if refusal == nil || refusal.Reason != outcome.ReasonBehind || left <= 0 {
			return refusal
		}
		fired, stop := h.options.Clock.AfterFunc(left)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-fired:
		}
		stop()
		if ctx.Err() != nil {
			return refusal
		}
	}
}

func (h *Holder) check(b inner.Begin) (*outcome.NotRun, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	name := h.options.Server.Name
	switch {
	case !h.held:
		return outcome.Refuse(outcome.ReasonHolder, outcome.CodeUnavailable, "the VM does not hold backend server %s", name), nil
	case b.Kind == document.KindWrite && h.state.Role != backend.RolePrimary:
		return outcome.Refuse(outcome.ReasonPrimary, outcome.CodeReadOnly, "backend server %s is not the primary", name), nil
	case h.silentLocked():
		return outcome.Refuse(outcome.ReasonHolder, outcome.CodeUnavailable, "backend server %s does not answer", name), nil
	case !h.state.Applied.Covers(b.Floor):
		return outcome.Refuse(outcome.ReasonBehind, outcome.CodeUnavailable, "backend server %s is at %s and the session has seen %s", name, h.state.Applied, b.Floor), h.changed
	}
	return nil, nil
}
