package forward

import (
	"context"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/trace"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/memory"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
)

// stream runs statements on one connection that another VM holds. It must be used
// by the goroutine of one session only.
type stream struct {
	forwarder *Forwarder
	ctx       context.Context
	vm        member.VM
	request   database.ConnRequest
	// isOpen is set while the exchange can be used.
	isOpen bool
	// acquired is set once the holder has confirmed that it has acquired the
	// connection.
	acquired bool
	exchange inner.Exchange
}

// run runs one statement at the holder, within a span. See runUntraced for the
// errors.
func (s *stream) run(r database.Request, settings map[string]string) (statement.Answer, error) {
	span := s.forwarder.options.Trace.StartChild(r.Parent, trace.HopSpan)
	if parent := span.Traceparent(); parent != "" {
		r.Parent = parent
	}
	a, err := s.runUntraced(r, settings)
	out := trace.Attributes{Account: s.request.Requester.Account, Database: s.request.Group, Server: s.request.Server.ID, Outcome: "ran"}
	switch {
	case database.IsUnsent(err):
		out.Outcome, out.Reason = "notrun", err.Error()
	case err != nil:
		out.Outcome, out.Reason = "lost", err.Error()
	}
	span.End(out)
	return a, err
}

// runUntraced runs one statement at the holder. The error is a
// *database.UnsentError when the statement is known not to have been sent to
// the server. Any other error leaves its outcome unknown.
func (s *stream) runUntraced(r database.Request, settings map[string]string) (statement.Answer, error) {
	deadline := s.forwarder.options.Clock.Now() + r.Timeout
	if n := encodedCopies * sizeOf(r, settings); n > memory.FreeSize {
		if !r.Memory.Take(memory.Work, n) {
			return statement.Answer{}, &database.UnsentError{Cause: memory.ErrShort}
		}
		defer r.Memory.Give(memory.Work, n)
	}
	if err := s.open(); err != nil {
		return statement.Answer{}, err
	}
	if s.exchange.MemoryFunc != nil && !r.IsCommit {
		// The answer to a commit is short, and it is never dropped.
		s.exchange.MemoryFunc(r.Memory)
		defer s.exchange.MemoryFunc(nil)
	}
	m := inner.Run{
		ID: r.ID, Text: r.Text, Term: r.Floor.Term, Position: r.Floor.Position, IsCommit: r.IsCommit, ReleaseAfter: r.ReleaseAfter,
		Settings: settings, Execution: inner.ExecutionOf(r.Execution), Timeout: r.Timeout, Parent: r.Parent,
	}
	if !s.acquired {
		m = s.withTarget(m)
	}
	if !s.acquired && r.IsCommit {
		// A write is sent only once the holder has confirmed the connection: if
		// the holder is unreachable, the write is then known not to have run.
		if err := s.acquireConnection(m, deadline); err != nil {
			return statement.Answer{}, err
		}
		if !s.isAllowed() {
			s.close()
			return statement.Answer{}, &database.UnsentError{Cause: database.ErrRegionsChanged}
		}
	}
	a, err := s.exchangeRun(m, deadline, r.IsCommit)
	if err != nil {
		s.close()
		return a, err
	}
	s.acquired = true
	if r.ReleaseAfter && a.Status == statement.Idle {
		s.isOpen, s.acquired = false, false
		s.exchange.Release()
	}
	return a, nil
}

// isAllowed reports whether the regions allowed now, after the wait for the connection, still contain
// those of the server and of the holder.
func (s *stream) isAllowed() bool {
	if s.request.Requester.RegionsFunc == nil {
		return true
	}
	allowed := s.request.Requester.RegionsFunc()
	return allowed.Contains(s.request.Server.Region) && allowed.Contains(s.vm.Region)
}

// sizeOf returns the size of a statement that is sent to another VM, in bytes.
func sizeOf(r database.Request, settings map[string]string) int64 {
	return int64(len(r.Text) + len(r.Execution.Shape.Text) + len(r.Execution.Arguments) + statement.SettingsSize(settings))
}

// withTarget returns the message with the fields that select the connection;
// only the first message of a stream needs them.
func (s *stream) withTarget(m inner.Run) inner.Run {
	m.Group, m.Server, m.Account, m.Weight = s.request.Group, s.request.Server.ID, s.request.Requester.Account, s.request.Requester.Weight
	m.Priority = s.request.Requester.Priority
	m.RequirePrimary, m.Wait = s.request.Primary, s.request.Wait
	return m
}

// acquireConnection has the holder acquire the connection without running a
// statement. The error is always a *database.UnsentError.
func (s *stream) acquireConnection(m inner.Run, deadline clock.Millis) error {
	m.AcquireOnly, m.ID, m.Text, m.Execution, m.ReleaseAfter, m.IsCommit = true, "", "", nil, false, false
	if _, err := s.exchangeRun(m, deadline, false); err != nil {
		s.close()
		if database.IsUnsent(err) {
			return err
		}
		return &database.UnsentError{Cause: err}
	}
	s.acquired = true
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

// exchangeRun sends one Run and waits for its result, at most until the
// deadline. isCommit is set when success means that a write was committed. A
// holder that is silent for too long, or whose stream breaks during the wait, is
// suspected. Errors are as for runUntraced.
func (s *stream) exchangeRun(m inner.Run, deadline clock.Millis, isCommit bool) (statement.Answer, error) {
	if s.acquired {
		// After acquireConnection the holder has the fields that withTarget set.
		m.Group, m.Server, m.Account, m.Weight, m.Wait = "", "", "", 0, 0
	}
	if err := s.exchange.Send(inner.Encode(inner.KindRun, m)); err != nil {
		return statement.Answer{}, err
	}
	silenceLimit := silenceTimeout
	if isCommit {
		silenceLimit = writeSilenceTimeout
	}
	for {
		now := s.forwarder.options.Clock.Now()
		if now >= deadline {
			return statement.Answer{}, errors.New("the time of the statement is over")
		}
		s.exchange.ReceiveTimeoutFunc(min(silenceLimit, deadline-now))
		f, err := s.exchange.Receive()
		if errors.Is(err, memory.ErrShort) {
			return statement.Answer{}, err
		}
		if err != nil {
			// An error at the deadline or the end of ctx is no fault of the
			// holder unless it was silent for silenceLimit.
			if s.forwarder.options.Clock.Now()-now >= silenceLimit || s.ctx.Err() == nil && s.forwarder.options.Clock.Now() < deadline {
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

// decodeResult returns the answer or the error in a result frame. A holder that
// cannot use the server is skipped for that server for some time.
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
		s.forwarder.skip(s.vm.Name, s.request.Server.ID, stoppingPause)
	case inner.ReasonUnreachable, inner.ReasonUnknownServer, inner.ReasonSessionSetup:
		s.forwarder.skip(s.vm.Name, s.request.Server.ID, unreachablePause)
	}
	if r.UnsentReason != inner.ReasonNone {
		metrics.GetOrCreateCounter(fmt.Sprintf("sycamoredoor_holder_refusals_total{reason=%q}", reasonNames[r.UnsentReason])).Inc()
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

// close closes the stream, upon which the holder closes the connection.
func (s *stream) close() {
	if s.isOpen {
		s.isOpen = false
		s.exchange.Close()
	}
}
