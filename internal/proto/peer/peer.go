// Package peer carries the inner protocol between VMs over QUIC with mutual TLS.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/pace"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/memory"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/keys"
)

const (
	dialTimeout        = 2 * clock.Second
	defaultIdleTimeout = 10 * clock.Second
	// maxStreams is the number of open streams that another VM may have on one
	// connection.
	maxStreams = 1 << 16
	// streamWindow and connectionWindow are the initial flow control windows in bytes.
	streamWindow = 512 << 10
	// maxStreamWindow bounds the window of a stream, and connectionWindow that of a connection,
	// also after it has grown: bytes that are not read yet are not accounted for. It is above
	// what a link of 200 Mbit/s carries in a round trip between regions.
	maxStreamWindow  = 1 << 20
	connectionWindow = 2 << 20

	// abandonedCode resets a stream; the other codes close a connection.
	abandonedCode = quic.StreamErrorCode(1)
	shutdownCode  = quic.ApplicationErrorCode(0)
	refusedCode   = quic.ApplicationErrorCode(1)
	suspectedCode = quic.ApplicationErrorCode(2)
)

// UnreachableError means that nothing was sent to the VM: no stream could be opened, or
// the datagram could not be sent.
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

// Options configures a transport.
type Options struct {
	Clock clock.Clock
	// IdleTimeout is how long a VM may send nothing before the connection to it
	// is closed, in milliseconds; 0 means ten seconds. An unused connection is
	// closed after half of it.
	IdleTimeout clock.Millis
	// Region is the region of this VM.
	Region string
	// Link bounds the bytes sent to each other region; a rate of 0 sets no bound.
	Link pace.Link
	// ResetKey is the same for all processes of this VM and secret to others. A process then ends the
	// connections to an earlier one, which the other VMs would take for open until IdleTimeout. Nil
	// means that it does not.
	ResetKey *[32]byte
	// Memory accounts for what arrives on streams that other VMs open; nil grants everything.
	Memory *memory.Pool
}

// Handlers serve streams and datagrams from other VMs. The name is the common name
// in the certificate of the other VM.
type Handlers struct {
	// StreamFunc serves one stream; the stream is closed when it returns.
	StreamFunc func(ctx context.Context, name string, s Stream)
	// DatagramFunc handles one datagram and must not block. When it is nil,
	// datagrams are discarded.
	DatagramFunc func(name string, body []byte)
}

// Transport opens and accepts streams on one UDP address.
type Transport struct {
	options  Options
	counters counters
	udp      *quic.Transport
	listener *quic.Listener
	done     chan struct{}
	// clientTLSFunc returns the TLS configuration for a new connection to another
	// VM, with the current keys.
	clientTLSFunc func() *tls.Config

	// ctx ends when the transport closes; background counts the goroutines that
	// then stop: dials, pacers and maintainConns. senders counts those that send datagrams, which stop
	// once their connections are closed.
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	senders    sync.WaitGroup

	mu     sync.Mutex
	closed bool
	// outgoing holds the connections that this VM opened, by address.
	outgoing map[string]*outgoingConn
	// incoming holds the connections that other VMs opened, with their names.
	incoming map[*quic.Conn]string
	// pacers holds the pacer of each other region, by region.
	pacers map[string]*pacer
}

// Listen opens a transport at IP:port. The caller must call Serve, which accepts
// connections and closes the transport at its end.
func Listen(address string, keyring *keys.Keyring, o Options) (*Transport, error) {
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "inner address")
	}
	c, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, errors.Wrap(err, "inner address")
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	t := &Transport{options: o, counters: newCounters(), clientTLSFunc: keyring.ClientConfig, udp: &quic.Transport{Conn: c, StatelessResetKey: (*quic.StatelessResetKey)(o.ResetKey)}, outgoing: map[string]*outgoingConn{}, incoming: map[*quic.Conn]string{}, pacers: map[string]*pacer{}, done: make(chan struct{})}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.listener, err = t.udp.Listen(keyring.ServerConfig(), t.quicConfig())
	if err != nil {
		t.cancel()
		_ = c.Close()
		return nil, errors.Wrap(err, "inner address")
	}
	return t, nil
}

func (t *Transport) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           dialTimeout.Duration(),
		MaxIdleTimeout:                 t.options.IdleTimeout.Duration(),
		MaxIncomingStreams:             maxStreams,
		InitialStreamReceiveWindow:     streamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		MaxConnectionReceiveWindow:     connectionWindow,
		EnableDatagrams:                true,
		// Statements and answers are small, so larger packets would not save the
		// bytes that probing for them costs.
		DisablePathMTUDiscovery: true,
	}
}

// Address returns the IP:port that the transport listens on.
func (t *Transport) Address() string { return t.udp.Conn.LocalAddr().String() }

// Done returns a channel that is closed once every accepted stream has been served,
// every connection is closed and the address is free.
func (t *Transport) Done() <-chan struct{} { return t.done }

// Serve accepts connections until the context ends, then closes the transport.
func (t *Transport) Serve(ctx context.Context, h Handlers) {
	defer close(t.done)
	var running sync.WaitGroup
	t.background.Add(1)
	go func() {
		defer t.background.Done()
		t.maintainConns(t.ctx)
	}()
	for {
		c, err := t.listener.Accept(ctx)
		if err != nil {
			break
		}
		running.Add(1)
		go func() {
			defer running.Done()
			t.serveConn(ctx, c, h)
		}()
	}
	t.closeAllOutgoing()
	running.Wait()
	_ = t.listener.Close()
	_ = t.udp.Close()
	_ = t.udp.Conn.Close()
}

// serveConn serves one accepted connection until it or the context ends.
func (t *Transport) serveConn(ctx context.Context, c *quic.Conn, h Handlers) {
	certificate := c.ConnectionState().TLS.PeerCertificates[0]
	if err := certificate.VerifyHostname(keys.ServerName); err != nil {
		_ = c.CloseWithError(refusedCode, "the certificate is not that of a VM")
		return
	}
	name := certificate.Subject.CommonName
	t.addIncoming(c, name)
	t.counters.accepted.Inc()
	defer t.removeIncoming(c)
	var running sync.WaitGroup
	defer running.Wait()
	if err := sendGreeting(c); err != nil {
		_ = c.CloseWithError(shutdownCode, "no greeting")
		return
	}
	if h.DatagramFunc != nil {
		running.Add(1)
		go func() {
			defer running.Done()
			receiveDatagrams(c, name, h.DatagramFunc)
		}()
	}
	for {
		s, err := c.AcceptStream(ctx)
		if err != nil {
			_ = c.CloseWithError(shutdownCode, "shutdown")
			return
		}
		running.Add(1)
		go func() {
			defer running.Done()
			x := t.incomingStream(s)
			defer x.Close()
			h.StreamFunc(c.Context(), name, x)
		}()
	}
}

// sendGreeting opens and closes a stream to signal to the dialing VM that its
// certificate was accepted. In TLS 1.3 the client's handshake ends before the server has
// checked its certificate, so without the greeting the client would send requests to
// a VM that refuses it.
func sendGreeting(c *quic.Conn) error {
	s, err := c.OpenUniStream()
	if err != nil {
		return err
	}
	return s.Close()
}

// Open opens a stream to the VM at an address, or reuses one that was released.
// Frames sent on it are paced by the label. An error is an *UnreachableError and means
// that nothing was sent.
func (t *Transport) Open(ctx context.Context, address string, l Label) (inner.Exchange, error) {
	c, err := t.connect(ctx, address)
	if err != nil {
		return inner.Exchange{}, &UnreachableError{Address: address, Cause: err}
	}
	o, err := t.acquireStream(c)
	if err != nil {
		t.releaseConn(c)
		return inner.Exchange{}, &UnreachableError{Address: address, Cause: err}
	}
	return t.outgoingExchange(o, l), nil
}
