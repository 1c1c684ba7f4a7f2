package peer

import (
	"bufio"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// maxIdleStreams is the number of idle streams that are kept on one connection.
const maxIdleStreams = 16

// outgoingStream is a stream that this VM opened. Transactions use it one after the
// other, since to open and end a stream takes several packets.
type outgoingStream struct {
	link   *link
	stream *quic.Stream
	reader *bufio.Reader
}

// acquireStream takes an idle stream of a link or opens one.
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

// takeIdleStream returns nil when there is none that the other VM still serves.
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

// putIdleStream keeps a stream for the next transaction and reports false when there
// are enough.
func (t *Transport) putIdleStream(o *outgoingStream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(o.link.idleStreams) >= maxIdleStreams {
		return false
	}
	o.link.idleStreams = append(o.link.idleStreams, o)
	return true
}

// abandon ends both directions, so that the VM that serves the stream stops at once.
func (o *outgoingStream) abandon() {
	o.stream.CancelRead(abandonedCode)
	o.stream.CancelWrite(abandonedCode)
}

// outgoingExchange returns the side that asks. The first Close or Release ends its use of
// the stream.
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
