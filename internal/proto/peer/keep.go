package peer

import (
	"context"

	"github.com/quic-go/quic-go"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

const (
	// keepAliveDivisor is the number of times per idle timeout that maintainConns
	// sends on the connections in use and closes unused ones.
	keepAliveDivisor = 5
	// unusedDivisor sets the time after which an unused connection is closed, the idle
	// timeout divided by unusedDivisor. That is well before the other VM's idle timeout,
	// so that no request is sent on a connection that the other VM has already closed.
	unusedDivisor = 2
)

// maintainConns keeps the outgoing connections in use alive and closes unused ones, so
// that VMs that do not communicate cost nothing. It runs until the context ends.
func (t *Transport) maintainConns(ctx context.Context) {
	for t.options.Clock.Sleep(ctx, max(t.options.IdleTimeout/keepAliveDivisor, 1)) == nil {
		used, unused := t.sweepConns(t.options.Clock.Now())
		for _, c := range used {
			_ = t.queueDatagram(c, nil) // the receiver discards it
		}
		for _, c := range unused {
			_ = c.CloseWithError(shutdownCode, "unused")
		}
	}
}

// sweepConns returns the outgoing connections in use, and removes and returns the unused
// ones. It leaves out those that are being dialed or whose dial failed; acquireConn
// replaces the latter.
func (t *Transport) sweepConns(now clock.Millis) (used []*outgoingConn, unused []*quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, c := range t.outgoing {
		switch {
		case !c.isOpen():
		case c.userCount > 0:
			used = append(used, c)
		case now-c.lastUsed >= t.options.IdleTimeout/unusedDivisor:
			unused = append(unused, c.quicConn)
			delete(t.outgoing, address)
		}
	}
	return used, unused
}

// isOpen reports whether the dial has succeeded. The connection may have been lost since.
func (c *outgoingConn) isOpen() bool {
	select {
	case <-c.ready:
		return c.quicConn != nil
	default:
		return false
	}
}

// CloseOutgoing closes the connection that this VM opened to an address, because the
// VM there is suspected to have failed. Its streams end at once. A connection that is
// still being dialed is not closed.
func (t *Transport) CloseOutgoing(address string) {
	t.mu.Lock()
	c := t.outgoing[address]
	if c != nil && c.isOpen() {
		delete(t.outgoing, address)
	} else {
		c = nil
	}
	t.mu.Unlock()
	if c != nil {
		_ = c.quicConn.CloseWithError(suspectedCode, "suspected")
	}
}

// CloseIncoming closes the connections that the VM with the given name opened to this
// one, because it is suspected to have failed. Their streams end at once.
func (t *Transport) CloseIncoming(name string) {
	var conns []*quic.Conn
	t.mu.Lock()
	for c, n := range t.incoming {
		if n == name {
			conns = append(conns, c)
		}
	}
	t.mu.Unlock()
	for _, c := range conns {
		_ = c.CloseWithError(suspectedCode, "suspected")
	}
}

func (t *Transport) addIncoming(c *quic.Conn, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.incoming[c] = name
}

func (t *Transport) removeIncoming(c *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.incoming, c)
}
