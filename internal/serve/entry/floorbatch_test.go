package entry

import (
	"context"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// TestAsksShare checks that sessions that join while a request for floors is in
// flight share the next request, and that none gets the answer to a request that
// was sent before it joined.
func TestAsksShare(t *testing.T) {
	calls, release := make(chan []string, 10), make(chan floor.Position)
	batcher := newFloorBatcher(Options{FloorsFunc: func(_ context.Context, _ document.Server, _ string, sessions []string) ([]floor.ReplicationPosition, error) {
		calls <- sessions
		position := <-release
		positions := make([]floor.ReplicationPosition, len(sessions))
		for i := range positions {
			positions[i] = floor.ReplicationPosition{Term: 1, Position: position + floor.Position(i)}
		}
		return positions, nil
	}})
	type answer struct {
		session  string
		position floor.ReplicationPosition
	}
	answers := make(chan answer, 10)
	ask := func(session string) {
		position, err := batcher.requestFloor(t.Context(), document.Server{Name: "orders-1"}, "orders", session)
		if err != nil {
			t.Error(err)
		}
		answers <- answer{session: session, position: position}
	}
	go ask("early")
	if diff := cmp.Diff([]string{"early"}, <-calls); diff != "" {
		t.Errorf("first request (-want +got):\n%s", diff)
	}
	for _, session := range []string{"a", "b", "a", "b", "a"} {
		go ask(session)
	}
	waitUntil(t, "all have joined", func() bool {
		batcher.mu.Lock()
		defer batcher.mu.Unlock()
		return batcher.pending["orders-1"] != nil && len(batcher.pending["orders-1"].sessions) == 2
	})
	release <- 10
	if diff := cmp.Diff(answer{"early", floor.ReplicationPosition{Term: 1, Position: 10}}, <-answers, cmp.AllowUnexported(answer{})); diff != "" {
		t.Errorf("early caller (-want +got):\n%s", diff)
	}
	second := <-calls
	slices.Sort(second)
	if diff := cmp.Diff([]string{"a", "b"}, second); diff != "" {
		t.Errorf("second request (-want +got):\n%s", diff)
	}
	// A call of ask that joins after the second request was sent starts a
	// third, which must be answered too.
	go func() {
		for {
			select {
			case release <- 20:
			case <-t.Context().Done():
				return
			}
		}
	}()
	for range 5 {
		if got := <-answers; got.position.Position < 20 {
			t.Errorf("session %s got the answer to an earlier request: %s", got.session, got.position)
		}
	}
}

// TestEvictedSessionFloor checks that an evicted session never gets a lower floor
// than it had, and that evictions in one database do not raise the floors in
// another.
func TestEvictedSessionFloor(t *testing.T) {
	floors := newSessionFloors(2)
	for i, session := range []string{"a", "b", "c", "d"} {
		floors.raise("orders", session, floor.ReplicationPosition{Term: 1, Position: floor.Position(10 - i)})
	}
	got := map[string]string{}
	for _, session := range []string{"a", "b", "c", "d", "new"} {
		got[session] = floors.floor("orders", session).String()
	}
	// The floor of c was computed before its entry caused the first eviction, of
	// a. That of d was computed after that.
	want := map[string]string{"a": "1/10", "b": "1/10", "c": "1/8", "d": "1/10", "new": "1/10"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("floors (-want +got):\n%s", diff)
	}
	if got := floors.floor("members", "a"); !got.IsZero() {
		t.Errorf("another database has the floor %s", got)
	}
}
