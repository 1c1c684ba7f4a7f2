package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/keys"
)

// testTimeout bounds each wait in these tests.
const testTimeout = 20 * time.Second

// echo answers each frame with the same frame.
var echo = Handlers{StreamFunc: func(_ context.Context, _ string, x Stream) {
	for {
		f, err := x.Receive()
		if err != nil || x.Send(f) != nil {
			return
		}
	}
}}

func newTestKeyring(t *testing.T) *keys.Keyring {
	t.Helper()
	a := newAuthority(t)
	return a.newKeyring(t, a, keys.ServerName)
}

// serve is serveAt on a free loopback port; the transport stops at the end of the test.
func serve(t *testing.T, r *keys.Keyring, o Options, h Handlers) *Transport {
	t.Helper()
	p, stop := serveAt(t, "127.0.0.1:0", r, o, h)
	t.Cleanup(stop)
	return p
}

// serveAt starts a transport at an address. It also returns a function that stops the
// transport and waits for its end.
func serveAt(t *testing.T, address string, r *keys.Keyring, o Options, h Handlers) (*Transport, func()) {
	t.Helper()
	if o.Clock.NowFunc == nil {
		o.Clock = clock.System()
	}
	p, err := Listen(address, r, o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go p.Serve(ctx, h)
	return p, func() {
		cancel()
		select {
		case <-p.Done():
		case <-time.After(testTimeout):
			t.Error("the transport did not stop")
		}
	}
}

// exchangeOnce sends a frame and returns an error unless the same frame comes back.
func exchangeOnce(x inner.Exchange, f inner.Frame) error {
	if err := x.Send(f); err != nil {
		return err
	}
	got, err := x.Receive()
	if err != nil {
		return err
	}
	if diff := cmp.Diff(f, got); diff != "" {
		return fmt.Errorf("echo (-want +got):\n%s", diff)
	}
	return nil
}

// echoOnce is exchangeOnce on a new exchange with the VM at an address.
func echoOnce(t *testing.T, p *Transport, address string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	x, err := p.Open(ctx, address, Label{})
	if err != nil {
		return err
	}
	defer x.Close()
	return exchangeOnce(x, inner.Frame{Kind: inner.KindData, Body: bytes.Repeat([]byte("jelly"), 1000)})
}

// eventually waits until f returns true, for at most testTimeout.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("did not happen: %s", what)
		}
	}
}

// TestDeadVM closes the socket of a VM without closing its connections: a pending
// receive must end, and a VM that restarts at the same address is dialed again.
func TestDeadVM(t *testing.T) {
	r := newTestKeyring(t)
	a := serve(t, r, Options{IdleTimeout: clock.Second}, echo)
	b, stop := serveAt(t, "127.0.0.1:0", r, Options{IdleTimeout: clock.Second}, echo)
	address := b.Address()
	x, err := a.Open(t.Context(), address, Label{})
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	if err := exchangeOnce(x, inner.Frame{Kind: inner.KindData, Body: []byte("1")}); err != nil {
		t.Fatal(err)
	}
	_ = b.udp.Conn.Close()
	ended := make(chan error, 1)
	go func() {
		_, err := x.Receive()
		ended <- err
	}()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("a dead VM answered")
		}
	case <-time.After(testTimeout):
		t.Fatal("the stream to a dead VM did not end")
	}
	stop()
	_, stop = serveAt(t, address, r, Options{}, echo)
	defer stop()
	eventually(t, "the restarted VM answers", func() bool { return echoOnce(t, a, address) == nil })
}

// TestRestartedVMResetsConnections guards against connections to a VM that was killed and runs again which
// count as open until IdleTimeout, so that nothing which is sent on them arrives.
func TestRestartedVMResetsConnections(t *testing.T) {
	r := newTestKeyring(t)
	o := Options{IdleTimeout: 2 * clock.FromDuration(testTimeout), ResetKey: &[32]byte{1}}
	a := serve(t, r, o, echo)
	b, stop := serveAt(t, "127.0.0.1:0", r, o, echo)
	address := b.Address()
	if err := echoOnce(t, a, address); err != nil {
		t.Fatal(err)
	}
	_ = b.udp.Conn.Close()
	stop()
	received := make(chan struct{}, 1)
	_, stop = serveAt(t, address, r, o, Handlers{DatagramFunc: func(string, []byte) {
		select {
		case received <- struct{}{}:
		default:
		}
	}})
	defer stop()
	eventually(t, "a datagram arrives", func() bool {
		_ = a.TrySendDatagram(t.Context(), address, bytes.Repeat([]byte("jelly"), 20))
		select {
		case <-received:
			return true
		default:
			return false
		}
	})
}

// TestFailedDialIsCached checks that the error of a failed dial is returned to callers
// in the next 200 ms without another dial, and no longer.
func TestFailedDialIsCached(t *testing.T) {
	fake := clock.NewFake(0)
	a := serve(t, newTestKeyring(t), Options{Clock: fake.Clock()}, echo)
	var dials atomic.Int32
	client := a.clientTLSFunc
	a.clientTLSFunc = func() *tls.Config {
		dials.Add(1)
		return client()
	}
	var got []int32
	for _, step := range []clock.Millis{0, 1, redialPause - 2, 1, 0} {
		fake.Advance(step)
		var unreachable *UnreachableError
		if _, err := a.Open(t.Context(), "no address", Label{}); !errors.As(err, &unreachable) {
			t.Errorf("want an UnreachableError, got %v", err)
		}
		got = append(got, dials.Load())
	}
	if diff := cmp.Diff([]int32{1, 1, 1, 2, 2}, got); diff != "" {
		t.Errorf("dials (-want +got):\n%s", diff)
	}
}

// TestUnresponsiveAddress opens streams to an address that never answers: a caller's
// own deadline ends its wait, and concurrent callers, which wait for the same dial, all
// get an error.
func TestUnresponsiveAddress(t *testing.T) {
	silent, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	a := serve(t, newTestKeyring(t), Options{}, echo)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if _, err := a.Open(ctx, silent.LocalAddr().String(), Label{}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("want the caller's deadline, got %v", err)
	}
	results := make(chan error, 8)
	for range cap(results) {
		go func() {
			_, err := a.Open(t.Context(), silent.LocalAddr().String(), Label{})
			results <- err
		}()
	}
	for range cap(results) {
		if err := <-results; err == nil {
			t.Error("a stream to a silent address was opened")
		}
	}
}

// TestCloseSeenByPeer checks both ways of closing a stream: after a close by the
// accepting end the dialing end still receives all that was sent and then io.EOF, and
// a close by the dialing end gives the accepting end an error. The closed end can be
// closed again but no longer send.
func TestCloseSeenByPeer(t *testing.T) {
	r := newTestKeyring(t)
	seen := make(chan error, 1)
	b := serve(t, r, Options{}, Handlers{StreamFunc: func(_ context.Context, _ string, x Stream) {
		f, _ := x.Receive()
		if string(f.Body) == "answer" {
			_ = x.Send(f)
			return
		}
		_, err := x.Receive()
		seen <- err
	}})
	a := serve(t, r, Options{}, echo)
	open := func(body string) inner.Exchange {
		x, err := a.Open(t.Context(), b.Address(), Label{})
		if err != nil {
			t.Fatal(err)
		}
		if err := x.Send(inner.Frame{Kind: inner.KindData, Body: []byte(body)}); err != nil {
			t.Fatal(err)
		}
		return x
	}
	x := open("answer")
	if f, err := x.Receive(); err != nil || string(f.Body) != "answer" {
		t.Errorf("the answer was lost: %q, %v", f.Body, err)
	}
	if _, err := x.Receive(); !errors.Is(err, io.EOF) {
		t.Errorf("want the end of the stream, got %v", err)
	}
	x.Close()
	y := open("wait")
	y.Close()
	y.Close()
	if err := y.Send(inner.Frame{Kind: inner.KindData}); err == nil {
		t.Error("a closed exchange sent a frame")
	}
	select {
	case err := <-seen:
		if err == nil {
			t.Error("the accepting end received a frame after the close")
		}
	case <-time.After(testTimeout):
		t.Error("the accepting end did not see the close")
	}
}

// TestDatagram sends datagrams until one arrives, since any may be lost, and checks
// the size limits.
func TestDatagram(t *testing.T) {
	r := newTestKeyring(t)
	got := make(chan string, 100)
	b := serve(t, r, Options{}, Handlers{StreamFunc: echo.StreamFunc, DatagramFunc: func(name string, body []byte) {
		select {
		case got <- name + " " + string(body):
		default:
		}
	}})
	a := serve(t, r, Options{}, echo)
	eventually(t, "a datagram arrives", func() bool {
		if err := a.SendDatagram(t.Context(), b.Address(), []byte("beat")); err != nil {
			t.Fatal(err)
		}
		return len(got) > 0
	})
	if diff := cmp.Diff("vm beat", <-got); diff != "" {
		t.Errorf("datagram (-want +got):\n%s", diff)
	}
	if err := a.SendDatagram(t.Context(), b.Address(), make([]byte, MaxDatagram)); err != nil {
		t.Errorf("the largest datagram: %v", err)
	}
	if err := a.SendDatagram(t.Context(), b.Address(), make([]byte, 1<<16)); err == nil {
		t.Error("a datagram of 64 KB was sent")
	}
}

// TestNoGoroutineLeak shuts down two transports with open streams in both directions
// and checks that every goroutine ends.
func TestNoGoroutineLeak(t *testing.T) {
	r := newTestKeyring(t)
	before := runtime.NumGoroutine()
	a, stopA := serveAt(t, "127.0.0.1:0", r, Options{}, echo)
	b, stopB := serveAt(t, "127.0.0.1:0", r, Options{}, echo)
	for range 20 {
		for _, ends := range [][2]*Transport{{a, b}, {b, a}} {
			if _, err := ends[0].Open(t.Context(), ends[1].Address(), Label{}); err != nil {
				t.Fatal(err)
			}
		}
	}
	stopA()
	stopB()
	eventually(t, "every goroutine ends", func() bool { return runtime.NumGoroutine() <= before })
	if _, err := a.Open(t.Context(), b.Address(), Label{}); err == nil {
		t.Error("a closed transport opened a stream")
	}
}
