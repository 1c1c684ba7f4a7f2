package peer

import (
	"context"
	"maps"
	"net"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// redialPause is how long a failed attempt to reach a VM answers for the next
// ones, in milliseconds.
const redialPause = 200 * clock.Millis(1)

var (
	errClosed  = errors.New("the transport is closed")
	errOpening = errors.New("the connection is not open yet")
)

// link is the connection to one VM, being opened, open or failed. The fields
// below ready are set before it is closed.
type link struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
	// retryAt is when a failed link may be dialed again.
	retryAt clock.Millis

	// userCount and used are guarded by the transport's lock: how many use the link
	// now, and when it was used last.
	userCount int
	lastUsed  clock.Millis
	// idleStreams holds streams whose last transaction has ended; it is guarded by the
	// transport's lock too.
	idleStreams []*outgoingStream
}

// usable reports whether callers may share the link at a moment.
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

// connect returns the open connection to an address or opens one; callers that
// come meanwhile wait for the same. The link must be released after use.
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

// acquireLink returns the link to an address with one more user.
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

// dial fills a link; its end is reported by the link's ready channel and by the
// group that closeLinks waits for.
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

// dialVM connects and waits for the greeting.
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

// closeLinks closes every connection that this VM opened.
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
