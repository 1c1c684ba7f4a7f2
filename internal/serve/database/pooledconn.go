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

// PooledConn is a connection that one session uses exclusively until it releases it.
type PooledConn struct {
	pool *pool
	conn *Conn
	// remote is set instead of conn if another VM holds the connection.
	remote  *RemoteConn
	account string
	// values and prepared are the settings and prepared statements of the server's
	// session.
	values   map[string]string
	prepared map[statement.Shape]string
	usedAt   clock.Millis
	broken   bool
	// released is set once the connection was released.
	released bool
	// granted is set from the grant of the connection until its first statement.
	granted bool
}

// Server returns the server of the connection.
func (h *PooledConn) Server() Server { return h.pool.entry() }

// Run runs a statement and records the log position in the answer. After an error the
// connection must not be used again.
func (h *PooledConn) Run(r Request) (statement.Answer, error) {
	h.checkNotReleased()
	if h.remote != nil {
		return h.runRemote(r)
	}
	c := h.pool.group.options.Clock
	sent := c.Now()
	h.pool.startStatement(h.granted)
	h.granted = false
	span := h.pool.group.options.Trace.Child(r.Parent, trace.Backend)
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

// traceAttributes returns the span attributes for the outcome of a statement.
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

// recordAnswer records the log position in an answer. An answer without a transaction
// status makes the connection unusable.
func (h *PooledConn) recordAnswer(r Request, a statement.Answer, sent clock.Millis) {
	h.broken = h.broken || a.Status == 0
	g := h.pool.group
	if r.Commits && a.Code == statement.Success {
		g.recordCommit(h.pool.entry().ID, a.Position, sent)
	}
	g.recordPosition(h.pool.entry().ID, a.Position, sent)
}

// checkNotReleased asserts that the connection is not used after its release.
func (h *PooledConn) checkNotReleased() {
	invariant.Check(!h.released, invariant.OneTransaction, "a connection to %s is used after its release", h.pool.entry().ID)
}

// Account returns the account for which the connection was opened.
func (h *PooledConn) Account() string { return h.account }

// RunCommand runs a claimant's command or a status query. The error is a
// *RefusalError if the server refused.
func (h *PooledConn) RunCommand(c Command, term floor.Term, timeout clock.Millis) (statement.ReplicationStatus, error) {
	h.checkNotReleased()
	t, err := h.conn.CommandFunc(c, term, timeout)
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		// A server that refuses, for example because it is busy, is reachable.
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

// SyncValues makes the settings of the server's session equal to the given ones.
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

// Prepare returns the name of the prepared statement for a shape, and prepares it at
// the server if necessary.
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

// ForgetPrepared removes a prepared statement that the server does not know.
func (h *PooledConn) ForgetPrepared(s statement.Shape) { delete(h.prepared, s) }

// MarkBroken marks the connection as unusable, so that Release closes it.
func (h *PooledConn) MarkBroken() { h.broken = true }

// Release returns the connection to the pool, or closes it if it is broken.
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
