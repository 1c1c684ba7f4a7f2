package budget

import (
	"testing"

	"pgregory.net/rapid"
)

// TestShare checks that the retries allowed never exceed the burst plus the share of the
// requests, whatever the order.
func TestShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := float64(rapid.IntRange(0, 4).Draw(t, "quarters")) / 4
		burst := float64(rapid.IntRange(0, 5).Draw(t, "most"))
		b := New(share, burst)
		requests, retries := 0.0, 0.0
		for _, retry := range rapid.SliceOf(rapid.Bool()).Draw(t, "retries") {
			ok := false
			if !retry {
				b, requests = b.WithRequest(), requests+1
			} else if b, ok = b.WithRetry(); ok {
				retries++
			}
			if retries > burst+share*requests {
				t.Fatalf("%g retries after %g requests", retries, requests)
			}
		}
	})
}

// TestRefill checks that an empty budget allows a retry again once requests have
// added a whole token.
func TestRefill(t *testing.T) {
	b, _ := New(0.25, 1).WithRetry()
	for i := range 4 {
		if _, ok := b.WithRetry(); ok {
			t.Fatalf("a retry was allowed after %d requests", i)
		}
		b = b.WithRequest()
	}
	if _, ok := b.WithRetry(); !ok {
		t.Error("no retry was allowed after four requests")
	}
}
