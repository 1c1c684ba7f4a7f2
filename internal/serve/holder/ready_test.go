package holder

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// TestCheck checks which transactions a server may run. That depends on their
// kind, floor and staleness bound, on the server's role, lag and lock, on whether
// it is leaving, and on whether a majority confirms it as the primary.
func TestCheck(t *testing.T) {
	var cases []struct {
		Name string       `yaml:"name"`
		Role backend.Role `yaml:"role"`
		Lag  clock.Millis `yaml:"lag"`
		// Since is the time since the server's state was queried.
		Since   clock.Millis `yaml:"since"`
		Leaving bool         `yaml:"leaving"`
		// Lost is set when the holder has lost the lock, Confirmed when a
		// majority confirms the primary.
		Lost      bool               `yaml:"lost"`
		Confirmed bool               `yaml:"confirmed"`
		Kind      document.RouteKind `yaml:"kind"`
		Floor     uint64             `yaml:"floor"`
		// Age is the staleness bound of the transaction.
		Age clock.Millis `yaml:"age"`
		// Want is "runs" or the reason of the refusal.
		Want string `yaml:"want"`
	}
	scripted.Read(t, "testdata/check.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			k := clock.NewFake(5000)
			h := New(Options{
				Server: document.Server{Name: "one", Slots: 1, Connections: 2, Leaving: c.Leaving}, Clock: k.Clock(),
				ConfirmFunc: func(context.Context, string, floor.Term) bool { return c.Confirmed },
			})
			at := floor.ReplicationPosition{Term: 1, Position: 10}
			h.startServing(1, backend.State{Term: 1, Role: c.Role, Applied: at, LastPosition: at, Lag: c.Lag}, k.Clock().Now())
			if c.Lost {
				h.stopServing()
			}
			k.Advance(c.Since)
			got := "runs"
			b := inner.Begin{Kind: c.Kind, Floor: floor.ReplicationPosition{Term: 1, Position: floor.Position(c.Floor)}, MaxStaleness: c.Age}
			if refusal := h.awaitReady(t.Context(), b); refusal != nil {
				got = string(refusal.Reason)
			}
			if diff := cmp.Diff(c.Want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// TestLeaving checks that an open transaction finishes on a leaving server, that a
// new one is refused until the server is no longer leaving, and that a change of
// Slots needs a new holder.
func TestLeaving(t *testing.T) {
	_, servers := startGroup(t, "one")
	h := startHolderWithLock(t, Options{Server: servers[0]})
	c := startCall(h, inner.Begin{Kind: document.KindWrite})
	first, _ := c.run(backend.QueryMessage("BEGIN"))
	leaving := servers[0]
	leaving.Leaving = true
	if !h.Update(leaving) {
		t.Fatal("Update requires a new holder for a leaving server")
	}
	refused := runSimple(h, inner.Begin{Kind: document.KindRead}, "SELECT 1")
	last, _ := c.run(backend.QueryMessage("COMMIT"))
	<-c.done
	h.Update(servers[0])
	restored := runSimple(h, inner.Begin{Kind: document.KindRead}, "SELECT '1'")
	want := [][]string{{"C BEGIN", "Z T"}, {"refused leaving"}, {"C COMMIT", "Z I"}, {"T", "D 1", "C SELECT 1", "Z I"}}
	if diff := cmp.Diff(want, [][]string{first, refused, last, restored}); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	leaving.Slots++
	if h.Update(leaving) {
		t.Error("Update accepted a change of Slots, which needs a new holder")
	}
}

// TestIdleTimeout checks that a transaction that stays idle is rolled back.
func TestIdleTimeout(t *testing.T) {
	g, servers := startGroup(t, "one")
	h := startHolderWithLock(t, Options{Server: servers[0], IdleTimeout: 30})
	c := startCall(h, inner.Begin{Kind: document.KindWrite})
	first, _ := c.run(backend.QueryMessage("BEGIN; INSERT INTO box (id, v) VALUES ('7', 'plum')"))
	if diff := cmp.Diff([]string{"C BEGIN", "C INSERT 0 1", "Z T"}, first); diff != "" {
		t.Fatalf("(-want +got):\n%s", diff)
	}
	// The row is locked until the idle transaction has been rolled back.
	second := runSimple(h, inner.Begin{Kind: document.KindWrite}, "INSERT INTO box (id, v) VALUES ('7', 'quince')")
	last, _ := c.run(backend.QueryMessage("COMMIT"))
	<-c.done
	want := [][]string{
		{"C INSERT 0 1", "Z I"},
		{"E 25P03 the transaction was idle for too long and was rolled back", "Z I"},
	}
	if diff := cmp.Diff(want, [][]string{second, last}); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if v, _ := g.Server("one").Value("box", "7"); v != "quince" {
		t.Errorf("row 7 holds %q", v)
	}
}

// TestReaderWokenByAnswer checks that a read that waits for a replica to catch up
// is woken by the state that is queried after another read. The holder of the
// replica sends no probes, since its clock is paused.
func TestReaderWokenByAnswer(t *testing.T) {
	g, servers := startGroup(t, "one", "two", "three")
	g.Server("two").SetApplyDelay(300)
	a := startHolderWithLock(t, Options{Server: servers[0]})
	p := &pausableClock{}
	b := startHolderWithLock(t, Options{Server: servers[1], Clock: p.clock()})
	p.pause()
	defer p.resume()
	end := writeRow(t, a)
	c := startCall(b, inner.Begin{Kind: document.KindRead, Floor: end.Position, Wait: 20 * clock.Second})
	got := make(chan []string, 1)
	go func() {
		out, _ := c.run(backend.QueryMessage("SELECT v FROM box WHERE id = '7'"))
		got <- out
	}()
	await(t, "the reader waits", b.hasWaitingReaders)
	await(t, "the replica has the write", func() bool { _, ok := g.Server("two").Value("box", "7"); return ok })
	runSimple(b, inner.Begin{Kind: document.KindRead}, "SELECT '1'")
	if diff := cmp.Diff([]string{"T", "D plum", "C SELECT 1", "Z I"}, <-got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
