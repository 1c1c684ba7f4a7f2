package try

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// faultTimeout is a generous bound on the time until the oracle detects a fault.
const faultTimeout = 30 * time.Second

// injectStaleReads clears the position that a read requires, so that holders serve it
// whatever their server has applied.
func injectStaleReads(x inner.Exchange) inner.Exchange {
	send := x.SendFunc
	x.SendFunc = func(f inner.Frame) error {
		var b inner.Begin
		if f.Kind == inner.KindBegin && inner.Decode(f, &b) == nil && b.Kind == document.KindRead {
			b.Floor = floor.ReplicationPosition{}
			f = inner.Encode(inner.KindBegin, b)
		}
		return send(f)
	}
	return x
}

// answerHistory keeps the last answer to a read and the last answer to a write.
type answerHistory struct {
	mu     sync.Mutex
	last   map[document.RouteKind]inner.Frame
	writes int
}

func newAnswerHistory() *answerHistory {
	return &answerHistory{last: map[document.RouteKind]inner.Frame{}}
}

// swap stores an answer to a route of kind k and returns the previous one of that kind,
// or f itself if there is none.
func (a *answerHistory) swap(k document.RouteKind, f inner.Frame) inner.Frame {
	a.mu.Lock()
	defer a.mu.Unlock()
	previous, ok := a.last[k]
	a.last[k] = f
	if !ok {
		return f
	}
	return previous
}

// interceptEveryFourthWrite returns the last answer to a write, and true on every fourth
// call if there is one.
func (a *answerHistory) interceptEveryFourthWrite() (inner.Frame, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f, ok := a.last[document.KindWrite]
	a.writes++
	return f, ok && a.writes%4 == 0
}

// faultyExchange wraps an exchange with a fault. replaceFunc replaces the answer to a
// batch. interceptFunc may answer a write, which is then not sent on.
type faultyExchange struct {
	replaceFunc   func(document.RouteKind, inner.Frame) inner.Frame
	interceptFunc func() (inner.Frame, bool)
}

func (fe faultyExchange) wrap(x inner.Exchange) inner.Exchange {
	var b inner.Begin
	fabricatedAnswers := make(chan inner.Frame, 1)
	send, receive := x.SendFunc, x.ReceiveFunc
	x.SendFunc = func(f inner.Frame) error {
		if f.Kind == inner.KindBegin {
			_ = inner.Decode(f, &b)
		}
		var batch inner.Batch
		if f.Kind == inner.KindBatch && b.Kind == document.KindWrite && inner.Decode(f, &batch) == nil && hasMessage(batch.Raw, 'E') {
			if f, ok := fe.interceptFunc(); ok {
				fabricatedAnswers <- f
				return nil
			}
		}
		return send(f)
	}
	x.ReceiveFunc = func() (inner.Frame, error) {
		select {
		case f := <-fabricatedAnswers:
			return f, nil
		default:
		}
		f, err := receive()
		var e inner.End
		if err == nil && f.Kind == inner.KindEnd && inner.Decode(f, &e) == nil && hasMessage(e.Raw, 'C') {
			f = fe.replaceFunc(b.Kind, f)
		}
		return f, err
	}
	return x
}

// hasMessage reports whether raw contains a message of a type. The faults look for
// Execute ('E') and CommandComplete ('C'), so that they leave a batch that only
// prepares a statement, and its answer, as they are.
func hasMessage(raw []byte, kind byte) bool {
	for m, rest := pgwire.SplitMessage(raw); m != nil; m, rest = pgwire.SplitMessage(rest) {
		if m.Type() == kind {
			return true
		}
	}
	return false
}

func interceptNothing() (inner.Frame, bool) { return inner.Frame{}, false }

// injectMisdeliveredReads answers each read with the answer to the previous read of
// any caller.
func injectMisdeliveredReads() func(inner.Exchange) inner.Exchange {
	history := newAnswerHistory()
	return faultyExchange{interceptFunc: interceptNothing, replaceFunc: func(k document.RouteKind, f inner.Frame) inner.Frame {
		if k != document.KindRead {
			return f
		}
		return history.swap(k, f)
	}}.wrap
}

// injectLostWrites drops every fourth write and answers it with the answer to the
// previous write.
func injectLostWrites() func(inner.Exchange) inner.Exchange {
	history := newAnswerHistory()
	return faultyExchange{interceptFunc: history.interceptEveryFourthWrite, replaceFunc: func(k document.RouteKind, f inner.Frame) inner.Frame {
		history.swap(k, f)
		return f
	}}.wrap
}

// TestForcedFaults forces faults between the entry proxies and the holders. The oracle
// must detect each, or a trial would pass with wrong answers.
func TestForcedFaults(t *testing.T) {
	for name, fault := range map[string]func(inner.Exchange) inner.Exchange{
		"a stale read on a replica":     injectStaleReads,
		"an answer to the wrong caller": injectMisdeliveredReads(),
		"a lost write":                  injectLostWrites(),
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), faultTimeout)
			defer cancel()
			trial, err := newTrial(ctx, Options{Seed: 4, ExchangeFunc: fault})
			if err != nil {
				t.Fatal(err)
			}
			var running sync.WaitGroup
			for i := range 6 {
				running.Go(func() { trial.runSession(ctx, i) })
			}
			for trial.wrongAnswers.Load() == 0 && ctx.Err() == nil {
				_ = trial.clock.Sleep(ctx, pollInterval)
			}
			cancel()
			running.Wait()
			if r := trial.report(); r.WrongAnswers == 0 || r.Passed() {
				t.Errorf("the oracle detected no wrong answer: %+v", r)
			}
		})
	}
}
