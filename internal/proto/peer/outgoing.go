package peer

import (
	"bufio"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/memory"
)

// maxIdleStreams is the number of idle streams kept per connection.
const maxIdleStreams = 16

// outgoingStream is a stream that this VM opened. Transactions reuse it one after
// another, because opening and closing a stream takes several packets.
type outgoingStream struct {
	conn   *outgoingConn
	stream *quic.Stream
	reader *bufio.Reader
	// silence is the longest time without a byte in milliseconds, or 0 for no bound. Only
	// the current user of the stream sets it.
	silence clock.Millis
}

// Read reads from the stream, with a deadline if silence is set.
func (o *outgoingStream) Read(b []byte) (int, error) {
	if o.silence > 0 {
		_ = o.stream.SetReadDeadline(time.Now().Add(o.silence.Duration()))
	}
	return o.stream.Read(b)
}

// acquireStream returns an idle stream of the connection or opens a new one.
func (t *Transport) acquireStream(c *outgoingConn) (*outgoingStream, error) {
	if o := t.takeIdleStream(c); o != nil {
		return o, nil
	}
	s, err := c.quicConn.OpenStream()
	if err != nil {
		return nil, err
	}
	o := &outgoingStream{conn: c, stream: s}
	o.reader = bufio.NewReaderSize(o, streamBufferSize)
	return o, nil
}

// takeIdleStream removes and returns an idle stream that the other VM still serves,
// or nil when there is none.
func (t *Transport) takeIdleStream(c *outgoingConn) *outgoingStream {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := len(c.idleStreams) - 1; n >= 0; n-- {
		o := c.idleStreams[n]
		c.idleStreams = c.idleStreams[:n]
		if o.stream.Context().Err() == nil {
			return o
		}
	}
	return nil
}

// putIdleStream keeps a stream for the next transaction. It reports false when the
// connection already has maxIdleStreams.
func (t *Transport) putIdleStream(o *outgoingStream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(o.conn.idleStreams) >= maxIdleStreams {
		return false
	}
	o.conn.idleStreams = append(o.conn.idleStreams, o)
	return true
}

// abandon resets both directions, so that the VM that serves the stream stops at
// once.
func (o *outgoingStream) abandon() {
	o.stream.CancelRead(abandonedCode)
	o.stream.CancelWrite(abandonedCode)
}

// outgoingExchange returns the dialing end of a stream. The first Close or Release
// ends the use of the stream; further calls have no effect.
func (t *Transport) outgoingExchange(o *outgoingStream, l Label) inner.Exchange {
	w := t.streamWriter(o.stream, l)
	var ended atomic.Bool
	var owner *memory.Owner
	end := func(keep bool) {
		if ended.Swap(true) {
			return
		}
		// The next user of the stream may set no receive timeout.
		_ = o.stream.SetReadDeadline(time.Time{})
		if !keep || !t.putIdleStream(o) {
			o.abandon()
		}
		t.releaseConn(o.conn)
	}
	return inner.Exchange{
		SendFunc:    func(f inner.Frame) error { return inner.Write(w, f) },
		ReceiveFunc: func() (inner.Frame, error) { return inner.ReadWithin(o.reader, owner) },
		MemoryFunc:  func(m *memory.Owner) { owner = m },
		CloseFunc:   func() { end(false) },
		ReleaseFunc: func() { end(true) },
		ReceiveTimeoutFunc: func(timeout clock.Millis) {
			_ = o.stream.SetReadDeadline(time.Now().Add(timeout.Duration()))
		},
		SilenceTimeoutFunc: func(timeout clock.Millis) { o.silence = timeout },
	}
}
