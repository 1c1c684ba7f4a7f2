package database

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestConnLimitWhileOpening opens a connection in the place of an evicted one while four
// others are being opened, at a server that accepts two. That does not show that the server
// accepts more, so the pauses between attempts must not become short again.
func TestConnLimitWhileOpening(t *testing.T) {
	f := &fakeGroup{maxConns: 2}
	g := f.group(t, 12)
	p := g.pools["p"]
	first, err := p.acquire(t.Context(), Requester{Account: "a", Weight: 1}, 1000)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Release()
	p.mu.Lock()
	place := p.reserve()
	for range 4 {
		p.reserve()
	}
	p.connLimit, p.connLimitHits = 2, 3
	p.mu.Unlock()
	pc, err := p.dial(t.Context(), place, "a", dialForStatement)
	if err != nil {
		t.Fatal(err)
	}
	defer pc.Release()
	if diff := cmp.Diff(3, p.connLimitHits); diff != "" {
		t.Errorf("refusals in a row (-want +got):\n%s", diff)
	}
}

// TestOneAttemptAtLimit checks that after a refusal, and the pause that follows it, one
// connection at a time is opened, until the refusal is old.
func TestOneAttemptAtLimit(t *testing.T) {
	f := &fakeGroup{}
	p := f.group(t, 12).pools["p"]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordConnLimit(1000)
	until := p.connLimitUntil
	p.reserve()
	got := []bool{p.connLimitHolds(until - 1), p.connLimitHolds(until), p.connLimitHolds(until + connLimitMaxAge)}
	if diff := cmp.Diff([]bool{true, true, false}, got); diff != "" {
		t.Errorf("limit holds while one is being opened (-want +got):\n%s", diff)
	}
	p.opening = 0
	if p.connLimitHolds(until) {
		t.Error("no connection may be opened after the pause")
	}
}
