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

// link is the connection to one VM, which is being dialed, open or failed. The
// fields conn, err and retryAt are set before ready is closed.
type link struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
	// retryAt is the time from which a failed link may be dialed again.
	retryAt clock.Millis

	// userCount is the number of current users of the link, and lastUsed the time
	// when a user last released it. Both are guarded by the transport's lock.
	userCount int
	lastUsed  clock.Millis
	// idleStreams holds open streams whose last transaction has ended; it is
	// guarded by the transport's lock too.
	idleStreams []*outgoingStream
}

// usable reports whether acquireLink may return the link: it is being dialed, it is
// open, or it failed so recently that its error still applies.
func (l *link) usable(now clock.Millis) bool {
	select {
	case <-l.ready:
	default:
		return true
	}
	if l.err != nil {
		return now < l.retryAt
	}
	return l.conn.Context().Err() == nil
}

// connect returns the link to an address once it is open. Concurrent callers wait
// for the same dial. The caller must release the link after use.
func (t *Transport) connect(ctx context.Context, address string) (*link, error) {
	l, err := t.acquireLink(address)
	if err != nil {
		return nil, err
	}
	select {
	case <-l.ready:
		err = l.err
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		t.releaseLink(l)
		return nil, err
	}
	return l, nil
}

// acquireLink returns the link to an address and counts one more user. It starts a
// dial when there is no usable link.
func (t *Transport) acquireLink(address string) (*link, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, errClosed
	}
	now := t.options.Clock.Now()
	l := t.links[address]
	if l == nil || !l.usable(now) {
		maps.DeleteFunc(t.links, func(_ string, l *link) bool { return !l.usable(now) })
		l = &link{ready: make(chan struct{})}
		t.links[address] = l
		t.background.Add(1)
		go t.dial(address, l)
	}
	l.userCount++
	return l, nil
}

func (t *Transport) releaseLink(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l.userCount--
	l.lastUsed = t.options.Clock.Now()
}

// dial dials the VM and sets the link's result. It ends by closing the link's ready
// channel and is counted in background, which closeLinks waits for.
func (t *Transport) dial(address string, l *link) {
	defer t.background.Done()
	defer close(l.ready)
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout.Duration())
	defer cancel()
	l.conn, l.err = t.dialVM(ctx, address)
	if l.err != nil {
		l.conn, l.retryAt = nil, t.options.Clock.Now()+redialPause
	}
}

// dialVM opens a connection and waits for the greeting; see sendGreeting.
func (t *Transport) dialVM(ctx context.Context, address string) (*quic.Conn, error) {
	client := t.clientTLSFunc()
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	c, err := t.udp.Dial(ctx, a, client, t.quicConfig())
	if err != nil {
		return nil, err
	}
	if _, err := c.AcceptUniStream(ctx); err != nil {
		_ = c.CloseWithError(shutdownCode, "no greeting")
		return nil, err
	}
	return c, nil
}

// closeLinks makes the transport refuse new connections, waits for its background
// goroutines and closes every connection that this VM opened.
func (t *Transport) closeLinks() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	t.background.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.links {
		if l.conn != nil {
			_ = l.conn.CloseWithError(shutdownCode, "shutdown")
		}
	}
	clear(t.links)
}
