package holder

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
)

const (
	// controlConnections is kept out of the pool: one for the lock and the probes,
	// and one for each observer of the group.
	controlConnections = 4
	dialTimeout        = 2 * clock.Second
	// probeInterval is the pause between two looks at the state of a server in use;
	// an answer of the server that tells it counts as a look.
	probeInterval = 20 * clock.Millis(1)
	// idleProbeInterval is the same once nothing has used the server for calmTime.
	idleProbeInterval = 500 * clock.Millis(1)
	idleDelay         = clock.Second
	// readerProbeInterval is the pause while readers wait for the server to catch up.
	readerProbeInterval = 5 * clock.Millis(1)
	// retryInterval is the pause before the lock or the server is tried again.
	retryInterval = 100 * clock.Millis(1)
	controlOwner  = ^uint64(0)
)

// poolSize is the number of connections left for transactions. A small server
// keeps four fifths for them, and some observers may then find none left.
func poolSize(connections int) int {
	return max(connections-controlConnections, connections*4/5, 1)
}

// Run keeps the lock and the state of the server until the context ends.
func (h *Holder) Run(ctx context.Context) {
	defer close(h.done)
	defer h.admission.close()
	for ctx.Err() == nil {
		h.runControl(ctx)
		h.release()
		h.admission.refuseWaiting()
		h.admission.closeIdle()
		_ = h.options.Clock.Sleep(ctx, retryInterval)
	}
}

// runControl holds the server over one control connection until it breaks.
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
	h.hold(c.PID, first, sentAt)
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

// markUsed notes that a transaction has come, so that the server is looked at often.
func (h *Holder) markUsed() { h.lastUsed.Store(int64(h.options.Clock.Now())) }

// probeDelay returns how long the present knowledge of the server is good for.
func (h *Holder) probeDelay() clock.Millis {
	now := h.options.Clock.Now()
	if clock.Millis(h.lastUsed.Load())+idleDelay <= now {
		return idleProbeInterval
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.stateTime+probeInterval-now, 1)
}

// awaitProbeDue waits until the next look at the state is due or asked for. It is due
// early while readers wait.
func (h *Holder) awaitProbeDue(ctx context.Context) {
	long, stopLong := h.options.Clock.AfterFunc(h.probeDelay())
	defer stopLong()
	short, stopShort := h.options.Clock.AfterFunc(readerProbeInterval)
	defer stopShort()
	var hurry <-chan struct{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-long:
			return
		case <-h.probeRequest:
			return
		case <-hurry:
			return
		case <-short:
			if h.hasWaitingReaders() {
				return
			}
			hurry = h.readerArrived
		}
	}
}

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

func (h *Holder) finishProbe() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probesFinished = h.probesStarted
	h.signalLocked()
}

// refresh waits until the state was seen over the control connection after the
// call began. The connection has the lock, so the lock was alive then.
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
		held, done, changed := h.held, h.probesFinished > startedBefore, h.stateChanged
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
