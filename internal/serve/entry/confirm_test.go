package entry

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/verifier"
)

// TestUnconfirmed checks that while a VM has no confirmed configuration, no batch of
// a caller inside or outside a transaction reaches a server, that the exchange of the
// open transaction is closed, which rolls it back, and that both callers are served
// again after the next confirmation.
func TestUnconfirmed(t *testing.T) {
	var confirmed atomic.Bool
	confirmed.Store(true)
	d := parseDocument(t, "")
	b := newTestEntry(t, func(o *Options) {
		o.DocumentFunc = func() *document.Document {
			if confirmed.Load() {
				return d
			}
			return nil
		}
	})
	txConn, txFrontend := b.dial(t)
	idleConn, idleFrontend := b.dial(t)
	send := func(i int, text string) {
		t.Helper()
		if _, err := [2]net.Conn{txConn, idleConn}[i].Write(messageOf(t, text)); err != nil {
			t.Fatal(err)
		}
	}
	send(0, "Q BEGIN")
	expectMessages(t, func() string { return receive(t, txFrontend) }, "C BEGIN", "Z T")
	confirmed.Store(false)
	send(0, "Q COMMIT")
	send(1, "Q SELECT 1")
	expectMessages(t, func() string { return receive(t, txFrontend) }, "E 57P03", "Z E")
	expectMessages(t, func() string { return receive(t, idleFrontend) }, "E 57P03", "Z I")
	waitUntil(t, "the open transaction is closed", func() bool { return b.openCount() == 0 })
	if n := b.record("after"); n != 2 {
		t.Errorf("%d batches reached a server, and only BEGIN was allowed to", n-1)
	}
	confirmed.Store(true)
	send(0, "Q ROLLBACK")
	expectMessages(t, func() string { return receive(t, txFrontend) }, "C ROLLBACK", "Z I")
	send(1, "Q SELECT 1")
	expectMessages(t, func() string { return receive(t, idleFrontend) }, "C SELECT 1", "Z I")
}

// TestKeyWaitsForConfirmation checks that a batch waits instead of being refused
// when one check finds the configuration unconfirmed, as during a change of
// configuration.
func TestKeyWaitsForConfirmation(t *testing.T) {
	verifierText, err := verifier.New("jelly", []byte("0123456789abcdef"))
	if err != nil {
		t.Fatal(err)
	}
	var unconfirmed atomic.Bool
	d := parseDocument(t, `{id: k1, verifier: "`+verifierText+`"}`)
	b := newTestEntry(t, func(o *Options) {
		o.DocumentFunc = func() *document.Document {
			if unconfirmed.Swap(false) {
				return nil
			}
			return d
		}
	})
	c, err := pgconn.Connect(t.Context(), "postgres://counter:jelly@"+b.address+"/orders?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close(t.Context()) //nolint:errcheck // the test harness ends it too
	unconfirmed.Store(true)
	if _, err := c.Exec(t.Context(), "SELECT 1").ReadAll(); err != nil {
		t.Error(err)
	}
	if unconfirmed.Load() {
		t.Error("the confirmation was not checked")
	}
}
