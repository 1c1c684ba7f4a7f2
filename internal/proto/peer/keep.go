package peer

import (
	"context"

	"github.com/quic-go/quic-go"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

const (
	// keepDivisor gives the pause between two looks at the links.
	keepDivisor = 5
	// unusedDivisor gives the time after which an unused link is closed. It is
	// well before the other VM gives the connection up, so that no request is
	// sent on one that the other VM has forgotten.
	unusedDivisor = 2
)

// keepLinks keeps connections open while streams are open on them and closes
// unused ones, so that VMs that do not speak with each other cost nothing.
func (t *Transport) keepLinks(ctx context.Context) {
	for t.options.Clock.Sleep(ctx, max(t.options.Idle/keepDivisor, 1)) == nil {
		used, unused := t.sortLinks(t.options.Clock.Now())
		for _, c := range used {
			_ = c.SendDatagram(nil)
		}
		for _, c := range unused {
			_ = c.CloseWithError(shutdownCode, "unused")
		}
	}
}

// sortLinks returns the connections in use and takes out the unused ones.
func (t *Transport) sortLinks(now clock.Millis) (used, unused []*quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, l := range t.links {
		switch {
		case !l.open():
		case l.users > 0:
			used = append(used, l.conn)
		case now-l.used >= t.options.Idle/unusedDivisor:
			unused = append(unused, l.conn)
			delete(t.links, address)
		}
	}
	return used, unused
}

// open reports whether the link has a connection.
func (l *link) open() bool {
	select {
	case <-l.ready:
		return l.conn != nil
	default:
		return false
	}
}

// Drop closes the connection that this VM opened to an address, because the VM
// there is suspected to be gone. Its streams end at once.
func (t *Transport) Drop(address string) {
	t.mu.Lock()
	l := t.links[address]
	if l != nil && l.open() {
		delete(t.links, address)
	} else {
		l = nil
	}
	t.mu.Unlock()
	if l != nil {
		_ = l.conn.CloseWithError(droppedCode, "suspected")
	}
}

// DropPeer closes the connections that the VM of the given name opened to this
// one, because it is suspected to be gone. Their streams end at once.
func (t *Transport) DropPeer(name string) {
	var list []*quic.Conn
	t.mu.Lock()
	for c, n := range t.accepts {
		if n == name {
			list = append(list, c)
		}
	}
	t.mu.Unlock()
	for _, c := range list {
		_ = c.CloseWithError(droppedCode, "suspected")
	}
}

func (t *Transport) noteAccept(c *quic.Conn, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepts[c] = name
}

func (t *Transport) forgetAccept(c *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.accepts, c)
}
