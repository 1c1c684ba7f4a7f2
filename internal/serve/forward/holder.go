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
	// lent is the number of connections that are in use for other VMs.
	lent atomic.Int64
}

// Lent returns the number of connections that are in use for other VMs.
func (h *Holder) Lent() int64 { return h.lent.Load() }

// Serve serves the statements of a stream, which began with a frame, and returns
// the next frame that is something else. The error is that of the stream's end.
func (h *Holder) Serve(ctx context.Context, x inner.Exchange, f inner.Frame) (inner.Frame, error) {
	u := &use{holder: h, ctx: ctx, exchange: x}
	defer u.breakOff()
	for f.Kind == inner.KindRun {
		var m inner.Run
		if err := inner.Decode(f, &m); err != nil {
			return f, err
		}
		if err := x.Send(inner.Encode(inner.KindResult, u.work(m))); err != nil {
			return f, err
		}
		var err error
		if f, err = x.Receive(); err != nil {
			return f, err
		}
	}
	return f, nil
}

// use is the use of a stream by another VM.
type use struct {
	holder   *Holder
	ctx      context.Context
	exchange inner.Exchange
	// held is the connection that is taken, or nil.
	held *database.Held
}

// work serves one message, and tells the other VM meanwhile that it is at work.
func (u *use) work(m inner.Run) inner.Result {
	ctx, cancel := context.WithCancel(u.ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		u.signal(ctx)
	}()
	r := u.run(m)
	cancel()
	<-ended
	return r
}

// signal says again and again that this VM is at work, until the context ends.
func (u *use) signal(ctx context.Context) {
	for u.holder.Clock.Sleep(ctx, workingPause) == nil {
		if u.exchange.Send(inner.Frame{Kind: inner.KindWorking}) != nil {
			return
		}
	}
}

// run takes the connection if there is none, and runs the statement.
func (u *use) run(m inner.Run) inner.Result {
	end := u.holder.Clock.Now() + m.Timeout
	if u.held == nil {
		if err := u.take(m); err != nil {
			return inner.Result{Unsent: reasonOf(err)}
		}
	}
	if !u.setUp(m) {
		u.breakOff()
		return inner.Result{Unsent: inner.ReasonSetup}
	}
	if m.Take {
		return inner.Result{Status: statement.Idle}
	}
	left := end - u.holder.Clock.Now()
	if left <= 0 {
		u.breakOff()
		return inner.Result{Unsent: inner.ReasonWait}
	}
	a, err := u.held.Run(database.Request{
		ID: m.ID, Text: m.Text, Floor: floor.ReplicationPosition{Term: m.Term, Position: m.Position}, Timeout: left, Commits: m.Commits, Last: m.Last,
		Parent: m.Parent,
	})
	if err != nil {
		u.breakOff()
		return inner.Result{Lost: true}
	}
	if m.Last && a.Status == statement.Idle {
		u.giveBack()
	}
	return inner.ResultOf(a)
}

// take takes a connection of this VM's own.
func (u *use) take(m inner.Run) error {
	if u.holder.StoppingFunc() {
		return errStopping
	}
	g := u.holder.GroupFunc(m.Group)
	if g == nil {
		return database.ErrGone
	}
	held, err := g.Hold(u.ctx, m.Server, m.Primary, database.Who{Account: m.Account, Weight: m.Weight, Parent: m.Parent}, m.Wait)
	if err != nil {
		return err
	}
	u.held = held
	u.holder.lent.Add(1)
	return nil
}

// setUp gives the server's session what it must have.
func (u *use) setUp(m inner.Run) bool {
	if u.held.Align(m.Values, m.Timeout) != nil {
		return false
	}
	for _, s := range m.Shapes {
		if _, err := u.held.Prepare(statement.Shape{Writes: s.Writes, Text: s.Text}, m.Timeout); err != nil {
			return false
		}
	}
	return true
}

// breakOff closes the connection, so that what is open on it is rolled back.
func (u *use) breakOff() {
	if u.held != nil {
		u.held.Break()
		u.giveBack()
	}
}

func (u *use) giveBack() {
	u.held.Release()
	u.held = nil
	u.holder.lent.Add(-1)
}
