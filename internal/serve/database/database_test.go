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

// TestOverload plays more work than a server has slots for: it waits at the VM, so
// that the server has to refuse little of what it is sent, and its slots stay full.
func TestOverload(t *testing.T) {
	f := &fake{slots: 2, latency: 4 * time.Millisecond}
	g := f.group(t, 12)
	f.runTicks(g, testTimeout, g.Ready)
	var parts sync.WaitGroup
	end := time.Now().Add(2 * time.Second)
	for range 30 {
		parts.Add(1)
		go func() {
			defer parts.Done()
			for time.Now().Before(end) {
				h, err := g.pools["p"].acquire(context.Background(), "acme", 1, 500)
				if err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				_, _ = h.Run(Request{ID: "x", Timeout: 1000})
				h.Release()
			}
		}()
	}
	parts.Wait()
	if f.refused*4 > f.served {
		t.Errorf("the server refused %d statements and ran %d, want at most a quarter refused", f.refused, f.served)
	}
}

// TestNoHopelessWait checks that work whose turn would come too late is refused at once.
func TestNoHopelessWait(t *testing.T) {
	f := &fake{latency: 200 * time.Millisecond}
	g := f.group(t, 1)
	f.runTicks(g, testTimeout, g.Ready)
	p := g.pools["p"]
	h, err := p.acquire(context.Background(), "acme", 1, 1000)
	if err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	p.latency = 200
	p.mu.Unlock()
	waiting := make(chan error, 1)
	go func() {
		_, err := p.acquire(context.Background(), "acme", 1, 2000)
		waiting <- err
	}()
	for p.queueLength() == 0 {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	_, err = p.acquire(context.Background(), "acme", 1, 50)
	if diff := cmp.Diff(true, err != nil && time.Since(began) < 40*time.Millisecond); diff != "" {
		t.Errorf("refused at once (-want +got):\n%s", diff)
	}
	h.Release()
	if err := <-waiting; err != nil {
		t.Errorf("the one in line got no connection: %v", err)
	}
}

// TestAccounts checks that a connection that was opened for one account serves no other.
func TestAccounts(t *testing.T) {
	f := &fake{}
	g := f.group(t, 1)
	f.runTicks(g, testTimeout, g.Ready)
	for _, account := range []string{"acme", "acme", "small", "acme"} {
		h, err := g.pools["p"].acquire(context.Background(), account, 1, 1000)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(account, h.Account()); diff != "" {
			t.Errorf("account (-want +got):\n%s", diff)
		}
		h.Release()
	}
	if diff := cmp.Diff(map[string]int{"acme": 2, "small": 1}, map[string]int{"acme": f.accounts["acme"], "small": f.accounts["small"]}); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
	}
}

// TestBusyPrimary checks that a primary which only says that it is busy is not
// replaced before UnprovedAfter, and that one which proves nothing for longer is.
func TestBusyPrimary(t *testing.T) {
	f := &fake{}
	g := f.group(t, 4)
	f.runTicks(g, testTimeout, g.Ready)
	f.mu.Lock()
	f.busy = true
	f.mu.Unlock()
	began := time.Now()
	f.runTicks(g, testTimeout, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.claims > 0
	})
	if took := clock.FromDuration(time.Since(began)); took < failover.AnsweringLostAfter-clock.Second {
		t.Errorf("the primary was claimed after %d ms, want %d", took, failover.AnsweringLostAfter)
	}
}

// TestLeft checks that a primary that has been leaving for long gets no new work.
func TestLeft(t *testing.T) {
	f := &fake{}
	g := f.group(t, 4)
	g.options.DrainTimeout = 100
	f.runTicks(g, testTimeout, g.Ready)
	g.Update([]Server{{ID: "p", Group: "g", Slots: 2, Leaving: true}, {ID: "q", Group: "g", Slots: 2}, {ID: "r", Group: "g", Slots: 2}})
	h, err := g.AcquirePrimary(context.Background(), Requester{Account: "acme", Weight: 1}, 1000)
	if err != nil {
		t.Fatalf("a primary that has just begun to leave: %v", err)
	}
	h.Release()
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

// TestCrowdedServer plays a server that takes no connection beyond a few: the work
// goes on with those, and few attempts for more are made.
func TestCrowdedServer(t *testing.T) {
	f := &fake{latency: time.Millisecond, maxConns: 2}
	g := f.group(t, 12)
	f.runTicks(g, testTimeout, g.Ready)
	var parts sync.WaitGroup
	var failed atomic.Int64
	end := time.Now().Add(2 * time.Second)
	for _, account := range []string{"a", "b", "c", "d", "e", "f"} {
		parts.Add(1)
		go func() {
			defer parts.Done()
			for time.Now().Before(end) {
				h, err := g.pools["p"].acquire(context.Background(), account, 1, 1000)
				if err != nil {
					failed.Add(1)
					continue
				}
				_, _ = h.Run(Request{ID: "x", Timeout: 1000})
				h.Release()
			}
		}()
	}
	parts.Wait()
	if n := failed.Load(); n > 0 {
		t.Errorf("%d statements got no connection", n)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refusedConns > 20 {
		t.Errorf("%d connections were refused in 2 s, want at most 20", f.refusedConns)
	}
}

// TestDirectoryChanges has the directory change while statements run; the race
// detector judges.
func TestDirectoryChanges(t *testing.T) {
	f := &fake{}
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
		h, err := g.AcquireForwarded(context.Background(), "q", false, Requester{Account: "acme", Weight: 1}, 1000)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = h.Run(Request{ID: "x", Timeout: 1000})
		h.Release()
	}
	<-updated
}
