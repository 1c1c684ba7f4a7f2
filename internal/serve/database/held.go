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

// Held is a connection that one session has for itself until it is released.
type Held struct {
	pool *pool
	conn *Conn
	// remote is set instead of conn when another VM holds the connection.
	remote  *Remote
	account string
	// values and prepared are what the server's session has.
	values   map[string]string
	prepared map[statement.Shape]string
	used     clock.Millis
	broken   bool
	// back is set once the connection was given back.
	back bool
	// first is set until the first statement after it was given out.
	first bool
}

// Server returns the server that the connection leads to.
func (h *Held) Server() Server { return h.pool.info() }

// Run runs a statement and takes in what the answer says of the server's log.
// After an error the connection is of no more use.
func (h *Held) Run(r Request) (statement.Answer, error) {
	h.check()
	if h.remote != nil {
		return h.runRemote(r)
	}
	c := h.pool.group.options.Clock
	sent := c.Now()
	h.pool.begin(h.first)
	h.first = false
	span := h.pool.group.options.Trace.Child(r.Parent, trace.Backend)
	a, err := h.conn.RunFunc(r)
	span.End(h.attributes(a, err))
	h.pool.end(c.Now()-sent, a.Code == statement.Busy, err)
	if err != nil {
		h.broken = true
		return a, err
	}
	h.note(r, a, sent)
	return a, nil
}

// attributes describe the end of a statement in its span.
func (h *Held) attributes(a statement.Answer, err error) trace.Attributes {
	out := trace.Attributes{Account: h.account, Database: h.pool.group.options.Name, Server: h.pool.info().ID, Outcome: "ran"}
	switch {
	case err != nil:
		out.Outcome, out.Reason = "lost", err.Error()
	case a.Code.NotRun():
		out.Outcome, out.Reason = "notrun", a.Code.String()
	}
	return out
}

// note takes in what an answer says of the server's log. An answer without a state
// ends the connection.
func (h *Held) note(r Request, a statement.Answer, sent clock.Millis) {
	h.broken = h.broken || a.Status == 0
	g := h.pool.group
	if r.Commits && a.Code == statement.Success {
		g.noteCommit(h.pool.info().ID, a.Position, sent)
	}
	g.noteMark(h.pool.info().ID, a.Position, sent)
}

// check asserts that whoever uses the connection still has it.
func (h *Held) check() {
	invariant.Check(!h.back, invariant.OneTransaction, "a connection to %s is used after it was given back", h.pool.info().ID)
}

// Account returns the account that the connection was opened for.
func (h *Held) Account() string { return h.account }

// Order carries out an order of a claimant, or asks for the tenure. The error is
// a *RefusalError when the server refused.
func (h *Held) Order(o Order, term floor.Term, timeout clock.Millis) (statement.ReplicationStatus, error) {
	h.check()
	t, err := h.conn.OrderFunc(o, term, timeout)
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		// A server that is busy says so, and is there.
		h.pool.succeed()
		return t, err
	}
	if err != nil {
		h.broken = true
		h.pool.fail()
		return t, err
	}
	h.pool.succeed()
	return t, nil
}

// Align gives the server's session the values of a caller's session and no others.
func (h *Held) Align(values map[string]string, timeout clock.Millis) error {
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
func (h *Held) Prepare(s statement.Shape, timeout clock.Millis) (string, error) {
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

// Forget drops a prepared statement that the server says it does not know.
func (h *Held) Forget(s statement.Shape) { delete(h.prepared, s) }

// Break marks the connection as one that must not be used again.
func (h *Held) Break() { h.broken = true }

// Release gives the connection back. One that is broken is closed.
func (h *Held) Release() {
	if h.remote == nil {
		h.pool.release(h)
		return
	}
	if !h.back {
		h.back = true
		h.remote.CloseFunc()
	}
}
