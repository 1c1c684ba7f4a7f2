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

// pieceSize is the largest piece in bytes in which a message is sent to another region.
// Between the pieces of one client account, other accounts have their turn.
const pieceSize = 4096

var errQueueFull = errors.New("too much of the client account waits for the link between regions")

// pacer delays writes to one region so that they keep the order and the rate that
// pace.Pacer sets.
type pacer struct {
	clock clock.Clock
	// wake has a buffer of one, so that a signal to run is never lost.
	wake chan struct{}

	mu    sync.Mutex
	queue *pace.Pacer
}

// streamWriter returns the writer for a stream: the stream itself, or a pacedWriter
// when the label names another region and the link has a rate.
func (t *Transport) streamWriter(s *quic.Stream, l Label) io.Writer {
	if t.options.Link.Rate == 0 || l.Region == t.options.Region || l.Region == "" {
		return s
	}
	// A piece above the burst would wait forever.
	return &pacedWriter{stream: s, pacer: t.regionPacer(l.Region), label: l, pieceSize: min(pieceSize, int(t.options.Link.Burst))}
}

// regionPacer returns the pacer of a region; the first call for a region starts it.
func (t *Transport) regionPacer(region string) *pacer {
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

// run admits pieces at the rate of the link until the context ends.
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

// timer returns a channel that receives after wait and a function that stops it. The
// channel is nil, and so never receives, when wait is 0.
func (p *pacer) timer(wait clock.Millis) (<-chan struct{}, func()) {
	if wait == 0 {
		return nil, func() {}
	}
	return p.clock.AfterFunc(wait)
}

// admitReady admits the pieces that may enter the link now and returns the time until
// the next one, or 0 when none is queued.
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

// awaitAdmission queues a piece and returns nil once it may enter the link. It returns
// errQueueFull when the account's queue is full, and the context's cause when the
// context ends first.
func (p *pacer) awaitAdmission(ctx context.Context, piece *pace.Piece) error {
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
		p.removePiece(piece, admitted)
		return context.Cause(ctx)
	}
}

// wakeRun makes run check the queue again after a change.
func (p *pacer) wakeRun() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// removePiece removes a piece from the queue unless it has been admitted.
func (p *pacer) removePiece(piece *pace.Piece, admitted <-chan struct{}) {
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

// Write implements io.Writer. It waits for the pacer before each piece of at most
// pieceSize bytes.
func (w *pacedWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	sent := 0
	for sent < len(b) {
		chunk := b[sent:min(sent+w.pieceSize, len(b))]
		piece := &pace.Piece{Account: w.label.Account, Weight: w.label.Weight, Size: len(chunk), Control: w.label.Control}
		if err := w.pacer.awaitAdmission(w.stream.Context(), piece); err != nil {
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
