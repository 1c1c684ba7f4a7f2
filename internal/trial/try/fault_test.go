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

// faultTimeout is a generous bound on how long a fault stays unseen.
const faultTimeout = 30 * time.Second

// injectStaleReads has holders serve reads whatever their server has applied.
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

// answerHistory keeps the last answer to a read and the last to a write.
type answerHistory struct {
	mu     sync.Mutex
	last   map[document.RouteKind]inner.Frame
	writes int
}

func newAnswerHistory() *answerHistory {
	return &answerHistory{last: map[document.RouteKind]inner.Frame{}}
}

// swap keeps an answer and returns the one before it.
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

// takeEveryFourthWrite returns the last answer to a write each fourth time.
func (a *answerHistory) takeEveryFourthWrite() (inner.Frame, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f, ok := a.last[document.KindWrite]
	a.writes++
	return f, ok && a.writes%4 == 0
}

// faultyExchange passes an exchange on with a fault. Swap replaces the answer to a batch;
// instead answers a write that is not sent on.
type faultyExchange struct {
	replaceFunc   func(document.RouteKind, inner.Frame) inner.Frame
	interceptFunc func() (inner.Frame, bool)
}

func (fe faultyExchange) wrap(x inner.Exchange) inner.Exchange {
	var b inner.Begin
	fabricated := make(chan inner.Frame, 1)
	send, receive := x.SendFunc, x.ReceiveFunc
	x.SendFunc = func(f inner.Frame) error {
		if f.Kind == inner.KindBegin {
			_ = inner.Decode(f, &b)
		}
		var batch inner.Batch
		if f.Kind == inner.KindBatch && b.Kind == document.KindWrite && inner.Decode(f, &batch) == nil && hasMessage(batch.Raw, 'E') {
			if f, ok := fe.interceptFunc(); ok {
				fabricated <- f
				return nil
			}
		}
		return send(f)
	}
	x.ReceiveFunc = func() (inner.Frame, error) {
		select {
		case f := <-fabricated:
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

// hasMessage reports whether messages contain one of a type: an Execute or the end of
// one. The answers to a statement that is only prepared keep their places.
func hasMessage(raw []byte, kind byte) bool {
	for m, rest := pgwire.SplitMessage(raw); m != nil; m, rest = pgwire.SplitMessage(rest) {
		if m.Type() == kind {
			return true
		}
	}
	return false
}

func interceptNothing() (inner.Frame, bool) { return inner.Frame{}, false }

// injectMisdeliveredReads gives each read the answer to the read before it, whoever asked.
func injectMisdeliveredReads() func(inner.Exchange) inner.Exchange {
	history := newAnswerHistory()
	return faultyExchange{interceptFunc: interceptNothing, replaceFunc: func(k document.RouteKind, f inner.Frame) inner.Frame {
		if k != document.KindRead {
			return f
		}
		return history.swap(k, f)
	}}.wrap
}

// injectLostWrites drops each fourth write and answers it as the one before.
func injectLostWrites() func(inner.Exchange) inner.Exchange {
	history := newAnswerHistory()
	return faultyExchange{interceptFunc: history.takeEveryFourthWrite, replaceFunc: func(k document.RouteKind, f inner.Frame) inner.Frame {
		history.swap(k, f)
		return f
	}}.wrap
}

// TestForcedFaults forces faults between the entry proxies and the holders; the
// oracle has to see each.
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
				t.Errorf("the oracle saw nothing: %+v", r)
			}
		})
	}
}
