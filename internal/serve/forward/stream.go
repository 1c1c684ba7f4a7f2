package forward

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/trace"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
)

// stream is the use of one connection of another VM. Only the goroutine of one
// session uses it.
type stream struct {
	forwarder *Forwarder
	ctx       context.Context
	vm        member.VM
	ask       database.ConnRequest
	// isOpen is set while the exchange may be used, taken once the holder has said
	// that it has the connection.
	isOpen   bool
	taken    bool
	exchange inner.Exchange
}

// run has the holder run one statement, within a span.
func (s *stream) run(r database.Request, setup database.SessionState) (statement.Answer, error) {
	span := s.forwarder.options.Trace.StartChild(r.Parent, trace.HopSpan)
	if parent := span.Traceparent(); parent != "" {
		r.Parent = parent
	}
	a, err := s.runUntraced(r, setup)
	out := trace.Attributes{Account: s.ask.Requester.Account, Database: s.ask.Group, Server: s.ask.Server.ID, Outcome: "ran"}
	switch {
	case database.IsUnsent(err):
		out.Outcome, out.Reason = "notrun", err.Error()
	case err != nil:
		out.Outcome, out.Reason = "lost", err.Error()
	}
	span.End(out)
	return a, err
}

// runUntraced has the holder run one statement.
func (s *stream) runUntraced(r database.Request, setup database.SessionState) (statement.Answer, error) {
	end := s.forwarder.options.Clock.Now() + r.Timeout
	if err := s.open(); err != nil {
		return statement.Answer{}, err
	}
	m := inner.Run{
		ID: r.ID, Text: r.Text, Term: r.Floor.Term, Position: r.Floor.Position, Commits: r.Commits, Last: r.Last,
		Values: setup.Values, Shapes: innerShapes(setup.Shapes), Timeout: r.Timeout, Parent: r.Parent,
	}
	if !s.taken {
		m = s.withTarget(m)
	}
	if !s.taken && r.Commits {
		// A write goes to a holder that has just shown that it is there.
		if err := s.takeConnection(m, end); err != nil {
			return statement.Answer{}, err
		}
	}
	a, err := s.exchangeRun(m, end, r.Commits)
	if err != nil {
		s.close()
		return a, err
	}
	s.taken = true
	if r.Last && a.Status == statement.Idle {
		s.isOpen, s.taken = false, false
		s.exchange.Release()
	}
	return a, nil
}

// withTarget completes the first message of a stream.
func (s *stream) withTarget(m inner.Run) inner.Run {
	m.Group, m.Server, m.Account, m.Weight = s.ask.Group, s.ask.Server.ID, s.ask.Requester.Account, s.ask.Requester.Weight
	m.RequirePrimary, m.Wait = s.ask.Primary, s.ask.Wait
	return m
}

// takeConnection has the holder take the connection, and no more.
func (s *stream) takeConnection(m inner.Run, end clock.Millis) error {
	m.AcquireOnly, m.ID, m.Text, m.Last, m.Commits = true, "", "", false, false
	if _, err := s.exchangeRun(m, end, false); err != nil {
		s.close()
		if database.IsUnsent(err) {
			return err
		}
		return &database.UnsentError{Cause: err}
	}
	s.taken = true
	return nil
}

// open opens the stream unless it is open.
func (s *stream) open() error {
	if s.isOpen {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, openTimeout.Duration())
	defer cancel()
	x, err := s.forwarder.options.OpenFunc(ctx, s.vm)
	if err != nil {
		s.forwarder.suspect(s.vm, err)
		return &database.UnsentError{Cause: errUnresponsive}
	}
	s.isOpen, s.exchange = true, x
	s.forwarder.forwarded.Inc()
	return nil
}

// exchangeRun sends one message and waits for its result.
func (s *stream) exchangeRun(m inner.Run, end clock.Millis, writes bool) (statement.Answer, error) {
	if s.taken {
		m.Group, m.Server, m.Account, m.Weight, m.Wait = "", "", "", 0, 0
	}
	if err := s.exchange.Send(inner.Encode(inner.KindRun, m)); err != nil {
		return statement.Answer{}, err
	}
	silenceLimit := silenceTimeout
	if writes {
		silenceLimit = writeSilenceTimeout
	}
	for {
		now := s.forwarder.options.Clock.Now()
		if now >= end {
			return statement.Answer{}, errors.New("the time of the statement is over")
		}
		s.exchange.ReceiveTimeoutFunc(min(silenceLimit, end-now))
		f, err := s.exchange.Receive()
		if err != nil {
			if s.forwarder.options.Clock.Now()-now >= silenceLimit || s.ctx.Err() == nil && s.forwarder.options.Clock.Now() < end {
				s.forwarder.suspect(s.vm, err)
			}
			return statement.Answer{}, err
		}
		s.forwarder.recordFrame(s.vm.Name)
		if f.Kind == inner.KindWorking {
			continue
		}
		return s.decodeResult(f)
	}
}

// decodeResult turns a result into an answer or an error.
func (s *stream) decodeResult(f inner.Frame) (statement.Answer, error) {
	var r inner.Result
	if f.Kind != inner.KindResult {
		return statement.Answer{}, &inner.FrameError{Detail: "no result"}
	}
	if err := inner.Decode(f, &r); err != nil {
		return statement.Answer{}, err
	}
	switch r.UnsentReason {
	case inner.ReasonNone:
	case inner.ReasonStopping:
		s.forwarder.skip(s.vm.Name, s.ask.Server.ID, stoppingPause)
	case inner.ReasonUnreachable, inner.ReasonUnlisted, inner.ReasonSessionSetup:
		s.forwarder.skip(s.vm.Name, s.ask.Server.ID, unreachablePause)
	}
	if r.UnsentReason != inner.ReasonNone {
		err, ok := reasonErrors[r.UnsentReason]
		if !ok {
			err = database.ErrUnreachable
		}
		return statement.Answer{}, &database.UnsentError{Cause: err}
	}
	if r.OutcomeUnknown {
		return statement.Answer{}, errors.New("the end of the statement was not seen at " + s.vm.Name)
	}
	return r.Answer(), nil
}

// close gives the connection up.
func (s *stream) close() {
	if s.isOpen {
		s.isOpen = false
		s.exchange.Close()
	}
}

func innerShapes(list []statement.Shape) []inner.Shape {
	out := make([]inner.Shape, len(list))
	for i, v := range list {
		out[i] = inner.Shape{Writes: v.Writes, Text: v.Text}
	}
	return out
}
