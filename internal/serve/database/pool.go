package database

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/choice"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/fair"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

const (
	// dialTimeout bounds the opening of a connection, in milliseconds.
	dialTimeout = clock.Millis(900)
	// crowdedPause is the pause after the server had no connection to give.
	crowdedPause = clock.Millis(40)
	// failedPause is how long a server that did not answer is passed over.
	failedPause = clock.Millis(300)
	// lineLimit is the number of requests of one account that wait for a server.
	lineLimit = 64
)

// Errors of the pool; nothing was sent to the server in any of these cases.
var (
	// ErrWait means that no connection came free in time.
	ErrWait = errors.New("no connection to the backend server came free in time")
	// ErrCrowded means that the server takes no more connections now.
	ErrCrowded = errors.New("the backend server takes no more connections now")
	// ErrUnreachable means that the server could not be connected to.
	ErrUnreachable = errors.New("the backend server cannot be reached")
	// ErrGone means that the directory no longer lists the server.
	ErrGone = errors.New("the backend server is not listed any more")
)

// pool is the connections of this VM to one backend server. Each belongs to one
// account, because the server is told for whom it is opened.
type pool struct {
	group  *Group
	server Server

	mu   sync.Mutex
	idle []*Held
	open int
	line *fair.Queue
	gone bool
	// running is the statements that the server has not answered, and work a moving
	// mean of their times in milliseconds.
	running int
	work    float64
	worked  clock.Millis
	// avoid is the moment until which the server is passed over.
	avoid clock.Millis
	// answered and failed are the moments of the last answer and of the last failure.
	answered clock.Millis
	failed   clock.Millis
	// crowded is the moment until which the server takes no more connections.
	crowded clock.Millis
}

// turn is a waiter's place in the line.
type turn struct {
	ready chan *Held
}

func newPool(g *Group, s Server) *pool {
	return &pool{group: g, server: s, line: fair.New(lineLimit)}
}

func (p *pool) begin() {
	p.mu.Lock()
	p.running++
	p.mu.Unlock()
}

// succeed notes that the server answered.
func (p *pool) succeed() {
	p.mu.Lock()
	p.answered = p.group.options.Clock.Now()
	p.mu.Unlock()
}

// fail notes that the server did not answer.
func (p *pool) fail() {
	p.mu.Lock()
	p.failLocked()
	p.mu.Unlock()
}

// failLocked notes that the server did not answer. It needs the lock.
func (p *pool) failLocked() {
	p.failed = p.group.options.Clock.Now()
	p.avoid = p.failed + failedPause
}

// unreachable reports whether the server has failed lately and not answered for long.
func (p *pool) unreachable(now clock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failed > p.answered && now-p.failed < unreachableFresh && now-p.answered > failover.LostAfter
}

// unreachableFresh is the age up to which a failure counts, in milliseconds.
const unreachableFresh = clock.Millis(1500)

// workMemory is the weight of the newest time in the moving mean.
const workMemory = 0.1

func (p *pool) end(took clock.Millis, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	if err != nil {
		p.failLocked()
		return
	}
	p.answered = p.group.options.Clock.Now()
	p.work += workMemory * (float64(took) - p.work)
	p.worked = p.group.options.Clock.Now()
}

// acquire returns a connection for an account within the wait in milliseconds.
func (p *pool) acquire(ctx context.Context, account string, weight int, wait clock.Millis) (*Held, error) {
	h, item, err := p.enter(account, weight)
	if h != nil && h.conn != nil || err != nil {
		return h, err
	}
	if item != nil {
		h, err = p.wait(ctx, item, wait)
		if err != nil || h.conn != nil {
			return h, err
		}
	}
	return p.dial(ctx, h, account)
}

// enter takes an idle connection, or the right to open one (a Held without a
// connection), or a place in the line.
func (p *pool) enter(account string, weight int) (*Held, *fair.Item, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone {
		return nil, nil, ErrGone
	}
	if h := p.takeIdle(account); h != nil {
		return h, nil, nil
	}
	now := p.group.options.Clock.Now()
	if p.open < p.group.share() && now >= p.crowded {
		p.open++
		return &Held{pool: p}, nil, nil
	}
	if h := p.evict(); h != nil {
		return h, nil, nil
	}
	if p.open == 0 {
		return nil, nil, ErrCrowded
	}
	item := &fair.Item{Account: account, Weight: weight, Cost: 1, Value: &turn{ready: make(chan *Held, 1)}}
	if !p.line.Push(item) {
		return nil, nil, ErrWait
	}
	return nil, item, nil
}

// takeIdle returns the idle connection of an account that was used last.
func (p *pool) takeIdle(account string) *Held {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if h := p.idle[i]; h.account == account {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return h
		}
	}
	return nil
}

// evict closes the idle connection that was used longest ago, whoever it was
// for, and returns the right to open another.
func (p *pool) evict() *Held {
	if len(p.idle) == 0 {
		return nil
	}
	h := p.idle[0]
	p.idle = p.idle[1:]
	h.conn.CloseFunc()
	return &Held{pool: p}
}

func (p *pool) wait(ctx context.Context, item *fair.Item, wait clock.Millis) (*Held, error) {
	t := item.Value.(*turn)
	fired, stop := p.group.options.Clock.AfterFunc(wait)
	defer stop()
	select {
	case h := <-t.ready:
		return p.given(h)
	case <-fired:
	case <-ctx.Done():
	}
	p.mu.Lock()
	p.line.Remove(item)
	p.mu.Unlock()
	select {
	case h := <-t.ready:
		return p.given(h)
	default:
		return nil, ErrWait
	}
}

func (p *pool) given(h *Held) (*Held, error) {
	if h == nil {
		return nil, ErrGone
	}
	return h, nil
}

// dial opens the connection that a Held has the right to.
func (p *pool) dial(ctx context.Context, h *Held, account string) (*Held, error) {
	bounded, cancel := context.WithTimeout(ctx, dialTimeout.Duration())
	defer cancel()
	o := p.group.options
	began := o.Clock.Now()
	c, mark, err := o.Protocol.DialFunc(bounded, p.server, account)
	if err != nil {
		return nil, p.dialFailed(err)
	}
	o.Counters.connections.Inc()
	p.succeed()
	p.group.noteMark(p.server.ID, mark, began)
	*h = Held{
		pool: p, conn: c, account: account, values: map[string]string{},
		prepared: map[statement.Shape]string{}, used: o.Clock.Now(),
	}
	return h, nil
}

func (p *pool) dialFailed(err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.group.options.Clock.Now()
	var refusal *DialError
	switch {
	case errors.As(err, &refusal) && refusal.Code == statement.Crowded:
		p.crowded = now + crowdedPause
		err = ErrCrowded
	default:
		p.failLocked()
		p.group.options.Log.Debug("connection failed", "server", p.server.ID, "err", err)
		err = ErrUnreachable
	}
	p.freed()
	return err
}

// freed gives the right of a closed connection to the next in line. It needs the lock.
func (p *pool) freed() {
	if item := p.line.Pop(); item != nil && !p.gone {
		item.Value.(*turn).ready <- &Held{pool: p}
		return
	}
	p.open--
}

// release takes a connection back and gives it to the next in line.
func (p *pool) release(h *Held) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h.broken || p.gone || p.open > p.group.share() {
		h.conn.CloseFunc()
		p.freed()
		return
	}
	item := p.line.Pop()
	if item == nil {
		h.used = p.group.options.Clock.Now()
		p.idle = append(p.idle, h)
		return
	}
	if item.Account != h.account {
		h.conn.CloseFunc()
		h = &Held{pool: p}
	}
	item.Value.(*turn).ready <- h
}

// trim closes connections that were idle for longer than idleTime, but the one
// used last: what the VMs of a zone hold when they lose power stays open at the
// server for seconds, and is missing to those that start then.
func (p *pool) trim(now clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 1 && now-p.idle[0].used > idleTime {
		p.idle[0].conn.CloseFunc()
		p.idle = p.idle[1:]
		p.open--
	}
}

// idleTime is how long a connection is kept for the next statement, in milliseconds.
const idleTime = clock.Millis(250)

// close lets nobody take a connection any more; those in use are closed as they
// come back.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gone = true
	for _, h := range p.idle {
		h.conn.CloseFunc()
		p.open--
	}
	p.idle = nil
	for item := p.line.Pop(); item != nil; item = p.line.Pop() {
		item.Value.(*turn).ready <- nil
	}
}

// load returns what the choice of a server needs to know of it.
func (p *pool) load(now clock.Millis) (waiting int, work float64, avoided bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running + p.line.Len(), choice.Decayed(p.work, now-p.worked), now < p.avoid || p.gone
}
