package database

import (
	"maps"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/base/trace"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

// PooledConn is a connection that one session has for itself until it is released.
type PooledConn struct {
	pool *pool
	conn *Conn
	// remote is set instead of conn when another VM holds the connection.
	remote  *RemoteConn
	account string
	// values and prepared are what the server's session has.
	values   map[string]string
	prepared map[statement.Shape]string
	usedAt   clock.Millis
	broken   bool
	// released is set once the connection was given back.
	released bool
	// granted is set until the first statement after it was given out.
	granted bool
}

// Server returns the server that the connection leads to.
func (h *PooledConn) Server() Server { return h.pool.entry() }

// Run runs a statement and takes in what the answer says of the server's log.
// After an error the connection is of no more use.
func (h *PooledConn) Run(r Request) (statement.Answer, error) {
	h.checkNotReleased()
	if h.remote != nil {
		return h.runRemote(r)
	}
	c := h.pool.group.options.Clock
	sent := c.Now()
	h.pool.startStatement(h.granted)
	h.granted = false
	span := h.pool.group.options.Trace.StartChild(r.Parent, trace.BackendSpan)
	a, err := h.conn.RunFunc(r)
	span.End(h.traceAttributes(a, err))
	h.pool.endStatement(c.Now()-sent, a.Code == statement.Busy, err)
	if err != nil {
		h.broken = true
		return a, err
	}
	h.recordAnswer(r, a, sent)
	return a, nil
}

// traceAttributes describe the end of a statement in its span.
func (h *PooledConn) traceAttributes(a statement.Answer, err error) trace.Attributes {
	out := trace.Attributes{Account: h.account, Database: h.pool.group.options.Name, Server: h.pool.entry().ID, Outcome: "ran"}
	switch {
	case err != nil:
		out.Outcome, out.Reason = "lost", err.Error()
	case a.Code.NotRun():
		out.Outcome, out.Reason = "notrun", a.Code.String()
	}
	return out
}

// recordAnswer takes in what an answer says of the server's log. An answer without a state
// ends the connection.
func (h *PooledConn) recordAnswer(r Request, a statement.Answer, sent clock.Millis) {
	h.broken = h.broken || a.Status == 0
	g := h.pool.group
	if r.Commits && a.Code == statement.Success {
		g.recordCommit(h.pool.entry().ID, a.Position, sent)
	}
	g.recordPosition(h.pool.entry().ID, a.Position, sent)
}

// checkNotReleased asserts that whoever uses the connection still has it.
func (h *PooledConn) checkNotReleased() {
	invariant.Check(!h.released, invariant.OneTransaction, "a connection to %s is used after it was given back", h.pool.entry().ID)
}

// Account returns the account that the connection was opened for.
func (h *PooledConn) Account() string { return h.account }

// RunCommand carries out an order of a claimant, or asks for the tenure. The error is
// a *RefusalError when the server refused.
func (h *PooledConn) RunCommand(o Command, term floor.Term, timeout clock.Millis) (statement.ReplicationStatus, error) {
	h.checkNotReleased()
	t, err := h.conn.CommandFunc(o, term, timeout)
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		// A server that is busy says so, and is there.
		h.pool.recordSuccess()
		return t, err
	}
	if err != nil {
		h.broken = true
		h.pool.recordFailure()
		return t, err
	}
	h.pool.recordSuccess()
	return t, nil
}

// SyncValues gives the server's session the values of a caller's session and no others.
func (h *PooledConn) SyncValues(values map[string]string, timeout clock.Millis) error {
	if maps.Equal(h.values, values) {
		return nil
	}
	if h.remote != nil {
		h.values = values
		return nil
	}
	for name := range h.values {
		if _, wanted := values[name]; wanted {
			continue
		}
		if err := h.conn.ResetFunc(timeout); err != nil {
			h.broken = true
			return err
		}
		clear(h.values)
		clear(h.prepared)
		break
	}
	for name, value := range values {
		if old, ok := h.values[name]; ok && old == value {
			continue
		}
		if err := h.conn.SetFunc(name, value, timeout); err != nil {
			h.broken = true
			return err
		}
		h.values[name] = value
	}
	return nil
}

// Prepare returns the name of a prepared statement of a shape at the server.
func (h *PooledConn) Prepare(s statement.Shape, timeout clock.Millis) (string, error) {
	if name, ok := h.prepared[s]; ok {
		return name, nil
	}
	name := "r" + s.Text
	if s.Writes {
		name = "w" + s.Text
	}
	if h.remote == nil {
		if err := h.conn.PrepareFunc(name, s, timeout); err != nil {
			h.broken = true
			return "", err
		}
	}
	h.prepared[s] = name
	return name, nil
}

// ForgetPrepared drops a prepared statement that the server says it does not know.
func (h *PooledConn) ForgetPrepared(s statement.Shape) { delete(h.prepared, s) }

// MarkBroken marks the connection as one that must not be used again.
func (h *PooledConn) MarkBroken() { h.broken = true }

// Release gives the connection back. One that is broken is closed.
func (h *PooledConn) Release() {
	if h.remote == nil {
		h.pool.release(h)
		return
	}
	if !h.released {
		h.released = true
		h.remote.CloseFunc()
	}
}
