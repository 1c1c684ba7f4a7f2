package database

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// TestHopelessRequest guards against a request that learns only at the end of its wait that more
// urgent ones took its turn, and against one that is refused though it has time.
func TestHopelessRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeGroup{slots: 1, latency: 10 * time.Millisecond, overshootFunc: newOvershoot(0, time.Millisecond)}
		g := f.group(t, 1)
		f.runTicks(g, testTimeout, g.Ready)
		p := g.pools["p"]
		var callers sync.WaitGroup
		defer callers.Wait()
		ask := func(priority int, wait time.Duration) (waited time.Duration, err error) {
			began := time.Now()
			conn, err := p.acquire(context.Background(), Requester{Account: "acme", Weight: 1, Priority: priority}, clock.Millis(wait.Milliseconds()))
			waited = time.Since(began)
			if err == nil {
				_, _ = conn.Run(Request{ID: "x", Timeout: 1000})
				conn.Release()
			}
			return waited, err
		}
		burst := func(priority, count int) {
			for range count {
				callers.Go(func() { _, _ = ask(priority, time.Minute) })
			}
			synctest.Wait()
		}
		// The server has answered several requests in a row before the two that are observed.
		burst(1, 12)
		time.Sleep(100 * time.Millisecond)
		type outcome struct {
			waited time.Duration
			err    error
		}
		hopeless, patient := make(chan outcome, 1), make(chan outcome, 1)
		callers.Go(func() {
			waited, err := ask(2, 150*time.Millisecond)
			hopeless <- outcome{waited, err}
		})
		callers.Go(func() {
			waited, err := ask(2, 5*time.Second)
			patient <- outcome{waited, err}
		})
		synctest.Wait()
		burst(0, 40)
		if o := <-hopeless; o.err == nil || o.waited >= 140*time.Millisecond {
			t.Errorf("the hopeless request waited %v, error %v; want a refusal before its 150 ms", o.waited, o.err)
		}
		if o := <-patient; o.err != nil {
			t.Errorf("the request with time was refused after %v: %v", o.waited, o.err)
		}
	})
}
