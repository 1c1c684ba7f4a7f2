package peer

import (
	"context"

	"github.com/quic-go/quic-go"
)

// MaxDatagram is the largest datagram in bytes; it fits the smallest packet
// that QUIC allows.
const MaxDatagram = 1100

// SendDatagram sends a small message that may be lost; its body must not be empty.
// An error is an
// UnreachableError and means that it was not sent.
func (t *Transport) SendDatagram(ctx context.Context, address string, body []byte) error {
	l, err := t.connect(ctx, address)
	if err == nil {
		err = l.conn.SendDatagram(body)
		t.releaseLink(l)
	}
	if err != nil {
		return &UnreachableError{Address: address, Cause: err}
	}
	return nil
}

// receiveDatagrams hands datagrams on until the connection ends. An empty one
// only keeps the connection open.
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

// TrySendDatagram sends as Datagram does, but does not wait for a connection: while
// one is being opened, the datagram is lost.
func (t *Transport) TrySendDatagram(_ context.Context, address string, body []byte) error {
	l, err := t.acquireLink(address)
	if err != nil {
		return &UnreachableError{Address: address, Cause: err}
	}
	defer t.releaseLink(l)
	if !l.isOpen() {
		return &UnreachableError{Address: address, Cause: errOpening}
	}
	if err := l.conn.SendDatagram(body); err != nil {
		return &UnreachableError{Address: address, Cause: err}
	}
	return nil
}
