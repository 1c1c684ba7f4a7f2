package peer

import (
	"bufio"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// maxIdleStreams is the number of idle streams kept per connection.
const maxIdleStreams = 16

// outgoingStream is a stream that this VM opened. Transactions reuse it one after
// another, because opening and closing a stream takes several packets.
type outgoingStream struct {
	link   *link
	stream *quic.Stream
	reader *bufio.Reader
}

// acquireStream returns an idle stream of the link or opens a new one.
func (t *Transport) acquireStream(l *link) (*outgoingStream, error) {
	if o := t.takeIdleStream(l); o != nil {
		return o, nil
	}
	s, err := l.conn.OpenStream()
	if err != nil {
		return nil, err
	}
	return &outgoingStream{link: l, stream: s, reader: bufio.NewReaderSize(s, streamBuffer)}, nil
}

// takeIdleStream removes and returns an idle stream that the other VM still serves,
// or nil when there is none.
func (t *Transport) takeIdleStream(l *link) *outgoingStream {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := len(l.idleStreams) - 1; n >= 0; n-- {
		o := l.idleStreams[n]
		l.idleStreams = l.idleStreams[:n]
		if o.stream.Context().Err() == nil {
			return o
		}
	}
	return nil
}

// putIdleStream keeps a stream for the next transaction. It reports false when the
// link already has maxIdleStreams.
func (t *Transport) putIdleStream(o *outgoingStream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(o.link.idleStreams) >= maxIdleStreams {
		return false
	}
	o.link.idleStreams = append(o.link.idleStreams, o)
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
	end := func(keep bool) {
		if ended.Swap(true) {
			return
		}
		if !keep || !t.putIdleStream(o) {
			o.abandon()
		}
		t.releaseLink(o.link)
	}
	return inner.Exchange{
		SendFunc:    func(f inner.Frame) error { return inner.Write(w, f) },
		ReceiveFunc: func() (inner.Frame, error) { return inner.Read(o.reader) },
		CloseFunc:   func() { end(false) },
		ReleaseFunc: func() { end(true) },
		ReceiveTimeoutFunc: func(timeout clock.Millis) {
			_ = o.stream.SetReadDeadline(time.Now().Add(timeout.Duration()))
		},
	}
}
