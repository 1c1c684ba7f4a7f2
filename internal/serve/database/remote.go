package database

import (
	"context"
	"maps"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/trace"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

// SessionState is what a server's session must have before a statement runs.
type SessionState struct {
	Values map[string]string
	Shapes []statement.Shape
}

// ConnRequest says which connection of another VM is wanted.
type ConnRequest struct {
	Group     string
	Server    Server
	Requester Requester
	// Primary is set when the server must be the confirmed primary.
	Primary bool
	// Wait is how long may be waited for the connection, in milliseconds.
	Wait clock.Millis
}

// RemoteConn is a connection of another VM, which the first statement takes. Its
// fields are the seams of the protocol between VMs.
type RemoteConn struct {
	// RunFunc runs a statement. The error is an *UnsentError when it was not sent
	// to the server; any other means that its end was not seen.
	RunFunc func(r Request, s SessionState) (statement.Answer, error)
	// CloseFunc gives the connection up; what is open on it is rolled back.
	CloseFunc func()
}

// UnsentError means that a statement has not reached the backend server.
type UnsentError struct{ Cause error }

// Error implements error.
func (e *UnsentError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// IsUnsent reports whether an error says that a statement was not sent.
func IsUnsent(err error) bool {
	var unsent *UnsentError
	return errors.As(err, &unsent)
}

// acquire returns a connection for a statement: of the VM that holds those of the
// account, or this VM's own.
func (g *Group) acquire(ctx context.Context, p *pool, a ConnRequest) (*PooledConn, error) {
	if g.options.RemoteConnFunc != nil {
		if r := g.options.RemoteConnFunc(ctx, a); r != nil {
			return &PooledConn{pool: p, remote: r, account: a.Requester.Account, values: map[string]string{}, prepared: map[statement.Shape]string{}}, nil
		}
	}
	return g.acquireOwn(ctx, p, a.Requester, a.Wait)
}

// acquireOwn returns a connection of this VM's own, within a span for the wait.
func (g *Group) acquireOwn(ctx context.Context, p *pool, w Requester, wait clock.Millis) (*PooledConn, error) {
	span := g.options.Trace.StartChild(w.Parent, trace.QueueSpan)
	h, err := p.acquire(ctx, w.Account, w.Weight, wait)
	a := trace.Attributes{Account: w.Account, Database: g.options.Name, Server: p.entry().ID, Outcome: "ran"}
	if err != nil {
		a.Outcome, a.Reason = "notrun", err.Error()
	}
	span.End(a)
	return h, err
}

// AcquireForwarded returns a connection of this VM's own to a server, for a statement that
// another VM has taken from its caller.
func (g *Group) AcquireForwarded(ctx context.Context, server string, primary bool, w Requester, wait clock.Millis) (*PooledConn, error) {
	g.mu.Lock()
	p := g.pools[server]
	g.mu.Unlock()
	if p == nil {
		return nil, ErrUnlisted
	}
	if primary && !g.confirmed(p) {
		return nil, ErrNoPrimary
	}
	h, err := g.acquireOwn(ctx, p, w, wait)
	if err != nil {
		return nil, err
	}
	if primary && !g.confirmed(p) {
		h.Release()
		return nil, ErrNoPrimary
	}
	return h, nil
}

// runRemote runs a statement on a connection of another VM.
func (h *PooledConn) runRemote(r Request) (statement.Answer, error) {
	c := h.pool.group.options.Clock
	sent := c.Now()
	h.pool.startRemote()
	s := SessionState{Values: maps.Clone(h.values)}
	for shape := range h.prepared {
		s.Shapes = append(s.Shapes, shape)
	}
	a, err := h.remote.RunFunc(r, s)
	h.pool.endRemote(c.Now()-sent, err)
	if err != nil {
		h.broken = true
		return a, err
	}
	h.recordAnswer(r, a, sent)
	return a, nil
}

// startRemote counts a statement that another VM runs for this one.
func (p *pool) startRemote() {
	p.mu.Lock()
	p.remoteRunning++
	p.mu.Unlock()
}

// endRemote takes in its answer, or that there was none. That another VM cannot
// reach the server says nothing of this one.
func (p *pool) endRemote(took clock.Millis, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remoteRunning--
	if err != nil {
		return
	}
	now := p.group.options.Clock.Now()
	p.answeredAt = now
	p.latency += latencyWeight * (float64(took) - p.latency)
	p.latencyAt = now
}
