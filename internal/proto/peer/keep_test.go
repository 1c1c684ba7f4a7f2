package peer

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// connCounts returns the numbers of outgoing and of incoming connections.
func (t *Transport) connCounts() [2]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return [2]int{len(t.outgoing), len(t.incoming)}
}

// TestUnusedConnectionIsClosed keeps a stream open for twice the idle timeout and then
// closes it: the connection must stay open until the close and end after it, and the
// next stream opens a new connection.
func TestUnusedConnectionIsClosed(t *testing.T) {
	r, o := newTestKeyring(t), Options{IdleTimeout: clock.Second}
	a, b := serve(t, r, o, echo), serve(t, r, o, echo)
	x, err := a.Open(t.Context(), b.Address(), Label{})
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * o.IdleTimeout.Duration())
	if err := exchangeOnce(x, inner.Frame{Kind: inner.KindData, Body: []byte("1")}); err != nil {
		t.Error("using a stream after the idle timeout: ", err)
	}
	x.Close()
	x.Close()
	eventually(t, "the connection ends", func() bool { return a.connCounts() == [2]int{} && b.connCounts() == [2]int{} })
	if err := echoOnce(t, a, b.Address()); err != nil {
		t.Error("the next stream: ", err)
	}
}

// TestCloseSuspectedConnections closes the connection to a suspected VM from the
// dialing and from the accepting end, and checks that its streams end at both ends.
func TestCloseSuspectedConnections(t *testing.T) {
	r := newTestKeyring(t)
	a := serve(t, r, Options{}, echo)
	// served receives the name of the dialing VM when a stream begins and when it ends.
	served := make(chan string, 1)
	b := serve(t, r, Options{}, Handlers{StreamFunc: func(_ context.Context, name string, x Stream) {
		served <- name
		_, _ = x.Receive()
		_, _ = x.Receive()
		served <- name
	}})
	cases := map[string]func(name string){
		"opened":   func(string) { a.CloseOutgoing(b.Address()) },
		"accepted": func(name string) { b.CloseIncoming(name) },
	}
	for name, closeFunc := range cases {
		t.Run(name, func(t *testing.T) {
			x, err := a.Open(t.Context(), b.Address(), Label{})
			if err != nil {
				t.Fatal(err)
			}
			defer x.Close()
			if err := x.Send(inner.Frame{Kind: inner.KindData}); err != nil {
				t.Fatal(err)
			}
			closeFunc(<-served)
			if _, err := x.Receive(); err == nil {
				t.Error("the stream is still open")
			}
			<-served
		})
	}
}

// TestReleaseReusesStream checks that a released stream is reused by the next
// transaction, that a Close after the Release does not close it, and that a new stream
// is opened after a Close.
func TestReleaseReusesStream(t *testing.T) {
	r := newTestKeyring(t)
	var streams atomic.Int32
	a := serve(t, r, Options{}, echo)
	b := serve(t, r, Options{}, Handlers{StreamFunc: func(ctx context.Context, name string, x Stream) {
		streams.Add(1)
		echo.StreamFunc(ctx, name, x)
	}})
	for i, want := range []int32{1, 1, 2} {
		x, err := a.Open(t.Context(), b.Address(), Label{})
		if err != nil {
			t.Fatal(err)
		}
		if err := exchangeOnce(x, inner.Frame{Kind: inner.KindData, Body: []byte{byte(i)}}); err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			x.Release()
		}
		x.Close()
		if got := streams.Load(); got != want {
			t.Errorf("transaction %d: %d streams, want %d", i, got, want)
		}
	}
}
