package peer

import (
	"context"
	"io"
	"sync"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/pace"
)

// pieceSize is the most that one account sends to another region before the
// next account has its turn, in bytes.
const pieceSize = 4096

var errQueueFull = errors.New("too much of the client account waits for the link between regions")

// pacer lets writes to one region pass in the order and at the rate that
// pace.Pacer decides.
type pacer struct {
	clock clock.Clock
	wake  chan struct{}

	mu    sync.Mutex
	queue *pace.Pacer
}

// streamWriter returns the writer for a stream: the stream itself, or one that waits
// for the link to the region of the label.
func (t *Transport) streamWriter(s *quic.Stream, l Label) io.Writer {
	if t.options.Link.Rate == 0 || l.Region == t.options.Region || l.Region == "" {
		return s
	}
	return &pacedWriter{stream: s, pacer: t.pacer(l.Region), label: l, pieceSize: min(pieceSize, int(t.options.Link.Burst))}
}

// pacer returns the pacer of a region and starts it the first time.
func (t *Transport) pacer(region string) *pacer {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pacers[region]
	if p != nil {
		return p
	}
	p = &pacer{clock: t.options.Clock, wake: make(chan struct{}, 1), queue: pace.New(t.options.Link, t.options.Clock.Now())}
	t.pacers[region] = p
	if !t.closed {
		t.background.Add(1)
		go func() {
			defer t.background.Done()
			p.run(t.ctx)
		}()
	}
	return p
}

// run lets pieces pass as the link takes them until the context ends.
func (p *pacer) run(ctx context.Context) {
	for ctx.Err() == nil {
		fired, stop := p.timer(p.admitReady())
		select {
		case <-ctx.Done():
		case <-p.wake:
		case <-fired:
		}
		stop()
	}
}

// timer fires after a length; 0 never does.
func (p *pacer) timer(wait clock.Millis) (<-chan struct{}, func()) {
	if wait == 0 {
		return nil, func() {}
	}
	return p.clock.AfterFunc(wait)
}

// admitReady lets through what the link takes now and returns how long to wait, or 0
// when nothing waits.
func (p *pacer) admitReady() clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		piece, wait := p.queue.Next(p.clock.Now())
		if piece == nil {
			return wait
		}
		close(piece.Value.(chan struct{}))
	}
}

// wait returns once a piece may enter the link, or with the error of the end of
// its stream.
func (p *pacer) wait(ctx context.Context, piece *pace.Piece) error {
	admitted := make(chan struct{})
	piece.Value = admitted
	p.mu.Lock()
	ok := p.queue.Push(piece, p.clock.Now())
	p.mu.Unlock()
	if !ok {
		return errQueueFull
	}
	p.wakeRun()
	select {
	case <-admitted:
		return nil
	case <-ctx.Done():
		p.remove(piece, admitted)
		return context.Cause(ctx)
	}
}

// wakeRun makes run look again, since what waits has changed.
func (p *pacer) wakeRun() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// remove takes back a piece unless it has passed meanwhile.
func (p *pacer) remove(piece *pace.Piece, admitted <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-admitted:
	default:
		p.queue.Remove(piece)
		p.wakeRun()
	}
}

// pacedWriter writes to one stream through a pacer.
type pacedWriter struct {
	stream    *quic.Stream
	pacer     *pacer
	label     Label
	pieceSize int

	// mu keeps the pieces of one frame together.
	mu sync.Mutex
}

// Write implements io.Writer; it sends piece by piece as the link takes them.
func (w *pacedWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	sent := 0
	for sent < len(b) {
		chunk := b[sent:min(sent+w.pieceSize, len(b))]
		piece := &pace.Piece{Account: w.label.Account, Weight: w.label.Weight, Size: len(chunk), Control: w.label.Control}
		if err := w.pacer.wait(w.stream.Context(), piece); err != nil {
			return sent, err
		}
		n, err := w.stream.Write(chunk)
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}
