package peer

import (
	"context"

	"github.com/quic-go/quic-go"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

const (
	// keepAliveDivisor divides the idle timeout into the interval at which
	// maintainLinks keeps used connections open and closes unused ones.
	keepAliveDivisor = 5
	// unusedDivisor divides the idle timeout into the time after which an unused
	// link is closed. That is well before the other VM's idle timeout, so that no
	// request is sent on a connection that the other VM has already closed.
	unusedDivisor = 2
)

// maintainLinks keeps connections with open streams alive and closes unused ones, so
// that VMs that do not communicate cost nothing. It runs until the context ends.
func (t *Transport) maintainLinks(ctx context.Context) {
	for t.options.Clock.Sleep(ctx, max(t.options.IdleTimeout/keepAliveDivisor, 1)) == nil {
		used, unused := t.sweepLinks(t.options.Clock.Now())
		for _, c := range used {
			_ = c.SendDatagram(nil)
		}
		for _, c := range unused {
			_ = c.CloseWithError(shutdownCode, "unused")
		}
	}
}

// sweepLinks returns the connections in use, and removes and returns the unused ones.
func (t *Transport) sweepLinks(now clock.Millis) (used, unused []*quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, l := range t.links {
		switch {
		case !l.isOpen():
		case l.userCount > 0:
			used = append(used, l.conn)
		case now-l.lastUsed >= t.options.IdleTimeout/unusedDivisor:
			unused = append(unused, l.conn)
			delete(t.links, address)
		}
	}
	return used, unused
}

// isOpen reports whether dialing has ended and succeeded.
func (l *link) isOpen() bool {
	select {
	case <-l.ready:
		return l.conn != nil
	default:
		return false
	}
}

// CloseOutgoing closes the connection that this VM opened to an address, because the
// VM there is suspected to have failed. Its streams end at once.
func (t *Transport) CloseOutgoing(address string) {
	t.mu.Lock()
	l := t.links[address]
	if l != nil && l.isOpen() {
		delete(t.links, address)
	} else {
		l = nil
	}
	t.mu.Unlock()
	if l != nil {
		_ = l.conn.CloseWithError(droppedCode, "suspected")
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
		_ = c.CloseWithError(droppedCode, "suspected")
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
