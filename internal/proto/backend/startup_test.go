package backend

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// slowWriteTime is longer than the driver lets a write take before it reads in the
// background.
const slowWriteTime = 40 * time.Millisecond

// slowConn is a connection whose writes return long after the data has gone out.
type slowConn struct{ *net.TCPConn }

// Write implements net.Conn.
func (c slowConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	time.Sleep(slowWriteTime)
	return n, err
}

// serveSessions opens each session at once, and answers each query with a ReadyForQuery.
func serveSessions(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serveSession(c)
	}
}

func serveSession(c net.Conn) {
	defer c.Close() //nolint:errcheck // the test has ended
	b := pgproto3.NewBackend(c, c)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		return
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for b.Flush() == nil {
		if _, err := b.Receive(); err != nil {
			return
		}
		b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	}
}

// TestSlowStartup opens a session on a connection whose writes are slow, so that the driver
// reads in the background. That read must not take the first answer, nor block the check
// whether the connection is alive.
func TestSlowStartup(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() //nolint:errcheck // the test has ended
	go serveSessions(l)
	c, err := Dial(t.Context(), Options{
		Address: l.Addr().String(), Database: "orders", User: "proxy", ConnectTimeout: 10 * clock.Second,
		DialFunc: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialStartup(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return slowConn{conn.(*net.TCPConn)}, nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	alive := make(chan bool, 1)
	go func() { alive <- c.Alive() }()
	select {
	case got := <-alive:
		if diff := cmp.Diff(true, got); diff != "" {
			t.Fatalf("alive (-want +got):\n%s", diff)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the check of the connection did not return")
	}
	raw, err := (&pgproto3.Query{String: "SELECT 1"}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	c.Acquire(1)
	if err := c.Write(1, raw); err != nil {
		t.Fatal(err)
	}
	if err := c.conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	answer, err := c.reader.Peek(1)
	if diff := cmp.Diff([]byte{'Z'}, answer); diff != "" {
		t.Errorf("first byte of the answer, error %v (-want +got):\n%s", err, diff)
	}
}
