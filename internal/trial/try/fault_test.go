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

// patience is a generous bound on how long a fault stays unseen.
const patience = 30 * time.Second

// staleReads has holders serve reads whatever their server has applied.
func staleReads(x inner.Exchange) inner.Exchange {
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

// answers keeps the last answer to a read and the last to a write.
type answers struct {
	mu   sync.Mutex
	last map[document.RouteKind]inner.Frame
	n    int
}

func newAnswers() *answers { return &answers{last: map[document.RouteKind]inner.Frame{}} }

// swap keeps an answer and returns the one before it.
func (a *answers) swap(k document.RouteKind, f inner.Frame) inner.Frame {
	a.mu.Lock()
	defer a.mu.Unlock()
	old, ok := a.last[k]
	a.last[k] = f
	if !ok {
		return f
	}
	return old
}

// fourth returns the last answer to a write each fourth time.
func (a *answers) fourth() (inner.Frame, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f, ok := a.last[document.KindWrite]
	a.n++
	return f, ok && a.n%4 == 0
}

// fault passes an exchange on with a fault. Swap replaces the answer to a batch;
// instead answers a write that is not sent on.
type fault struct {
	swap    func(document.RouteKind, inner.Frame) inner.Frame
	instead func() (inner.Frame, bool)
}

func (p fault) wrap(x inner.Exchange) inner.Exchange {
	var b inner.Begin
	made := make(chan inner.Frame, 1)
	send, receive := x.SendFunc, x.ReceiveFunc
	x.SendFunc = func(f inner.Frame) error {
		if f.Kind == inner.KindBegin {
			_ = inner.Decode(f, &b)
		}
		var batch inner.Batch
		if f.Kind == inner.KindBatch && b.Kind == document.KindWrite && inner.Decode(f, &batch) == nil && has(batch.Raw, 'E') {
			if f, ok := p.instead(); ok {
				made <- f
				return nil
			}
		}
		return send(f)
	}
	x.ReceiveFunc = func() (inner.Frame, error) {
		select {
		case f := <-made:
			return f, nil
		default:
		}
		f, err := receive()
		var e inner.End
		if err == nil && f.Kind == inner.KindEnd && inner.Decode(f, &e) == nil && has(e.Raw, 'C') {
			f = p.swap(b.Kind, f)
		}
		return f, err
	}
	return x
}

// has reports whether messages contain one of a type: an Execute or the end of
// one. The answers to a statement that is only prepared keep their places.
func has(raw []byte, kind byte) bool {
	for m, rest := pgwire.SplitMessage(raw); m != nil; m, rest = pgwire.SplitMessage(rest) {
		if m.Type() == kind {
			return true
		}
	}
	return false
}

func never() (inner.Frame, bool) { return inner.Frame{}, false }

// wrongCallers gives each read the answer to the read before it, whoever asked.
func wrongCallers() func(inner.Exchange) inner.Exchange {
	a := newAnswers()
	return fault{instead: never, swap: func(k document.RouteKind, f inner.Frame) inner.Frame {
		if k != document.KindRead {
			return f
		}
		return a.swap(k, f)
	}}.wrap
}

// lostWrites drops each fourth write and answers it as the one before.
func lostWrites() func(inner.Exchange) inner.Exchange {
	a := newAnswers()
	return fault{instead: a.fourth, swap: func(k document.RouteKind, f inner.Frame) inner.Frame {
		a.swap(k, f)
		return f
	}}.wrap
}

// TestForcedFaults forces faults between the entry proxies and the holders; the
// oracle has to see each.
func TestForcedFaults(t *testing.T) {
	for name, fault := range map[string]func(inner.Exchange) inner.Exchange{
		"a stale read on a replica":     staleReads,
		"an answer to the wrong caller": wrongCallers(),
		"a lost write":                  lostWrites(),
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			x, err := newTrial(ctx, Options{Seed: 4, ExchangeFunc: fault})
			if err != nil {
				t.Fatal(err)
			}
			var running sync.WaitGroup
			for i := range 6 {
				running.Go(func() { x.session(ctx, i) })
			}
			for x.wrong.Load() == 0 && ctx.Err() == nil {
				_ = x.clock.Sleep(ctx, pollPause)
			}
			cancel()
			running.Wait()
			if r := x.report(); r.Wrong == 0 || r.Good() {
				t.Errorf("the oracle saw nothing: %+v", r)
			}
		})
	}
}
