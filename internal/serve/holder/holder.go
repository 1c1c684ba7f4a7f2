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
	// IdleTimeout is how long a transaction may stay open between two batches, in
	// milliseconds; 0 means the default.
	IdleTimeout clock.Millis
}

// defaultIdleTimeout is how long a transaction may stay open between two batches.
const defaultIdleTimeout = 60 * clock.Second

// Holder serves one backend server.
type Holder struct {
	options       Options
	admission     *admission
	counters      *counters
	floors        *floors
	ownerSequence atomic.Uint64
	// lastUsed is the moment of the last transaction.
	lastUsed atomic.Int64
	// endQuery asks for the state after a transaction; settling is the messages
	// of it and of the reset.
	endQuery    string
	endMessages []byte
	done        chan struct{}

	// confirmMu lets one reader at a time ask the majority.
	confirmMu sync.Mutex

	mu    sync.Mutex
	state backend.State
	// stateTime is the moment at which the present state was asked for.
	stateTime clock.Millis
	// caughtUpTime is a moment at which the server had all that the primary had.
	caughtUpTime clock.Millis
	held         bool
	// lockPID is the control connection that has the lock, or 0.
	lockPID uint32
	// leavingSince is the moment since which the server gets no new work.
	leavingSince clock.Millis
	isLeaving    bool
	// draining is set once the VM gives the server up.
	draining bool
	// waitingReaders is the number of readers that wait for the server to catch up.
	waitingReaders int
	// confirmedTime is a moment at which a majority knew of no later primary.
	confirmedTime clock.Millis
	isConfirmed   bool
	// probesStarted and finished number the looks at the server's state.
	probesStarted  uint64
	probesFinished uint64
	stateChanged   chan struct{}
	// probing is set while a probe that was sent at asked has no answer.
	probing       bool
	probeSent     clock.Millis
	transactions  map[*transaction]struct{}
	probeRequest  chan struct{}
	readerArrived chan struct{}
}

// New returns a holder that serves once Run is called.
func New(o Options) *Holder {
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	h := &Holder{options: o, done: make(chan struct{}), stateChanged: make(chan struct{}), transactions: map[*transaction]struct{}{}, probeRequest: make(chan struct{}, 1), readerArrived: make(chan struct{}, 1), floors: newFloors(MaxSessions)}
	h.endQuery = endStateQuery(o.Server.Name)
	h.endMessages = append(backend.QueryMessage(h.endQuery), backend.QueryMessage(resetQuery)...)
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
		ApplicationName: namePrefix + o.VM, ConnectTimeout: dialTimeout,
	}
}

// State returns what is known of the server and whether the holder has its lock.
func (h *Holder) State() (inner.ServerState, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.innerState(), h.held
}

func (h *Holder) innerState() inner.ServerState {
	return inner.ServerState{
		Server: h.options.Server.Name, Term: h.state.Term, Primary: h.state.Leader,
		Applied: h.state.Applied, Lag: h.options.Clock.Now() - h.caughtUpTime,
	}
}

// applyState takes in a state that was asked for at the given moment, if it is newer,
// and wakes the readers that wait for one.
func (h *Holder) applyState(s backend.State, sentAt clock.Millis) {
	demoted := h.mergeState(s, sentAt)
	if demoted {
		h.admission.refuseWaiting()
	}
}

// mergeState takes in a state and reports whether the server ceased to be
// the primary.
func (h *Holder) mergeState(s backend.State, sentAt clock.Millis) bool {
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
		h.floors.reset(s.LastPosition)
	}
	h.state, h.caughtUpTime, h.stateTime = s, max(h.caughtUpTime, sentAt-s.Lag), max(h.stateTime, sentAt)
	h.signalLocked()
	return demoted
}

// hold begins the holding with the state that was asked for after the lock was
// got. What other holders recorded is not known, so all sessions start at the
// end of the log.
func (h *Holder) hold(lockPID uint32, s backend.State, sentAt clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.floors.reset(s.LastPosition)
	h.state, h.caughtUpTime, h.stateTime, h.held, h.lockPID, h.isConfirmed = s, sentAt-s.Lag, sentAt, true, lockPID, false
	h.signalLocked()
}

// release ends the holding after the control connection was lost.
func (h *Holder) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held, h.lockPID = false, 0
	h.signalLocked()
}

func (h *Holder) signalLocked() {
	close(h.stateChanged)
	h.stateChanged = make(chan struct{})
}

// holdsLock reports whether the given connection of the server is the one with
// which this holder keeps its lock.
func (h *Holder) holdsLock(pid uint32) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return pid != 0 && pid == h.lockPID
}
