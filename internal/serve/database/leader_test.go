package database

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/core/tenure"
)

// remoteGroup returns a group whose servers are held by another VM, of which this VM knows
// only the primary p. The holder answers every statement with err.
func remoteGroup(t *testing.T, err error) *Group {
	t.Helper()
	f := &fakeGroup{}
	g := f.group(t, 4)
	g.options.RemoteConnFunc = func(context.Context, ConnRequest) (*RemoteConn, error) {
		return &RemoteConn{
			RunFunc: func(Request, map[string]string) (statement.Answer, error) {
				return statement.LocalSuccess(statement.Idle), err
			},
			CloseFunc: func() {},
		}, nil
	}
	g.mu.Lock()
	g.setWatch(g.watch.WithTerm(1, "p"))
	g.mu.Unlock()
	return g
}

// TestLeaderWithoutLease checks that a VM sends a statement to the holder of the known
// primary without a proof of its own, which the holder has.
func TestLeaderWithoutLease(t *testing.T) {
	g := remoteGroup(t, nil)
	conn, err := g.AcquirePrimary(t.Context(), Requester{Account: "acme", Weight: 1}, 100)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Release()
	if diff := cmp.Diff("p", conn.Server().ID); diff != "" {
		t.Errorf("server (-want +got):\n%s", diff)
	}
}

// TestDeniedLeader lets the holder of the known primary deny that it is confirmed. The VM
// must then wait for a later proof or another primary instead of asking again and again.
func TestDeniedLeader(t *testing.T) {
	for name, next := range map[string]tenure.Report{
		"later proof":     {Term: 1, Leader: "p", ProvedAt: 1 << 40},
		"another primary": {Term: 2, Leader: "q"},
	} {
		t.Run(name, func(t *testing.T) {
			g := remoteGroup(t, &UnsentError{Cause: ErrNoPrimary})
			conn, err := g.AcquirePrimary(t.Context(), Requester{Account: "acme", Weight: 1}, 100)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = conn.Run(Request{ID: "x", Timeout: 100})
			conn.Release()
			if _, err := g.AcquirePrimary(t.Context(), Requester{Account: "acme", Weight: 1}, 50); !errors.Is(err, ErrNoPrimary) {
				t.Errorf("error %v, want %v", err, ErrNoPrimary)
			}
			found := make(chan string, 1)
			go func() {
				conn, err := g.AcquirePrimary(t.Context(), Requester{Account: "acme", Weight: 1}, 30*clock.Second)
				if err != nil {
					found <- err.Error()
					return
				}
				found <- conn.Server().ID
			}()
			time.Sleep(20 * time.Millisecond)
			g.mu.Lock()
			g.setWatch(g.watch.WithReport(next))
			g.mu.Unlock()
			select {
			case got := <-found:
				if diff := cmp.Diff(next.Leader, got); diff != "" {
					t.Errorf("server (-want +got):\n%s", diff)
				}
			case <-time.After(10 * time.Second):
				t.Error("the request was not woken")
			}
		})
	}
}

// TestHolderAwaitsProof checks that a holder waits for a proof of the primary before it runs
// what another VM sends, and refuses at once what another server would have to run.
func TestHolderAwaitsProof(t *testing.T) {
	f := &fakeGroup{}
	g := f.group(t, 4)
	g.mu.Lock()
	g.setWatch(g.watch.WithTerm(1, "p"))
	g.mu.Unlock()
	if _, err := g.AcquireForwarded(t.Context(), "p", true, Requester{Account: "acme", Weight: 1}, 20); !errors.Is(err, ErrNoPrimary) {
		t.Errorf("without a proof: error %v, want %v", err, ErrNoPrimary)
	}
	go func() {
		time.Sleep(20 * time.Millisecond)
		now := g.options.Clock.Now()
		g.recordStatus("p", statement.ReplicationStatus{Primary: true, Term: 1, Sealed: 1, Received: floor.ReplicationPosition{Term: 1, Position: 1}}, now)
		g.recordStatus("q", statement.ReplicationStatus{Term: 1, Sealed: 1}, now)
	}()
	conn, err := g.AcquireForwarded(t.Context(), "p", true, Requester{Account: "acme", Weight: 1}, 10*clock.Second)
	if err != nil {
		t.Fatal(err)
	}
	conn.Release()
	started := time.Now()
	if _, err := g.AcquireForwarded(t.Context(), "q", true, Requester{Account: "acme", Weight: 1}, 30*clock.Second); !errors.Is(err, ErrNoPrimary) {
		t.Errorf("at a replica: error %v, want %v", err, ErrNoPrimary)
	}
	if elapsed := time.Since(started); elapsed > 10*time.Second {
		t.Errorf("the replica was refused after %v, want at once", elapsed)
	}
}
