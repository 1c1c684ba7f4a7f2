package database

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
)

const testTimeout = time.Minute

// TestOverload submits more work than the server has slots for. The excess must wait
// at the VM. The window grows until the server refuses a statement as busy, so that the
// slots stay full; the server may refuse at most one statement for every four that it
// runs.
func TestOverload(t *testing.T) {
	f := &fakeGroup{slots: 2, latency: 4 * time.Millisecond}
	g := f.group(t, 12)
	f.runTicks(g, testTimeout, g.Ready)
	var callers sync.WaitGroup
	end := time.Now().Add(2 * time.Second)
	for range 30 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for time.Now().Before(end) {
				conn, err := g.pools["p"].acquire(context.Background(), Requester{Account: "acme", Weight: 1}, 500)
				if err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				_, _ = conn.Run(Request{ID: "x", Timeout: 1000})
				conn.Release()
			}
		}()
	}
	callers.Wait()
	if f.refused*4 > f.served {
		t.Errorf("the server refused %d statements and ran %d, want at most one refused for every four run", f.refused, f.served)
	}
}

// TestRefusesTooLongWait checks that a request whose expected wait exceeds its limit
// is refused at once.
func TestRefusesTooLongWait(t *testing.T) {
	f := &fakeGroup{latency: 200 * time.Millisecond}
	g := f.group(t, 1)
	f.runTicks(g, testTimeout, g.Ready)
	p := g.pools["p"]
	conn, err := p.acquire(context.Background(), Requester{Account: "acme", Weight: 1}, 1000)
	if err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	p.latency = 200
	p.mu.Unlock()
	waiting := make(chan error, 1)
	go func() {
		_, err := p.acquire(context.Background(), Requester{Account: "acme", Weight: 1}, 2000)
		waiting <- err
	}()
	for p.queueLength() == 0 {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	_, err = p.acquire(context.Background(), Requester{Account: "acme", Weight: 1}, 50)
	if diff := cmp.Diff(true, err != nil && time.Since(began) < 40*time.Millisecond); diff != "" {
		t.Errorf("refused at once (-want +got):\n%s", diff)
	}
	conn.Release()
	if err := <-waiting; err != nil {
		t.Errorf("the queued request got no connection: %v", err)
	}
}

// TestAccounts checks that a connection opened for one account serves no other. The
// pool may keep one connection, so each change of account opens another.
func TestAccounts(t *testing.T) {
	f := &fakeGroup{}
	g := f.group(t, 1)
	f.runTicks(g, testTimeout, g.Ready)
	for _, account := range []string{"acme", "acme", "small", "acme"} {
		conn, err := g.pools["p"].acquire(context.Background(), Requester{Account: account, Weight: 1}, 1000)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(account, conn.Account()); diff != "" {
			t.Errorf("account (-want +got):\n%s", diff)
		}
		conn.Release()
	}
	if diff := cmp.Diff(map[string]int{"acme": 2, "small": 1}, map[string]int{"acme": f.accounts["acme"], "small": f.accounts["small"]}); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
	}
}

// TestBusyPrimary checks that no claim begins before AnsweringLostAfter while the
// primary answers only that it is busy, and waits for the claim that follows.
// AnsweringLostAfter counts from the last proof of the primary, which may be a second
// old when the primary becomes busy.
func TestBusyPrimary(t *testing.T) {
	f := &fakeGroup{}
	g := f.group(t, 4)
	f.runTicks(g, testTimeout, g.Ready)
	f.mu.Lock()
	f.busy = true
	f.mu.Unlock()
	began := time.Now()
	f.runTicks(g, testTimeout, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.claimReads > 0
	})
	if took := clock.FromDuration(time.Since(began)); took < failover.AnsweringLostAfter-clock.Second {
		t.Errorf("a claim began after %d ms, want at least %d less 1000", took, failover.AnsweringLostAfter)
	}
}

// TestLeft checks that a leaving primary gets no new work once its drain timeout has
// passed.
func TestLeft(t *testing.T) {
	f := &fakeGroup{}
	g := f.group(t, 4)
	g.options.DrainTimeout = 100
	f.runTicks(g, testTimeout, g.Ready)
	g.Update([]Server{{ID: "p", Group: "g", Slots: 2, Leaving: true}, {ID: "q", Group: "g", Slots: 2}, {ID: "r", Group: "g", Slots: 2}})
	conn, err := g.AcquirePrimary(context.Background(), Requester{Account: "acme", Weight: 1}, 1000)
	if err != nil {
		t.Fatalf("a primary that has just begun to leave: %v", err)
	}
	conn.Release()
	time.Sleep(150 * time.Millisecond)
	_, err = g.AcquirePrimary(context.Background(), Requester{Account: "acme", Weight: 1}, 50)
	if diff := cmp.Diff(ErrNoPrimary.Error(), errorText(err)); diff != "" {
		t.Errorf("error (-want +got):\n%s", diff)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// TestCrowdedServer limits the connections that the server accepts: statements must
// go on using the open ones, with few attempts to open more.
func TestCrowdedServer(t *testing.T) {
	f := &fakeGroup{latency: time.Millisecond, maxConns: 2}
	g := f.group(t, 12)
	f.runTicks(g, testTimeout, g.Ready)
	var callers sync.WaitGroup
	var failed atomic.Int64
	end := time.Now().Add(2 * time.Second)
	for _, account := range []string{"a", "b", "c", "d", "e", "f"} {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for time.Now().Before(end) {
				conn, err := g.pools["p"].acquire(context.Background(), Requester{Account: account, Weight: 1}, 1000)
				if err != nil {
					failed.Add(1)
					continue
				}
				_, _ = conn.Run(Request{ID: "x", Timeout: 1000})
				conn.Release()
			}
		}()
	}
	callers.Wait()
	if n := failed.Load(); n > 0 {
		t.Errorf("%d statements got no connection", n)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refusedConns > 20 {
		t.Errorf("%d connections were refused in 2 s, want at most 20", f.refusedConns)
	}
}

// TestDirectoryChanges updates the directory while statements run. It relies on the
// race detector.
func TestDirectoryChanges(t *testing.T) {
	f := &fakeGroup{}
	g := f.group(t, 4)
	f.runTicks(g, testTimeout, g.Ready)
	end := time.Now().Add(200 * time.Millisecond)
	updated := make(chan struct{})
	go func() {
		defer close(updated)
		for time.Now().Before(end) {
			g.Update([]Server{{ID: "p", Group: "g", Slots: 2}, {ID: "q", Group: "g", Slots: 2}, {ID: "r", Group: "g", Slots: 2}})
		}
	}()
	for time.Now().Before(end) {
		conn, err := g.AcquireForwarded(context.Background(), "q", false, Requester{Account: "acme", Weight: 1}, 1000)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Run(Request{ID: "x", Timeout: 1000})
		conn.Release()
	}
	<-updated
}
