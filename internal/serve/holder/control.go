package holder

import (
	"context"
	"fmt"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
)

const (
	// controlConnections is kept out of the pool: one for the lock and the probes,
	// and one for each observer of the group.
	controlConnections = 4
	dialTimeout        = 2 * clock.Second
	// probeInterval is the pause between two looks at the server's state.
	probeInterval = 20 * clock.Millis(1)
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
		h.session(ctx)
		h.setHeld(false)
		h.admission.drop()
		_ = h.options.Clock.Sleep(ctx, retryInterval)
	}
}

// session holds the server over one control connection until it breaks.
func (h *Holder) session(ctx context.Context) {
	c, err := h.dial(ctx)
	if err != nil {
		return
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	c.Take(controlOwner)
	if !h.lock(ctx, c) {
		return
	}
	for ctx.Err() == nil {
		h.setProbing(true)
		s, err := probe(c)
		h.setProbing(false)
		if err != nil {
			return
		}
		h.learn(s)
		if h.setHeldOnce() {
			h.admission.warm(ctx)
		}
		_ = h.options.Clock.Sleep(ctx, probeInterval)
	}
}

func (h *Holder) setHeldOnce() bool {
	h.mu.Lock()
	held := h.held
	h.mu.Unlock()
	if !held {
		h.setHeld(true)
	}
	return !held
}

func (h *Holder) lock(ctx context.Context, c *backend.Conn) bool {
	question := fmt.Sprintf("SELECT pg_try_advisory_lock(%d)", lockKey(h.options.Server.Name))
	for ctx.Err() == nil {
		rows, err := c.Query(controlOwner, question)
		if err != nil {
			return false
		}
		if len(rows) == 1 && rows[0][0] == "t" {
			return true
		}
		_ = h.options.Clock.Sleep(ctx, retryInterval)
	}
	return false
}

func probe(c *backend.Conn) (backend.State, error) {
	rows, err := c.Query(controlOwner, backend.StateQuery)
	if err != nil {
		return backend.State{}, err
	}
	return backend.ParseState(rows)
}
