// Package peer carries the inner protocol between VMs over QUIC with mutual TLS.
package peer

import (
	"bufio"
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/keys"
)

const (
	dialTimeout      = 2 * clock.Second
	idleTimeout      = 10 * clock.Second
	keepAlive        = 2 * clock.Second
	maxStreams       = 1 << 16
	streamBuffer     = 4096
	abandoned        = quic.StreamErrorCode(1)
	shutdownCode     = quic.ApplicationErrorCode(0)
	streamWindow     = 512 << 10
	connectionWindow = 8 << 20
)

// UnreachableError means that no stream to the VM could be opened, so that
// nothing was sent.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return "VM " + e.Address + " is unreachable: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Handler serves one stream from the VM called name.
type Handler func(ctx context.Context, name string, x inner.Exchange)

// Transport opens and accepts streams on one UDP address.
type Transport struct {
	ring     *keys.Ring
	udp      *quic.Transport
	listener *quic.Listener
	done     chan struct{}

	mu    sync.Mutex
	conns map[string]*link
}

// link is the connection to one VM, being opened or open.
type link struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
}

// Listen opens a transport at IP:port.
func Listen(address string, ring *keys.Ring) (*Transport, error) {
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "inner address")
	}
	c, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, errors.Wrap(err, "inner address")
	}
	t := &Transport{ring: ring, udp: &quic.Transport{Conn: c}, conns: map[string]*link{}, done: make(chan struct{})}
	t.listener, err = t.udp.Listen(ring.Server(), settings())
	if err != nil {
		_ = c.Close()
		return nil, errors.Wrap(err, "inner address")
	}
	return t, nil
}

func settings() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           dialTimeout.Duration(),
		MaxIdleTimeout:                 idleTimeout.Duration(),
		KeepAlivePeriod:                keepAlive.Duration(),
		MaxIncomingStreams:             maxStreams,
		InitialStreamReceiveWindow:     streamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		EnableDatagrams:                true,
	}
}

// Address returns IP:port of the transport.
func (t *Transport) Address() string { return t.udp.Conn.LocalAddr().String() }

// Done is closed once every stream that was accepted has been served.
func (t *Transport) Done() <-chan struct{} { return t.done }

// Serve accepts streams until the context ends.
func (t *Transport) Serve(ctx context.Context, handle Handler) {
	defer close(t.done)
	stop := context.AfterFunc(ctx, t.close)
	defer stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		c, err := t.listener.Accept(ctx)
		if err != nil {
			return
		}
		running.Add(1)
		go func() {
			defer running.Done()
			serveConn(ctx, c, handle)
		}()
	}
}

func (t *Transport) close() {
	_ = t.listener.Close()
	t.mu.Lock()
	for _, l := range t.conns {
		if l.conn != nil {
			_ = l.conn.CloseWithError(shutdownCode, "shutdown")
		}
	}
	t.mu.Unlock()
	_ = t.udp.Close()
	_ = t.udp.Conn.Close()
}

func serveConn(ctx context.Context, c *quic.Conn, handle Handler) {
	name := c.ConnectionState().TLS.PeerCertificates[0].Subject.CommonName
	var running sync.WaitGroup
	defer running.Wait()
	for {
		s, err := c.AcceptStream(ctx)
		if err != nil {
			_ = c.CloseWithError(shutdownCode, "shutdown")
			return
		}
		running.Add(1)
		go func() {
			defer running.Done()
			x := exchange(s, func() {
				s.CancelRead(abandoned)
				_ = s.Close()
			})
			defer x.Close()
			handle(c.Context(), name, x)
		}()
	}
}

func exchange(s *quic.Stream, closeStream func()) inner.Exchange {
	r := bufio.NewReaderSize(s, streamBuffer)
	return inner.Exchange{
		SendFunc:    func(f inner.Frame) error { return inner.Write(s, f) },
		ReceiveFunc: func() (inner.Frame, error) { return inner.Read(r) },
		CloseFunc:   closeStream,
	}
}

// Open opens a stream to the VM at an address. An error means that nothing was
// sent.
func (t *Transport) Open(ctx context.Context, address string) (inner.Exchange, error) {
	c, err := t.connect(ctx, address)
	if err != nil {
		return inner.Exchange{}, &UnreachableError{Address: address, Cause: err}
	}
	s, err := c.OpenStream()
	if err != nil {
		t.forget(address, c)
		return inner.Exchange{}, &UnreachableError{Address: address, Cause: err}
	}
	return exchange(s, func() {
		s.CancelRead(abandoned)
		s.CancelWrite(abandoned)
	}), nil
}

// connect returns the open connection to an address or opens one; callers that
// come meanwhile wait for the same.
func (t *Transport) connect(ctx context.Context, address string) (*quic.Conn, error) {
	t.mu.Lock()
	l := t.conns[address]
	if l != nil && l.conn != nil && l.conn.Context().Err() != nil {
		l = nil
	}
	if l == nil {
		l = &link{ready: make(chan struct{})}
		t.conns[address] = l
		go t.dial(address, l)
	}
	t.mu.Unlock()
	select {
	case <-l.ready:
		return l.conn, l.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (t *Transport) dial(address string, l *link) {
	defer close(l.ready)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout.Duration())
	defer cancel()
	var c *quic.Conn
	a, err := net.ResolveUDPAddr("udp", address)
	if err == nil {
		c, err = t.udp.Dial(ctx, a, t.ring.Client(), settings())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l.conn, l.err = c, err
	if err != nil && t.conns[address] == l {
		delete(t.conns, address)
	}
}

func (t *Transport) forget(address string, c *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.conns[address]; l != nil && l.conn == c {
		delete(t.conns, address)
	}
}
