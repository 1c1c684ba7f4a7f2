// Package holder owns the connections to one backend server on behalf of every
// VM: it admits transactions in fair order, pins each to one connection, and
// knows the server's state.
package holder

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/trace"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
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
	// Trace records spans; nil records none.
	Trace *trace.Tracer
	// ConfirmFunc reports whether a majority of the database's servers, asked
	// after the call began, know no term above the given one.
	ConfirmFunc func(ctx context.Context, database string, term floor.Term) bool
	// AliveFunc reports whether a VM is still a member. When it is nil, every VM
	// counts as alive and its lock is never taken over.
	AliveFunc func(vm string) bool
	// Idle is how long a transaction may stay open between two batches, in
	// milliseconds; 0 means the default.
	Idle clock.Millis
}

// defaultIdle is how long a transaction may stay open between two batches.
const defaultIdle = 60 * clock.Second

// Holder serves one backend server.
type Holder struct {
	options   Options
	admission *admission
	counters  *counters
	floors    *floors
	owners    atomic.Uint64
	// used is the moment of the last transaction.
	used atomic.Int64
	// question asks for the state after a transaction; settling is the messages
	// of it and of the reset.
	question string
	settling []byte
	done     chan struct{}

	// confirming lets one reader at a time ask the majority.
	confirming sync.Mutex

	mu    sync.Mutex
	state backend.State
	// told is the moment at which the present state was asked for.
	told clock.Millis
	// level is a moment at which the server had all that the primary had.
	level clock.Millis
	held  bool
	// locker is the control connection that has the lock, or 0.
	locker uint32
	// leaving is the moment since which the server gets no new work.
	leaving   clock.Millis
	isLeaving bool
	// departing is set once the VM gives the server up.
	departing bool
	// waiting is the number of readers that wait for the server to catch up.
	waiting int
	// confirmed is a moment at which a majority knew of no later primary.
	confirmed   clock.Millis
	isConfirmed bool
	// started and finished number the looks at the server's state.
	started  uint64
	finished uint64
	changed  chan struct{}
	// probing is set while a probe that was sent at asked has no answer.
	probing bool
	asked   clock.Millis
	running map[*transaction]struct{}
	wake    chan struct{}
	hurry   chan struct{}
}

// New returns a holder that serves once Run is called.
func New(o Options) *Holder {
	if o.Idle <= 0 {
		o.Idle = defaultIdle
	}
	h := &Holder{options: o, done: make(chan struct{}), changed: make(chan struct{}), running: map[*transaction]struct{}{}, wake: make(chan struct{}, 1), hurry: make(chan struct{}, 1), floors: newFloors(MaxSessions)}
	h.question = settleQuery(o.Server.Name)
	h.settling = append(backend.QueryMessage(h.question), backend.QueryMessage(resetQuery)...)
	h.setLeaving(o.Server.Leaving)
	h.counters = newCounters(o.Server.Name)
	h.admission = newAdmission(o.Server.Slots, poolSize(o.Server.Connections), o.Clock, h.counters, h.dial)
	return h
}

// Done is closed once Run has ended and every connection is closed.
func (h *Holder) Done() <-chan struct{} { return h.done }

// Server returns the server that the holder serves.
func (h *Holder) Server() document.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.options.Server
	s.Leaving = h.isLeaving
	return s
}

func (h *Holder) dial(ctx context.Context) (*backend.Conn, error) {
	return backend.Dial(ctx, h.dialOptions())
}

func (h *Holder) dialOptions() backend.Options {
	o := h.options
	return backend.Options{
		Address: o.Server.Address, Database: o.Database, User: o.User, Password: o.Password,
		Name: namePrefix + o.VM, Timeout: dialTimeout,
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
		Applied: h.state.Applied, Lag: h.options.Clock.Now() - h.level,
	}
}

// learn takes in a state that was asked for at the given moment, if it is newer,
// and wakes the readers that wait for one.
func (h *Holder) learn(s backend.State, asked clock.Millis) {
	demoted := h.take(s, asked)
	if demoted {
		h.admission.turnAway()
	}
}

// take takes in a state and reports whether the server ceased to be
// the primary.
func (h *Holder) take(s backend.State, asked clock.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Term < h.state.Term || s.Term == h.state.Term && !s.Applied.Covers(h.state.Applied) {
		return false
	}
	demoted := h.state.Role == backend.RolePrimary && s.Role != backend.RolePrimary
	if s.Term != h.state.Term || s.Role != h.state.Role {
		h.isConfirmed = false
	}
	if s.Role == backend.RolePrimary && (h.state.Role != backend.RolePrimary || s.Term != h.state.Term) {
		h.floors.restart(s.Last)
	}
	h.state, h.level, h.told = s, max(h.level, asked-s.Lag), max(h.told, asked)
	h.signalLocked()
	return demoted
}

// hold begins the holding with the state that was asked for after the lock was
// got. What other holders recorded is not known, so all sessions start at the
// end of the log.
func (h *Holder) hold(locker uint32, s backend.State, asked clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.floors.restart(s.Last)
	h.state, h.level, h.told, h.held, h.locker, h.isConfirmed = s, asked-s.Lag, asked, true, locker, false
	h.signalLocked()
}

// release ends the holding after the control connection was lost.
func (h *Holder) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held, h.locker = false, 0
	h.signalLocked()
}

func (h *Holder) signalLocked() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// holds reports whether the given connection of the server is the one with
// which this holder keeps its lock.
func (h *Holder) holds(locker uint32) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return locker != 0 && locker == h.locker
}
