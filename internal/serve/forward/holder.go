package forward

import (
	"context"
	"sync/atomic"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
)

// Holder serves the statements that other VMs send to this one.
type Holder struct {
	Clock clock.Clock
	// GroupFunc returns a database group, or nil.
	GroupFunc func(name string) *database.Group
	// StoppingFunc reports whether this VM is to stop.
	StoppingFunc func() bool
	// inUse is the number of connections that are in use for other VMs.
	inUse atomic.Int64
}

// InUse returns the number of connections that are in use for other VMs.
func (h *Holder) InUse() int64 { return h.inUse.Load() }

// Serve serves the statements of a stream, which began with a frame, and returns
// the next frame that is something else. The error is that of the stream's end.
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

// holderStream is the use of a stream by another VM.
type holderStream struct {
	holder   *Holder
	ctx      context.Context
	exchange inner.Exchange
	// held is the connection that is taken, or nil.
	held *database.PooledConn
}

// serveRun serves one message, and tells the other VM meanwhile that it is at work.
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

// sendWorking says again and again that this VM is at work, until the context ends.
func (u *holderStream) sendWorking(ctx context.Context) {
	for u.holder.Clock.Sleep(ctx, workingInterval) == nil {
		if u.exchange.Send(inner.Frame{Kind: inner.KindWorking}) != nil {
			return
		}
	}
}

// execute takes the connection if there is none, and runs the statement.
func (u *holderStream) execute(m inner.Run) inner.Result {
	end := u.holder.Clock.Now() + m.Timeout
	if u.held == nil {
		if err := u.acquire(m); err != nil {
			return inner.Result{UnsentReason: reasonOf(err)}
		}
	}
	if !u.prepareSession(m) {
		u.abort()
		return inner.Result{UnsentReason: inner.ReasonSessionSetup}
	}
	if m.AcquireOnly {
		return inner.Result{Status: statement.Idle}
	}
	left := end - u.holder.Clock.Now()
	if left <= 0 {
		u.abort()
		return inner.Result{UnsentReason: inner.ReasonPoolTimeout}
	}
	a, err := u.held.Run(database.Request{
		ID: m.ID, Text: m.Text, Floor: floor.ReplicationPosition{Term: m.Term, Position: m.Position}, Timeout: left, Commits: m.Commits, Last: m.Last,
		Parent: m.Parent,
	})
	if err != nil {
		u.abort()
		return inner.Result{OutcomeUnknown: true}
	}
	if m.Last && a.Status == statement.Idle {
		u.release()
	}
	return inner.ResultOf(a)
}

// acquire takes a connection of this VM's own.
func (u *holderStream) acquire(m inner.Run) error {
	if u.holder.StoppingFunc() {
		return errStopping
	}
	g := u.holder.GroupFunc(m.Group)
	if g == nil {
		return database.ErrUnlisted
	}
	held, err := g.AcquireForwarded(u.ctx, m.Server, m.RequirePrimary, database.Requester{Account: m.Account, Weight: m.Weight, Parent: m.Parent}, m.Wait)
	if err != nil {
		return err
	}
	u.held = held
	u.holder.inUse.Add(1)
	return nil
}

// prepareSession gives the server's session what it must have.
func (u *holderStream) prepareSession(m inner.Run) bool {
	if u.held.SyncValues(m.Values, m.Timeout) != nil {
		return false
	}
	for _, s := range m.Shapes {
		if _, err := u.held.Prepare(statement.Shape{Writes: s.Writes, Text: s.Text}, m.Timeout); err != nil {
			return false
		}
	}
	return true
}

// abort closes the connection, so that what is open on it is rolled back.
func (u *holderStream) abort() {
	if u.held != nil {
		u.held.MarkBroken()
		u.release()
	}
}

func (u *holderStream) release() {
	u.held.Release()
	u.held = nil
	u.holder.inUse.Add(-1)
}
