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

var errCrowded = errors.New("too much of the client account waits for the link between regions")

// pacer lets writes to one region pass in the order and at the rate that
// pace.Pacer decides.
type pacer struct {
	clock clock.Clock
	kick  chan struct{}

	mu    sync.Mutex
	paces *pace.Pacer
}

// paced returns the writer for a stream: the stream itself, or one that waits
// for the link to the region of the label.
func (t *Transport) paced(s *quic.Stream, l Label) io.Writer {
	if t.options.Link.Rate == 0 || l.Region == t.options.Region || l.Region == "" {
		return s
	}
	return &pacedWriter{stream: s, pacer: t.pacer(l.Region), label: l, size: min(pieceSize, int(t.options.Link.Burst))}
}

// pacer returns the pacer of a region and starts it the first time.
func (t *Transport) pacer(region string) *pacer {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pacers[region]
	if p != nil {
		return p
	}
	p = &pacer{clock: t.options.Clock, kick: make(chan struct{}, 1), paces: pace.New(t.options.Link, t.options.Clock.Now())}
	t.pacers[region] = p
	if !t.closed {
		t.parts.Add(1)
		go func() {
			defer t.parts.Done()
			p.run(t.ctx)
		}()
	}
	return p
}

// run lets pieces pass as the link takes them until the context ends.
func (p *pacer) run(ctx context.Context) {
	for ctx.Err() == nil {
		fired, stop := p.timer(p.pass())
		select {
		case <-ctx.Done():
		case <-p.kick:
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

// pass lets through what the link takes now and returns how long to wait, or 0
// when nothing waits.
func (p *pacer) pass() clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		e, wait := p.paces.Next(p.clock.Now())
		if e == nil {
			return wait
		}
		close(e.Value.(chan struct{}))
	}
}

// wait returns once a piece may enter the link, or with the error of the end of
// its stream.
func (p *pacer) wait(ctx context.Context, e *pace.Piece) error {
	passed := make(chan struct{})
	e.Value = passed
	p.mu.Lock()
	ok := p.paces.Push(e, p.clock.Now())
	p.mu.Unlock()
	if !ok {
		return errCrowded
	}
	p.look()
	select {
	case <-passed:
		return nil
	case <-ctx.Done():
		p.remove(e, passed)
		return context.Cause(ctx)
	}
}

// look makes run look again, since what waits has changed.
func (p *pacer) look() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// remove takes back a piece unless it has passed meanwhile.
func (p *pacer) remove(e *pace.Piece, passed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-passed:
	default:
		p.paces.Remove(e)
		p.look()
	}
}

// pacedWriter writes to one stream through a pacer.
type pacedWriter struct {
	stream *quic.Stream
	pacer  *pacer
	label  Label
	size   int

	// mu keeps the pieces of one frame together.
	mu sync.Mutex
}

// Write implements io.Writer; it sends piece by piece as the link takes them.
func (w *pacedWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	sent := 0
	for sent < len(b) {
		piece := b[sent:min(sent+w.size, len(b))]
		e := &pace.Piece{Account: w.label.Account, Weight: w.label.Weight, Size: len(piece), Control: w.label.Control}
		if err := w.pacer.wait(w.stream.Context(), e); err != nil {
			return sent, err
		}
		n, err := w.stream.Write(piece)
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}
