package entry

import (
	"context"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// TestAsksShare lets askers come while a question is on its way: they share the
// next one, and none is served by an answer to a question sent before it came.
func TestAsksShare(t *testing.T) {
	calls, release := make(chan []string, 10), make(chan floor.Position)
	a := newFloorBatcher(Options{FloorsFunc: func(_ context.Context, _ document.Server, _ string, sessions []string) ([]floor.ReplicationPosition, error) {
		calls <- sessions
		position := <-release
		marks := make([]floor.ReplicationPosition, len(sessions))
		for i := range marks {
			marks[i] = floor.ReplicationPosition{Term: 1, Position: position + floor.Position(i)}
		}
		return marks, nil
	}})
	type answer struct {
		session string
		mark    floor.ReplicationPosition
	}
	answers := make(chan answer, 10)
	ask := func(session string) {
		m, err := a.requestFloor(t.Context(), document.Server{Name: "orders-1"}, "orders", session)
		if err != nil {
			t.Error(err)
		}
		answers <- answer{session: session, mark: m}
	}
	go ask("early")
	if diff := cmp.Diff([]string{"early"}, <-calls); diff != "" {
		t.Errorf("first question (-want +got):\n%s", diff)
	}
	for _, session := range []string{"a", "b", "a", "b", "a"} {
		go ask(session)
	}
	waitUntil(t, "all have joined", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.pending["orders-1"] != nil && len(a.pending["orders-1"].sessions) == 2
	})
	release <- 10
	if diff := cmp.Diff(answer{"early", floor.ReplicationPosition{Term: 1, Position: 10}}, <-answers, cmp.AllowUnexported(answer{})); diff != "" {
		t.Errorf("early asker (-want +got):\n%s", diff)
	}
	second := <-calls
	slices.Sort(second)
	if diff := cmp.Diff([]string{"a", "b"}, second); diff != "" {
		t.Errorf("second question (-want +got):\n%s", diff)
	}
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
		if got := <-answers; got.mark.Position < 20 {
			t.Errorf("session %s was answered from an earlier question: %s", got.session, got.mark)
		}
	}
}

// TestEvictedSessionFloor checks that a forgotten session never gets a lower floor.
func TestEvictedSessionFloor(t *testing.T) {
	r := newSessionFloors(2)
	for i, session := range []string{"a", "b", "c", "d"} {
		r.raise("orders", session, floor.ReplicationPosition{Term: 1, Position: floor.Position(10 - i)})
	}
	got := map[string]string{}
	for _, session := range []string{"a", "b", "c", "d", "new"} {
		got[session] = r.floor("orders", session).String()
	}
	// Session c was raised before any was forgotten and is still known; d was
	// raised after it.
	want := map[string]string{"a": "1/10", "b": "1/10", "c": "1/8", "d": "1/10", "new": "1/10"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("floors (-want +got):\n%s", diff)
	}
	if got := r.floor("members", "a"); !got.IsZero() {
		t.Errorf("another database has the floor %s", got)
	}
}
