package database

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestOverloadedAccount guards against a calm account that suffers from one with too many callers.
func TestOverloadedAccount(t *testing.T) { synctest.Test(t, playOverloadedAccount) }

// playOverloadedAccount plays an account whose 40 callers ask for more than a server does, beside
// one with a single caller. The single caller must always be served, and what is refused of the
// other must be refused at once. Time is that of synctest, so that a busy machine changes nothing.
func playOverloadedAccount(t *testing.T) {
	f := &fakeGroup{slots: 2, latency: 10 * time.Millisecond, overshootFunc: newOvershoot(0, 3*time.Millisecond)}
	g := f.group(t, 12)
	f.runTicks(g, testTimeout, g.Ready)
	const wait = 100
	end := time.Now().Add(3 * time.Second)
	var callers sync.WaitGroup
	var served, refused, late, calmRefused atomic.Int64
	ask := func(account string, pause time.Duration, overshoot func() time.Duration) {
		for time.Now().Before(end) {
			began := time.Now()
			conn, err := g.pools["p"].acquire(context.Background(), Requester{Account: account, Weight: 1}, wait)
			switch {
			case err == nil:
				_, _ = conn.Run(Request{ID: "x", Timeout: 1000})
				conn.Release()
				served.Add(1)
			case account == "calm":
				calmRefused.Add(1)
			case time.Since(began) > wait/2*time.Millisecond:
				late.Add(1)
			default:
				refused.Add(1)
			}
			time.Sleep(pause + overshoot())
		}
	}
	for i := range uint64(40) {
		callers.Go(func() { ask("flood", 10*time.Millisecond, newOvershoot(i+1, time.Millisecond)) })
	}
	callers.Go(func() { ask("calm", 20*time.Millisecond, newOvershoot(41, time.Millisecond)) })
	callers.Wait()
	if n := calmRefused.Load(); n > 0 {
		t.Errorf("%d requests of the calm account were refused, want none", n)
	}
	if late.Load()*20 > served.Load() {
		t.Errorf("%d requests were refused after half of their wait, %d at once, %d served; want at most one late for twenty served", late.Load(), refused.Load(), served.Load())
	}
	if f.refused*4 > f.served {
		t.Errorf("the server refused %d statements and ran %d, want at most one refused for every four run", f.refused, f.served)
	}
	t.Logf("%d served, %d refused at once, %d late, %d refused by the server", served.Load(), refused.Load(), late.Load(), f.refused)
}

// newOvershoot returns a function that returns by how much the next sleep takes too long, below
// most, as sleeps do on a machine. Without it all callers would wake at the same instants of the
// fake time, in an order that is left to chance.
func newOvershoot(seed uint64, most time.Duration) func() time.Duration {
	r := rand.New(rand.NewPCG(seed, 0))
	return func() time.Duration { return time.Duration(r.Int64N(int64(most))) }
}
