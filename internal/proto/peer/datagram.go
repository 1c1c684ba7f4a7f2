package peer

import (
	"context"

	"github.com/quic-go/quic-go"
)

// MaxDatagram is the largest datagram in bytes. It fits into a packet of 1200 bytes,
// which QUIC requires every path to carry.
const MaxDatagram = 1100

// SendDatagram sends a message that may be lost, of at most MaxDatagram bytes. The
// body must not be empty, because the receiver discards empty datagrams. An error is
// an *UnreachableError and means that nothing was sent.
func (t *Transport) SendDatagram(ctx context.Context, address string, body []byte) error {
	c, err := t.connect(ctx, address)
	if err == nil {
		err = c.quicConn.SendDatagram(body)
		t.releaseConn(c)
	}
	if err != nil {
		return &UnreachableError{Address: address, Cause: err}
	}
	return nil
}

// receiveDatagrams calls handle for each datagram until the connection ends. Empty
// datagrams only keep the connection open and are discarded.
func receiveDatagrams(c *quic.Conn, name string, handle func(name string, body []byte)) {
	for {
		body, err := c.ReceiveDatagram(c.Context())
		if err != nil {
			return
		}
		if len(body) > 0 {
			handle(name, body)
		}
	}
}

// TrySendDatagram sends a datagram like SendDatagram, but does not wait for a
// connection: while none is open, it starts a dial if needed and returns an
// *UnreachableError, and the datagram is lost. The context is unused.
func (t *Transport) TrySendDatagram(_ context.Context, address string, body []byte) error {
	c, err := t.acquireConn(address)
	if err != nil {
		return &UnreachableError{Address: address, Cause: err}
	}
	defer t.releaseConn(c)
	if !c.isOpen() {
		return &UnreachableError{Address: address, Cause: errOpening}
	}
	if err := c.quicConn.SendDatagram(body); err != nil {
		return &UnreachableError{Address: address, Cause: err}
	}
	return nil
}
