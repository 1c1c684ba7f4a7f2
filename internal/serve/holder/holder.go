// Package holder owns the connections of one backend server on behalf of all
// VMs: it admits transactions in fair order, pins each to one connection, and
// tracks the server's state. An advisory lock on the server ensures that one VM
// at a time is its holder.
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

// Options configures a Holder.
type Options struct {
	Server   document.Server
	Database string
	// VM is the name of this VM. It is part of the application name of the
	// holder's connections.
	VM       string
	User     string
	Password string
	Clock    clock.Clock
	// Trace records spans; nil disables tracing.
	Trace *trace.Tracer
	// ConfirmFunc reports whether a majority of the database's servers, queried
	// after the call began, know no term above the given one.
	ConfirmFunc func(ctx context.Context, database string, term floor.Term) bool
	// AliveFunc reports whether a VM is still a member. When it is nil, every
	// VM counts as alive and its lock is never taken over.
	AliveFunc func(vm string) bool
	// IdleTimeout bounds the time in milliseconds that a transaction may stay
	// open between two batches; 0 selects the default.
	IdleTimeout clock.Millis
}

// defaultIdleTimeout is used when Options.IdleTimeout is 0.
const defaultIdleTimeout = 60 * clock.Second

// Holder serves one backend server. Run must be called once; all other methods
// may be called concurrently.
type Holder struct {
	options       Options
	admission     *admission
	counters      *counters
	floors        *floors
	ownerSequence atomic.Uint64
	// lastUsed is the time in milliseconds at which the last transaction
	// arrived.
	lastUsed atomic.Int64
	// endQuery queries the server's state and the owner of the lock after a
	// transaction. endMessages holds it and the reset of the connection as
	// encoded messages.
	endQuery    string
	endMessages []byte
	done        chan struct{}

	// confirmMu lets one reader at a time query the majority, so that the
	// readers that wait for it can use the result.
	confirmMu sync.Mutex

	mu    sync.Mutex
	state backend.State
	// stateTime is the time at which the query for state was sent.
	stateTime clock.Millis
	// caughtUpTime is a time at which the server had applied everything that
	// the primary had.
	caughtUpTime clock.Millis
	// hasLock is set while the control connection has the lock.
	hasLock bool
	// lockPID is the process ID of the connection that has the lock, or 0.
	lockPID uint32
	// leavingSince is the time at which the configuration began to mark the
	// server as leaving; it is valid while isLeaving is set.
	leavingSince clock.Millis
	isLeaving    bool
	// draining is set once the VM gives up the server.
	draining bool
	// waitingReaders is the number of reads that wait for the server to catch
	// up.
	waitingReaders int
	// confirmedTime is a time at which a majority knew no later term; it is
	// valid while isConfirmed is set.
	confirmedTime clock.Millis
	isConfirmed   bool
	// probesStarted and probesFinished number the probes of the server's state.
	probesStarted  uint64
	probesFinished uint64
	// stateChanged is closed and replaced after every update of state or
	// hasLock and after every answered probe.
	stateChanged chan struct{}
	// probing is set while the probe that was sent at probeSent is unanswered.
	probing   bool
	probeSent clock.Millis
	// transactions are those that have not ended.
	transactions map[*transaction]struct{}
	// probeRequest requests a probe at once. readerArrived requests one because
	// a read has started to wait; it takes effect once readerProbeInterval has
	// passed since the last probe.
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

// Done returns a channel that is closed once Run has returned and every
// connection but those of open transactions is closed.
func (h *Holder) Done() <-chan struct{} { return h.done }

// Server returns the configuration of the backend server, with the current
// value of Leaving.
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

// State returns the last known state of the server and whether this holder has
// its lock.
func (h *Holder) State() (inner.ServerState, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.serverStateLocked(), h.hasLock
}

// serverStateLocked returns the last known state in the form sent to other VMs.
func (h *Holder) serverStateLocked() inner.ServerState {
	return inner.ServerState{
		Server: h.options.Server.Name, Term: h.state.Term, Primary: h.state.Leader,
		Applied: h.state.Applied, Lag: h.options.Clock.Now() - h.caughtUpTime,
	}
}

// applyState merges a state whose query was sent at sentAt. If the server was
// demoted, it refuses the waiting requests.
func (h *Holder) applyState(s backend.State, sentAt clock.Millis) {
	demoted := h.mergeState(s, sentAt)
	if demoted {
		h.admission.refuseWaiting()
	}
}

// mergeState stores a state unless it is older than the known one, wakes the
// readers that wait for it, and reports whether the server was demoted from
// primary. When the server becomes the primary of a term, its floors start at
// the end of its log, since the holders of earlier primaries recorded the
// earlier writes.
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

// startServing makes the holder serve, with a state that was queried after the
// lock was acquired. Writes recorded by earlier holders are unknown, so the
// floor of every session starts at the end of the server's log.
func (h *Holder) startServing(lockPID uint32, s backend.State, sentAt clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.floors.reset(s.LastPosition)
	h.state, h.caughtUpTime, h.stateTime, h.hasLock, h.lockPID, h.isConfirmed = s, sentAt-s.Lag, sentAt, true, lockPID, false
	h.signalLocked()
}

// stopServing makes the holder refuse transactions after the control
// connection, and with it the lock, was lost.
func (h *Holder) stopServing() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hasLock, h.lockPID = false, 0
	h.signalLocked()
}

// signalLocked wakes everything that waits for a change of state or for a
// probe.
func (h *Holder) signalLocked() {
	close(h.stateChanged)
	h.stateChanged = make(chan struct{})
}

// holdsLock reports whether pid is the process ID of the control connection
// with which this holder has the lock.
func (h *Holder) holdsLock(pid uint32) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return pid != 0 && pid == h.lockPID
}
