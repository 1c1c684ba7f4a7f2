package peer

import (
	"context"

	"github.com/quic-go/quic-go"
)

// MaxDatagram is the largest datagram in bytes; it fits the smallest packet
// that QUIC allows.
const MaxDatagram = 1100

// Datagram sends a small message that may be lost; its body must not be empty.
// An error is an
// UnreachableError and means that it was not sent.
func (t *Transport) Datagram(ctx context.Context, address string, body []byte) error {
	l, err := t.connect(ctx, address)
	if err == nil {
		err = l.conn.SendDatagram(body)
		t.release(l)
	}
	if err != nil {
		return &UnreachableError{Address: address, Cause: err}
	}
	return nil
}

// receiveDatagrams hands datagrams on until the connection ends. An empty one
// only keeps the connection open.
func receiveDatagrams(c *quic.Conn, name string, take func(name string, body []byte)) {
	for {
		body, err := c.ReceiveDatagram(c.Context())
		if err != nil {
			return
		}
		if len(body) > 0 {
			take(name, body)
		}
	}
}

// TryDatagram sends as Datagram does, but does not wait for a connection: while
// one is being opened, the datagram is lost.
func (t *Transport) TryDatagram(_ context.Context, address string, body []byte) error {
	l, err := t.link(address)
	if err != nil {
		return &UnreachableError{Address: address, Cause: err}
	}
	defer t.release(l)
	if !l.open() {
		return &UnreachableError{Address: address, Cause: errOpening}
	}
	if err := l.conn.SendDatagram(body); err != nil {
		return &UnreachableError{Address: address, Cause: err}
	}
	return nil
}
