package entry

import (
	"context"
	"sync"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/core/budget"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// TestChangeOfPrimary checks that a write waits while the old primary is gone
// and the next one is not known yet, even with an empty retry budget.
func TestChangeOfPrimary(t *testing.T) {
	var b *testEntry
	var mu sync.Mutex
	rounds := 0
	b = newTestEntry(t, func(o *Options) {
		o.OpenFunc = func(ctx context.Context, s document.Server, account string, weight int) (inner.Exchange, error) {
			mu.Lock()
			defer mu.Unlock()
			switch s.Name {
			case "orders-1":
				return inner.Exchange{}, errors.New("no route to host")
			case "orders-2":
				rounds++
				state := inner.ServerState{Server: s.Name, Term: 1, Primary: "orders-1"}
				if rounds > 3 {
					state.Term, state.Primary = 2, "orders-3"
				}
				return refuseWith(state), nil
			}
			if rounds <= 3 {
				return refuseWith(inner.ServerState{Server: s.Name, Term: 1, Primary: "orders-1"}), nil
			}
			return b.open(ctx, s, account, weight)
		}
	})
	b.entry.budget = budget.New(0, 0)
	c, f := b.dial(t)
	if _, err := c.Write(messageOf(t, "Q SET sycamoredoor.route = 'wide'")); err != nil {
		t.Fatal(err)
	}
	expectMessages(t, func() string { return receive(t, f) }, "C SET", "Z I")
	if _, err := c.Write(messageOf(t, "Q UPDATE")); err != nil {
		t.Fatal(err)
	}
	expectMessages(t, func() string { return receive(t, f) }, "C SELECT 1", "Z I")
	if diff := cmp.Diff(4, rounds); diff != "" {
		t.Errorf("rounds over the servers (-want +got):\n%s", diff)
	}
}

// refuseWith returns an exchange whose holder refuses the first batch with the
// state.
func refuseWith(state inner.ServerState) inner.Exchange {
	entryEnd, holderEnd := inner.Pipe()
	go func() {
		defer holderEnd.Close()
		for {
			f, err := holderEnd.Receive()
			if err != nil {
				return
			}
			if f.Kind == inner.KindBatch {
				_ = holderEnd.Send(inner.Encode(inner.KindRefusal, inner.Refusal{Reason: outcome.ReasonNotPrimary, Code: outcome.CodeUnavailable, State: state}))
				return
			}
		}
	}()
	return entryEnd
}
