package database

import (
	"context"
	"maps"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/trace"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

// ConnRequest specifies a connection to a server.
type ConnRequest struct {
	Group     string
	Server    Server
	Requester Requester
	// Primary is set if the server must be the confirmed primary.
	Primary bool
	// Wait is the longest wait for the connection, without the time to open it, in
	// milliseconds.
	Wait clock.Millis
}

// RemoteConn is a connection held by another VM. Its first statement acquires it
// there. The protocol between VMs implements its functions.
type RemoteConn struct {
	// VM is the name of the VM that holds it.
	VM string
	// Region is the region of that VM.
	Region string
	// RunFunc runs a statement in a server's session with the given settings. An *UnsentError
	// means that the statement was not sent to the server, any other error that its outcome is
	// unknown.
	RunFunc func(r Request, settings map[string]string) (statement.Answer, error)
	// CloseFunc releases the connection and rolls back an open transaction.
	CloseFunc func()
}

// UnsentError means that a statement did not reach the backend server.
type UnsentError struct{ Cause error }

// Error implements error.
func (e *UnsentError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// IsUnsent reports whether an error means that the statement was not sent.
func IsUnsent(err error) bool {
	var unsent *UnsentError
	return errors.As(err, &unsent)
}

// acquire returns a connection for a statement: one held by another VM for the
// account, or one of this VM's own.
func (g *Group) acquire(ctx context.Context, p *pool, request ConnRequest) (*PooledConn, error) {
	if pc, err := g.remoteConn(ctx, p, request); pc != nil || err != nil {
		return pc, err
	}
	return g.acquireOwn(ctx, p, request.Requester, request.Wait)
}

// remoteConn returns a connection that another VM holds, or nil if this VM should use its
// own. It returns ErrNoVMAllowed if the allowed regions permit neither.
func (g *Group) remoteConn(ctx context.Context, p *pool, request ConnRequest) (*PooledConn, error) {
	if g.options.RemoteConnFunc == nil {
		return nil, nil
	}
	r, err := g.options.RemoteConnFunc(ctx, request)
	if r == nil || err != nil {
		return nil, err
	}
	return &PooledConn{pool: p, remote: r, account: request.Requester.Account, settings: map[string]string{}}, nil
}

// acquireOwn returns one of this VM's own connections, or an error of the pool. A span
// covers the wait.
func (g *Group) acquireOwn(ctx context.Context, p *pool, r Requester, wait clock.Millis) (*PooledConn, error) {
	span := g.options.Trace.StartChild(r.Parent, trace.QueueSpan)
	pc, err := p.acquire(ctx, r, wait)
	a := trace.Attributes{Account: r.Account, Database: g.options.Name, Server: p.entry().ID, Outcome: "ran"}
	if err != nil {
		a.Outcome, a.Reason = "notrun", err.Error()
	}
	span.End(a)
	return pc, err
}

// AcquireForwarded returns one of this VM's own connections to a server, for a
// statement that another VM forwards. It waits at most wait milliseconds, without the
// time to open the connection. It returns ErrUnknownServer if the server is not listed,
// ErrNoPrimary if the server must be the primary and is not confirmed as such,
// ErrServerEvacuated if an evacuation bars it, or an error of the pool.
func (g *Group) AcquireForwarded(ctx context.Context, server string, primary bool, r Requester, wait clock.Millis) (*PooledConn, error) {
	g.mu.Lock()
	p := g.pools[server]
	g.mu.Unlock()
	if p == nil {
		return nil, ErrUnknownServer
	}
	if p.isBarredNow() {
		return nil, ErrServerEvacuated
	}
	deadline := g.options.Clock.Now() + wait
	if primary {
		if err := g.awaitConfirmed(ctx, p, deadline); err != nil {
			return nil, err
		}
	}
	pc, err := g.acquireOwn(ctx, p, r, deadline-g.options.Clock.Now())
	if err != nil {
		return nil, err
	}
	if primary && !g.isConfirmedPrimary(p) {
		pc.Release()
		return nil, ErrNoPrimary
	}
	pc.primary = primary
	return pc, nil
}

// runRemote runs a statement on a connection held by another VM.
func (pc *PooledConn) runRemote(r Request) (statement.Answer, error) {
	c := pc.pool.group.options.Clock
	sent := c.Now()
	if err := pc.pool.checkEvacuation(sent); err != nil {
		return statement.Answer{}, err
	}
	pc.pool.startRemote()
	a, err := pc.remote.RunFunc(r, maps.Clone(pc.settings))
	pc.pool.endRemote(c.Now()-sent, err)
	if errors.Is(err, ErrNoPrimary) || errors.Is(err, ErrServerEvacuated) {
		pc.pool.group.doubtPrimary(pc.pool.entry().ID)
	}
	if err != nil {
		pc.broken = true
		return a, err
	}
	return a, pc.recordAnswer(r, a, sent)
}

// startRemote counts a statement that another VM runs for this one.
func (p *pool) startRemote() {
	p.mu.Lock()
	p.remoteRunning++
	p.mu.Unlock()
}

// endRemote records the answer to a statement run by another VM, or its error. An
// error does not count as a failure of the server, since only the other VM may be
// unable to reach it.
func (p *pool) endRemote(responseTime clock.Millis, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remoteRunning--
	if err != nil {
		return
	}
	now := p.group.options.Clock.Now()
	p.answeredAt = now
	p.latency += latencyWeight * (float64(responseTime) - p.latency)
	p.latencyAt = now
}
