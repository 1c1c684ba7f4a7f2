package holder

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
)

const (
	// controlConnections is the number of connections kept out of the pool: one
	// for the lock and the probes, and one for each observer of the group.
	controlConnections = 4
	dialTimeout        = 2 * clock.Second
	// probeInterval is the time between two probes of the state of a server in
	// use. The state that is queried after a transaction counts as a probe.
	probeInterval = 20 * clock.Millis(1)
	// idleProbeInterval replaces probeInterval once no transaction has arrived
	// for idleDelay.
	idleProbeInterval = 500 * clock.Millis(1)
	idleDelay         = clock.Second
	// readerProbeInterval replaces probeInterval while reads wait for the
	// server to catch up.
	readerProbeInterval = 5 * clock.Millis(1)
	// retryInterval is the pause before the next attempt to acquire the lock or
	// to dial the server.
	retryInterval = 100 * clock.Millis(1)
	// controlOwner owns the control connection; it is never the number of a
	// transaction.
	controlOwner = ^uint64(0)
)

// poolSize returns the number of connections that transactions may use. On a
// small server this is four fifths, so some observers may get no connection.
func poolSize(connections int) int {
	return max(connections-controlConnections, connections*4/5, 1)
}

// Run keeps the lock of the server and probes its state until the context ends.
// It must be called once.
func (h *Holder) Run(ctx context.Context) {
	defer close(h.done)
	defer h.admission.close()
	for ctx.Err() == nil {
		h.runControl(ctx)
		h.stopServing()
		h.admission.refuseWaiting()
		h.admission.closeIdle()
		_ = h.options.Clock.Sleep(ctx, retryInterval)
	}
}

// runControl acquires the lock over one control connection and probes the
// server until the connection breaks.
func (h *Holder) runControl(ctx context.Context) {
	c, err := h.dial(ctx)
	if err != nil {
		return
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	c.Acquire(controlOwner)
	if !h.lock(ctx, c) {
		return
	}
	sentAt := h.options.Clock.Now()
	first, err := h.probe(c)
	if err != nil {
		return
	}
	h.startServing(c.PID, first, sentAt)
	h.admission.warm(ctx)
	for ctx.Err() == nil {
		h.awaitProbeDue(ctx)
		sentAt := h.options.Clock.Now()
		s, err := h.probe(c)
		if err != nil {
			return
		}
		h.applyState(s, sentAt)
		h.finishProbe()
	}
}

// markUsed notes that a transaction has arrived, so that the server is probed
// often.
func (h *Holder) markUsed() { h.lastUsed.Store(int64(h.options.Clock.Now())) }

// probeDelay returns the time in milliseconds until the next probe is due.
func (h *Holder) probeDelay() clock.Millis {
	now := h.options.Clock.Now()
	if clock.Millis(h.lastUsed.Load())+idleDelay <= now {
		return idleProbeInterval
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.stateTime+probeInterval-now, 1)
}

// awaitProbeDue waits until the next probe is due or requested. While reads
// wait, it is due after readerProbeInterval, or at once when a read arrives
// later than that.
func (h *Holder) awaitProbeDue(ctx context.Context) {
	probeDue, stopProbe := h.options.Clock.AfterFunc(h.probeDelay())
	defer stopProbe()
	readerProbeDue, stopReaderProbe := h.options.Clock.AfterFunc(readerProbeInterval)
	defer stopReaderProbe()
	var readerArrived <-chan struct{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-probeDue:
			return
		case <-h.probeRequest:
			return
		case <-readerArrived:
			return
		case <-readerProbeDue:
			if h.hasWaitingReaders() {
				return
			}
			readerArrived = h.readerArrived
		}
	}
}

// probe queries the state of the server over the control connection.
func (h *Holder) probe(c *backend.Conn) (backend.State, error) {
	h.mu.Lock()
	h.probesStarted++
	h.mu.Unlock()
	h.setProbing(true)
	defer h.setProbing(false)
	rows, err := c.Query(controlOwner, backend.StateQuery)
	if err != nil {
		return backend.State{}, err
	}
	return backend.ParseState(rows)
}

// finishProbe notes that the last probe was answered, and wakes the callers of
// refresh.
func (h *Holder) finishProbe() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probesFinished = h.probesStarted
	h.signalLocked()
}

// refresh waits for a probe that started after the call began. The control
// connection has the lock, so an answered probe shows that the lock was still
// held.
func (h *Holder) refresh(ctx context.Context) *outcome.NotRun {
	h.mu.Lock()
	startedBefore := h.probesStarted
	h.mu.Unlock()
	for {
		select {
		case h.probeRequest <- struct{}{}:
		default:
		}
		h.mu.Lock()
		held, done, changed := h.hasLock, h.probesFinished > startedBefore, h.stateChanged
		h.mu.Unlock()
		if !held {
			return outcome.Refuse(outcome.ReasonNotHolder, outcome.CodeUnavailable, "the VM does not hold backend server %s", h.options.Server.Name)
		}
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return outcome.Refuse(outcome.ReasonDeadline, outcome.CodeTimeout, "backend server %s did not confirm the lock in time", h.options.Server.Name)
		case <-changed:
		}
	}
}
