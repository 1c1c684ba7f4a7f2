package forward

import (
	"context"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/memory"
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

// Serve runs the statements of a stream. f is its first frame, and receiveErr the error with which it was
// received: nil, or memory.ErrShort if its body was dropped. Serve returns the first frame that is not a
// KindRun, or the error that ended the stream.
func (h *Holder) Serve(ctx context.Context, x inner.Exchange, f inner.Frame, receiveErr error) (inner.Frame, error) {
	u := &holderStream{holder: h, ctx: ctx, exchange: x}
	defer u.abort()
	for f.Kind == inner.KindRun {
		r, err := u.serveFrame(f, receiveErr)
		if err != nil {
			return f, err
		}
		if err := x.Send(inner.Encode(inner.KindResult, r)); err != nil {
			return f, err
		}
		x.Memory.Drop(memory.Message)
		x.Memory.Drop(memory.Work)
		if u.conn == nil {
			x.Memory.SetAccount("")
		}
		if f, receiveErr = x.Receive(); receiveErr != nil && !errors.Is(receiveErr, memory.ErrShort) {
			return f, receiveErr
		}
	}
	return f, receiveErr
}

// serveFrame serves one KindRun frame. It refuses a frame whose body was dropped for lack of memory,
// which receiveErr reports, without sending anything to a server.
func (u *holderStream) serveFrame(f inner.Frame, receiveErr error) (inner.Result, error) {
	if receiveErr != nil {
		u.abort()
		return inner.Result{UnsentReason: inner.ReasonPoolTimeout}, nil
	}
	var m inner.Run
	if err := inner.Decode(f, &m); err != nil {
		return inner.Result{}, err
	}
	if m.Account != "" {
		u.exchange.Memory.SetAccount(m.Account)
	}
	r := u.serveRun(m)
	size := 0
	for _, row := range r.Rows {
		size += len(row)
	}
	if size > memory.FreeSize && !m.IsCommit && !u.exchange.Memory.Take(memory.Work, encodedCopies*int64(size)) {
		u.abort()
		return inner.Result{OutcomeUnknown: true}, nil
	}
	return r, nil
}

// encodedCopies is the number of additional copies of a message that are held while it is sent.
const encodedCopies = 2

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
		ID: m.ID, Text: m.Text, Execution: m.Execution.Statement(),
		Floor: floor.ReplicationPosition{Term: m.Term, Position: m.Position}, Timeout: left, IsCommit: m.IsCommit, ReleaseAfter: m.ReleaseAfter,
		Parent: m.Parent, Memory: u.exchange.Memory,
	})
	if errors.Is(err, memory.ErrShort) {
		return u.refuseShort(m, a, err)
	}
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
	switch {
	case errors.Is(err, database.ErrServerEvacuated):
		return inner.ReasonEvacuated
	case errors.Is(err, database.ErrNoPrimary):
		return inner.ReasonNoPrimary
	}
	return inner.ReasonSessionSetup
}

// refuseShort returns the result of a statement that was not sent, or whose rows were dropped, for lack
// of memory. The connection is kept unless a transaction is open.
func (u *holderStream) refuseShort(m inner.Run, a statement.Answer, err error) inner.Result {
	unsent := database.IsUnsent(err)
	if m.ReleaseAfter && (unsent || a.Status == statement.Idle) {
		u.release()
	} else {
		u.abort()
	}
	if unsent {
		return inner.Result{UnsentReason: inner.ReasonPoolTimeout}
	}
	return inner.Result{OutcomeUnknown: true}
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
	requester := database.Requester{Account: m.Account, Weight: m.Weight, Priority: m.Priority, Parent: m.Parent}
	conn, err := g.AcquireForwarded(u.ctx, m.Server, m.RequirePrimary, requester, m.Wait)
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
