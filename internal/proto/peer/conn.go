package peer

import (
	"context"
	"maps"
	"net"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// redialPause is the time in milliseconds after a failed dial during which further
// attempts return the same error without dialing.
const redialPause = 200 * clock.Millis(1)

var (
	errClosed  = errors.New("the transport is closed")
	errOpening = errors.New("the connection is not open yet")
)

// outgoingConn is the connection to one VM, which is being dialed, open or failed. The
// fields quicConn, err and retryAt are set before ready is closed.
type outgoingConn struct {
	ready    chan struct{}
	quicConn *quic.Conn
	err      error
	// retryAt is the time from which the VM may be dialed again after a failed dial.
	retryAt clock.Millis

	// userCount is the number of current users of the connection, and lastUsed the time
	// when a user last released it. Both are guarded by the transport's lock.
	userCount int
	lastUsed  clock.Millis
	// idleStreams holds open streams whose last transaction has ended; it is
	// guarded by the transport's lock too.
	idleStreams []*outgoingStream
	// datagrams holds those that wait to be sent, and isSending is set while a goroutine sends them.
	// The transport's lock guards both.
	datagrams [][]byte
	isSending bool
}

// isUsable reports whether acquireConn may return the connection: it is being dialed,
// it is open, or its dial failed so recently that the error still applies.
func (c *outgoingConn) isUsable(now clock.Millis) bool {
	select {
	case <-c.ready:
	default:
		return true
	}
	if c.err != nil {
		return now < c.retryAt
	}
	return c.quicConn.Context().Err() == nil
}

// connect returns the connection to an address once it is open. Concurrent callers
// wait for the same dial. The caller must release the connection after use.
func (t *Transport) connect(ctx context.Context, address string) (*outgoingConn, error) {
	c, err := t.acquireConn(address)
	if err != nil {
		return nil, err
	}
	select {
	case <-c.ready:
		err = c.err
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		t.releaseConn(c)
		return nil, err
	}
	return c, nil
}

// acquireConn returns the connection to an address and counts one more user. When there
// is no usable connection it starts a dial, and removes all unusable connections, since
// sweepConns leaves out failed dials.
func (t *Transport) acquireConn(address string) (*outgoingConn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, errClosed
	}
	now := t.options.Clock.Now()
	c := t.outgoing[address]
	if c == nil || !c.isUsable(now) {
		maps.DeleteFunc(t.outgoing, func(_ string, c *outgoingConn) bool { return !c.isUsable(now) })
		c = &outgoingConn{ready: make(chan struct{})}
		t.outgoing[address] = c
		t.background.Add(1)
		go t.dial(address, c)
	}
	c.userCount++
	return c, nil
}

func (t *Transport) releaseConn(c *outgoingConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.userCount--
	c.lastUsed = t.options.Clock.Now()
}

// dial dials the VM and sets the result in c. It ends by closing c.ready and is counted
// in background, which closeAllOutgoing waits for.
func (t *Transport) dial(address string, c *outgoingConn) {
	defer t.background.Done()
	defer close(c.ready)
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout.Duration())
	defer cancel()
	c.quicConn, c.err = t.dialVM(ctx, address)
	t.counters.dialed(c.err)
	if c.err != nil {
		c.quicConn, c.retryAt = nil, t.options.Clock.Now()+redialPause
	}
}

// dialVM opens a connection and waits for the greeting; see sendGreeting.
func (t *Transport) dialVM(ctx context.Context, address string) (*quic.Conn, error) {
	tlsConfig := t.clientTLSFunc()
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	c, err := t.udp.Dial(ctx, a, tlsConfig, t.quicConfig())
	if err != nil {
		return nil, err
	}
	if _, err := c.AcceptUniStream(ctx); err != nil {
		_ = c.CloseWithError(shutdownCode, "no greeting")
		return nil, err
	}
	return c, nil
}

// closeAllOutgoing makes the transport refuse new connections, waits for its background
// goroutines, closes every connection that this VM opened, and waits for its senders.
func (t *Transport) closeAllOutgoing() {
	defer t.senders.Wait()
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	t.background.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.outgoing {
		if c.quicConn != nil {
			_ = c.quicConn.CloseWithError(shutdownCode, "shutdown")
		}
	}
	clear(t.outgoing)
}
