package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/verifier"
)

// expectMessages compares the next messages with answers, each in the form that
// receive returns: a type and its text, or "end" once the connection is closed.
func expectMessages(t *testing.T, receive func() string, answers ...string) {
	t.Helper()
	var got []string
	for range answers {
		got = append(got, receive())
	}
	if diff := cmp.Diff(answers, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
}

// TestWithdrawnKey withdraws a key while two callers are idle, one is in a
// transaction and one runs a statement: each gets an error and is disconnected.
func TestWithdrawnKey(t *testing.T) {
	verifierText, err := verifier.New("jelly", []byte("0123456789abcdef"))
	if err != nil {
		t.Fatal(err)
	}
	var config atomic.Pointer[document.Document]
	config.Store(parseDocument(t, `{id: k1, verifier: "`+verifierText+`"}`))
	b := newTestEntry(t, func(o *Options) { o.DocumentFunc = config.Load })
	_, err = pgconn.Connect(t.Context(), "postgres://counter:plum@"+b.address+"/orders?sslmode=disable")
	if err == nil {
		t.Error("a wrong key was accepted")
	}
	var callers []*pgconn.HijackedConn
	for _, query := range []string{"Q SELECT 1", "Q BEGIN", "Q HOLD", "Q SELECT 1"} {
		c, err := pgconn.Connect(t.Context(), "postgres://counter:jelly@"+b.address+"/orders?sslmode=disable")
		if err != nil {
			t.Fatal(err)
		}
		h, err := c.Hijack()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = h.Conn.Close() })
		_ = h.Conn.SetDeadline(time.Now().Add(testTimeout))
		if _, err := h.Conn.Write(messageOf(t, query)); err != nil {
			t.Fatal(err)
		}
		callers = append(callers, h)
	}
	next := func(i int) func() string { return func() string { return receive(t, callers[i].Frontend) } }
	expectMessages(t, next(0), "C SELECT 1", "Z I")
	expectMessages(t, next(1), "C BEGIN", "Z T")
	expectMessages(t, next(3), "C SELECT 1", "Z I")
	b.waitForRecord("hold")
	config.Store(parseDocument(t, ""))
	// A batch is refused even before CloseWithdrawnSessions closes its connection.
	if _, err := callers[3].Conn.Write(messageOf(t, "Q SELECT 1")); err != nil {
		t.Fatal(err)
	}
	expectMessages(t, next(3), "E 28000", "end")
	b.entry.CloseWithdrawnSessions(config.Load())
	expectMessages(t, next(0), "E 28000", "end")
	expectMessages(t, next(1), "E 28000", "end")
	expectMessages(t, next(2), "E 08007", "Z I", "E 28000", "end")
	b.record("release")
	waitUntil(t, "every exchange is closed", func() bool { return b.openCount() == 0 })
}

// TestDrain drains while one caller is idle, one is in a transaction and one
// runs a statement: the last two finish before they are disconnected.
func TestDrain(t *testing.T) {
	b := newTestEntry(t, nil)
	_, idle := b.dial(t)
	openConn, open := b.dial(t)
	busyConn, busy := b.dial(t)
	if _, err := openConn.Write(messageOf(t, "Q BEGIN")); err != nil {
		t.Fatal(err)
	}
	expectMessages(t, func() string { return receive(t, open) }, "C BEGIN", "Z T")
	if _, err := busyConn.Write(messageOf(t, "Q HOLD")); err != nil {
		t.Fatal(err)
	}
	b.waitForRecord("hold")
	ended := make(chan error, 1)
	go func() { ended <- b.entry.Drain(context.Background()) }()
	expectMessages(t, func() string { return receive(t, idle) }, "E 57P01", "end")
	if _, err := openConn.Write(messageOf(t, "Q SELECT 1")); err != nil {
		t.Fatal(err)
	}
	expectMessages(t, func() string { return receive(t, open) }, "C SELECT 1", "Z T")
	if _, err := openConn.Write(messageOf(t, "Q COMMIT")); err != nil {
		t.Fatal(err)
	}
	expectMessages(t, func() string { return receive(t, open) }, "C COMMIT", "Z I", "E 57P01", "end")
	b.record("release")
	expectMessages(t, func() string { return receive(t, busy) }, "C SELECT 1", "Z I", "E 57P01", "end")
	if err := <-ended; err != nil {
		t.Errorf("Drain returned the error %v", err)
	}
}

// TestDrainBound checks that a caller that is idle in a transaction is terminated
// when the context of Drain ends.
func TestDrainBound(t *testing.T) {
	b := newTestEntry(t, nil)
	c, f := b.dial(t)
	if _, err := c.Write(messageOf(t, "Q BEGIN")); err != nil {
		t.Fatal(err)
	}
	expectMessages(t, func() string { return receive(t, f) }, "C BEGIN", "Z T")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := b.entry.Drain(ctx); err == nil {
		t.Error("Drain terminated a caller and returned no error")
	}
	expectMessages(t, func() string { return receive(t, f) }, "E 57P01", "end")
}
