package entry

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
)

// TestLimit checks that the limit is checked once for each batch that runs
// statements on a server, but not for one that only ends a transaction, so that
// a transaction can always end. It also checks that a refused batch is not sent.
func TestLimit(t *testing.T) {
	var checks, remaining atomic.Int64
	remaining.Store(2)
	b := newTestEntry(t, func(o *Options) {
		o.LimitFunc = func(_ context.Context, account string) error {
			checks.Add(1)
			if remaining.Add(-1) < 0 {
				return outcome.Refuse(outcome.ReasonRateLimit, outcome.CodeRateLimit, "account %s is over its rate", account)
			}
			return nil
		}
	})
	c, f := b.dial(t)
	for _, step := range []struct {
		send string
		want []string
	}{
		{"Q SET sycamoredoor.route = 'wide'", []string{"C SET", "Z I"}},
		{"Q BEGIN", []string{"C BEGIN", "Z T"}},
		{"Q UPDATE", []string{"C SELECT 1", "Z T"}},
		{"Q COMMIT", []string{"C COMMIT", "Z I"}},
		{"Q UPDATE", []string{"E 53400", "Z I"}},
	} {
		if _, err := c.Write(messageOf(t, step.send)); err != nil {
			t.Fatal(err)
		}
		expectMessages(t, func() string { return receive(t, f) }, step.want...)
	}
	if diff := cmp.Diff(int64(3), checks.Load()); diff != "" {
		t.Errorf("checks of the limit (-want +got):\n%s", diff)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if diff := cmp.Diff(1, len(b.floors)); diff != "" {
		t.Errorf("transactions (-want +got):\n%s", diff)
	}
}
