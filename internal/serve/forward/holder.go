package forward

import (
	"context"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
)

// Holder runs the statements that other VMs send to this one. Its exported
// fields must be set before the first call of Serve.
type Holder struct {
	Clock clock.Clock
	// GroupFunc returns the database group of that name, or nil.
	GroupFunc func(name string) *database.Group
	// StoppingFunc reports whether this VM is stopping.
	StoppingFunc func() bool
	// TakesFunc reports whether a statement that may run for timeout milliseconds ends before
	// a planned stop of this VM closes its connections.
	TakesFunc func(timeout clock.Millis) bool
	// inUse is the number of connections that other VMs use.
	inUse atomic.Int64
}

// InUse returns the number of connections that other VMs use.
func (h *Holder) InUse() int64 { return h.inUse.Load() }

// Serve runs the statements of a stream whose first frame is f. It returns the
// first frame that is not a KindRun, or the error that ended the stream.
func (h *Holder) Serve(ctx context.Context, x inner.Exchange, f inner.Frame) (inner.Frame, error) {
	u := &holderStream{holder: h, ctx: ctx, exchange: x}
	defer u.abort()
	for f.Kind == inner.KindRun {
		var m inner.Run
		if err := inner.Decode(f, &m); err != nil {
			return f, err
		}
		if err := x.Send(inner.Encode(inner.KindResult, u.serveRun(m))); err != nil {
			return f, err
		}
		var err error
		if f, err = x.Receive(); err != nil {
			return f, err
		}
	}
	return f, nil
}

// holderStream is a stream on which another VM uses a connection of this one.
type holderStream struct {
	holder   *Holder
	ctx      context.Context
	exchange inner.Exchange
	// conn is the acquired connection, or nil.
	conn *database.PooledConn
}

// serveRun serves one Run, and sends KindWorking frames until it is done.
func (u *holderStream) serveRun(m inner.Run) inner.Result {
	ctx, cancel := context.WithCancel(u.ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		u.sendWorking(ctx)
	}()
	r := u.execute(m)
	cancel()
	<-ended
	return r
}

// sendWorking sends a KindWorking frame every workingInterval until the context
// ends.
func (u *holderStream) sendWorking(ctx context.Context) {
	for u.holder.Clock.Sleep(ctx, workingInterval) == nil {
		if u.exchange.Send(inner.Frame{Kind: inner.KindWorking}) != nil {
			return
		}
	}
}

// execute acquires the connection if there is none, and runs the statement
// unless AcquireOnly is set. After an error the connection is closed.
func (u *holderStream) execute(m inner.Run) inner.Result {
	deadline := u.holder.Clock.Now() + m.Timeout
	if u.conn == nil {
		if err := u.acquire(m); err != nil {
			return inner.Result{UnsentReason: reasonOf(err)}
		}
	}
	if !u.holder.TakesFunc(m.Timeout) {
		u.abort()
		return inner.Result{UnsentReason: inner.ReasonStopping}
	}
	if err := u.conn.SyncSettings(m.Settings, m.Timeout); err != nil {
		u.abort()
		return inner.Result{UnsentReason: setupReason(err)}
	}
	if m.AcquireOnly {
		return inner.Result{Status: statement.Idle}
	}
	left := deadline - u.holder.Clock.Now()
	if left <= 0 {
		u.abort()
		return inner.Result{UnsentReason: inner.ReasonPoolTimeout}
	}
	a, err := u.conn.Run(database.Request{
		ID: m.ID, Text: m.Text, Execution: m.Execution.Statement(), Floor: floor.ReplicationPosition{Term: m.Term, Position: m.Position}, Timeout: left, IsCommit: m.IsCommit, ReleaseAfter: m.ReleaseAfter,
		Parent: m.Parent,
	})
	if err != nil {
		u.abort()
		if database.IsUnsent(err) {
			return inner.Result{UnsentReason: setupReason(err)}
		}
		return inner.Result{OutcomeUnknown: true}
	}
	if m.ReleaseAfter && a.Status == statement.Idle {
		u.release()
	}
	return inner.ResultOf(a)
}

// setupReason returns the reason for an error before the statement was sent on a connection.
func setupReason(err error) inner.UnsentReason {
	if errors.Is(err, database.ErrServerEvacuated) {
		return inner.ReasonEvacuated
	}
	return inner.ReasonSessionSetup
}

// acquire acquires a connection of this VM.
func (u *holderStream) acquire(m inner.Run) error {
	if u.holder.StoppingFunc() {
		return errStopping
	}
	g := u.holder.GroupFunc(m.Group)
	if g == nil {
		return database.ErrUnknownServer
	}
	conn, err := g.AcquireForwarded(u.ctx, m.Server, m.RequirePrimary, database.Requester{Account: m.Account, Weight: m.Weight, Priority: m.Priority, Parent: m.Parent}, m.Wait)
	if err != nil {
		return err
	}
	u.conn = conn
	u.holder.inUse.Add(1)
	return nil
}

// abort closes the connection, so that the server rolls back its open
// transaction.
func (u *holderStream) abort() {
	if u.conn != nil {
		u.conn.MarkBroken()
		u.release()
	}
}

// release returns the connection to its pool.
func (u *holderStream) release() {
	u.conn.Release()
	u.conn = nil
	u.holder.inUse.Add(-1)
}
