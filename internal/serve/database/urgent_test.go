package database

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestUrgentRequestOfBusyAccount guards against an account's urgent request that is refused, or waits behind the account's own burst of less urgent ones.
func TestUrgentRequestOfBusyAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeGroup{slots: 1, latency: 10 * time.Millisecond, overshootFunc: newOvershoot(0, time.Millisecond)}
		g := f.group(t, 1)
		f.runTicks(g, testTimeout, g.Ready)
		p := g.pools["p"]
		refused := make(chan bool, queueLimit)
		var callers sync.WaitGroup
		held, err := p.acquire(context.Background(), Requester{Account: "acme", Weight: 1}, 1000)
		if err != nil {
			t.Fatal(err)
		}
		for range queueLimit {
			callers.Go(func() {
				conn, err := p.acquire(context.Background(), Requester{Account: "acme", Weight: 1, Priority: 2}, 60_000)
				refused <- err != nil
				if err == nil {
					_, _ = conn.Run(Request{ID: "x", Timeout: 1000})
					conn.Release()
				}
			})
		}
		synctest.Wait()
		urgent := make(chan error, 1)
		go func() {
			conn, err := p.acquire(context.Background(), Requester{Account: "acme", Weight: 1}, 1000)
			if err == nil {
				conn.Release()
			}
			urgent <- err
		}()
		synctest.Wait()
		waiting := p.queueLength()
		_, _ = held.Run(Request{ID: "x", Timeout: 1000})
		held.Release()
		if err := <-urgent; err != nil {
			t.Errorf("the urgent request was refused: %v", err)
		}
		callers.Wait()
		count := 0
		for range queueLimit {
			if <-refused {
				count++
			}
		}
		if waiting != queueLimit || count != 1 {
			t.Errorf("%d requests waited and %d less urgent ones were refused, want %d and 1", waiting, count, queueLimit)
		}
	})
}

// TestWorkOfFirstStatement guards against a statement on a new connection that counts as one of the
// highest priority, so that an account's urgent requests seem as long as its other ones.
func TestWorkOfFirstStatement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeGroup{}
		g := f.group(t, 1)
		f.runTicks(g, testTimeout, g.Ready)
		p := g.pools["p"]
		for i := range 40 {
			priority := i % 2
			f.latency = []time.Duration{5 * time.Millisecond, 100 * time.Millisecond}[priority]
			conn, err := p.acquire(context.Background(), Requester{Account: "acme", Weight: 1, Priority: priority}, 1000)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = conn.Run(Request{ID: "x", Timeout: 1000})
			conn.MarkBroken()
			conn.Release()
		}
		if urgent, other := p.work.Cost(0), p.work.Cost(1); urgent >= other/2 {
			t.Errorf("the cost of an urgent statement is %.2f and that of one 20 times as long %.2f", urgent, other)
		}
	})
}
