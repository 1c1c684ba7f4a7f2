package peer

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
)

// MaxDatagram is the largest datagram in bytes. It fits into a packet of 1200 bytes,
// which QUIC requires every path to carry.
const MaxDatagram = 1100

// maxQueuedDatagrams is the number of datagrams that wait on a connection for the ones before them, which
// a VM that lost power does not acknowledge.
const maxQueuedDatagrams = 32

var (
	errDatagramSize  = errors.Errorf("a datagram has more than %d bytes", MaxDatagram)
	errDatagramQueue = errors.New("too many datagrams wait to be sent")
)

// SendDatagram sends a message that may be lost, of at most MaxDatagram bytes. The
// body must not be empty, because the receiver discards empty datagrams, and must not be changed
// afterwards. It waits for a connection, but not for earlier datagrams. An error is
// an *UnreachableError and means that nothing was sent.
func (t *Transport) SendDatagram(ctx context.Context, address string, body []byte) error {
	c, err := t.connect(ctx, address)
	if err == nil {
		err = t.queueDatagram(c, body)
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
	if err := t.queueDatagram(c, body); err != nil {
		return &UnreachableError{Address: address, Cause: err}
	}
	return nil
}

// queueDatagram hands a datagram to the goroutine that sends those of an open connection, and starts that
// if there is none. The connection's own queue makes its callers wait while the other VM acknowledges nothing.
func (t *Transport) queueDatagram(c *outgoingConn, body []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.closed:
		return errClosed
	case len(body) > MaxDatagram:
		return errDatagramSize
	case len(c.datagrams) >= maxQueuedDatagrams:
		return errDatagramQueue
	}
	c.datagrams = append(c.datagrams, body)
	if !c.isSending {
		c.isSending = true
		t.senders.Add(1)
		go t.sendDatagrams(c)
	}
	return nil
}

// sendDatagrams sends the datagrams that wait on a connection until there is none. Those of a connection
// that has ended are lost. It is counted in senders.
func (t *Transport) sendDatagrams(c *outgoingConn) {
	defer t.senders.Done()
	for {
		body, ok := t.nextDatagram(c)
		if !ok {
			return
		}
		// A datagram may be lost, and the connection's end is seen by its next user.
		_ = c.quicConn.SendDatagram(body)
	}
}

// nextDatagram removes and returns the first datagram that waits on a connection. If there is none, it
// records that no goroutine sends them and returns false.
func (t *Transport) nextDatagram(c *outgoingConn) ([]byte, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(c.datagrams) == 0 {
		c.datagrams, c.isSending = nil, false
		return nil, false
	}
	body := c.datagrams[0]
	c.datagrams = c.datagrams[1:]
	return body, true
}
