package database

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/choice"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/fair"
)

const (
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
// account, because the server is told for whom it is opened. It answers loads
// that exceed the server's slots: work waits here in fair order, not at the
// server, and what would wait too long is refused at once.
type pool struct {
	group *Group
	// server is the entry of the directory, which changes while statements run.
	server atomic.Pointer[Server]
	// listed is the moment at which the directory first had the server.
	listed clock.Millis

	mu   sync.Mutex
	idle []*Held
	open int
	line *fair.Queue
	gone bool
	// running is the statements that the server has not answered, granted the
	// connections that were given out and have not run any, and window the most of
	// both before new work waits.
	running int
	granted int
	window  float64
	// remote is the statements that other VMs run at the server for this one.
	remote int
	// cut is the moment at which the window was made smaller last.
	cut clock.Millis
	// refusals counts the answers in a row that the server was busy, and paused is the
	// moment until which no new work is sent for that.
	refusals int
	paused   clock.Millis
	// work is a moving mean of the times of answers in milliseconds, as of worked.
	work   float64
	worked clock.Millis
	// avoid is the moment until which the server is passed over.
	avoid clock.Millis
	// answered and failed are the moments of the last answer and of the last failure.
	answered clock.Millis
	failed   clock.Millis
	// crowded is the moment until which the server takes no more connections, crowds
	// the times in a row that it took none, and room the connections that it left then.
	crowded clock.Millis
	crowds  int
	room    int
}

// turn is a waiter's place in the line.
type turn struct {
	ready chan *Held
}

func newPool(g *Group, s Server) *pool {
	p := &pool{
		group: g, listed: g.options.Clock.Now(), line: fair.New(lineLimit),
		window: max(min(firstWindow, firstInFlight/float64(max(g.options.HoldersFunc(s), 1))), leastWindow),
	}
	p.server.Store(&s)
	return p
}

// info returns the server's entry of the directory.
func (p *pool) info() Server { return *p.server.Load() }

func (p *pool) share() int { return max(p.group.options.ShareFunc(p.info()), 1) }

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

// answers reports whether the server has answered this VM lately.
func (p *pool) answers(now clock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now-p.answered <= failover.LostAfter
}

// unreachableFresh is the age up to which a failure counts, in milliseconds.
const unreachableFresh = clock.Millis(1500)

// workMemory is the weight of the newest time in the moving mean.
const workMemory = 0.1

// end takes in the answer to a statement, or that there was none.
func (p *pool) end(took clock.Millis, busy bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.dispatch()
	p.running--
	if err != nil {
		p.failLocked()
		return
	}
	now := p.group.options.Clock.Now()
	p.answered = now
	if busy {
		p.shrink(now)
		return
	}
	p.refusals = 0
	p.window = min(p.window+windowGrowth/p.window, float64(p.share()))
	p.work += workMemory * (float64(took) - p.work)
	p.worked = now
}

// acquire returns a connection for an account within the wait in milliseconds. While
// the server takes no more connections, the wait goes on for one that is there.
func (p *pool) acquire(ctx context.Context, account string, weight int, wait clock.Millis) (*Held, error) {
	c := p.group.options.Clock
	end := c.Now() + wait
	for {
		h, err := p.acquireOnce(ctx, account, weight, end-c.Now())
		if !errors.Is(err, ErrCrowded) || end-c.Now() <= crowdedPause || ctx.Err() != nil {
			return h, err
		}
	}
}

func (p *pool) acquireOnce(ctx context.Context, account string, weight int, wait clock.Millis) (*Held, error) {
	item, err := p.enter(account, weight, wait)
	if err != nil {
		return nil, err
	}
	h, err := p.wait(ctx, item, wait)
	if err != nil || h.conn != nil {
		return h, err
	}
	return p.dial(ctx, h, account)
}

// enter takes a place in the line, unless the turn would come too late.
func (p *pool) enter(account string, weight int, wait clock.Millis) (*fair.Item, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone {
		return nil, ErrGone
	}
	if p.line.Len() > 0 && p.delay() > float64(wait) {
		return nil, ErrWait
	}
	item := &fair.Item{Account: account, Weight: weight, Cost: 1, Value: &turn{ready: make(chan *Held, 1)}}
	if !p.line.Push(item) {
		return nil, ErrWait
	}
	p.dispatch()
	return item, nil
}

// delay is the time in milliseconds in which the line should move on to a new
// place at its end. It needs the lock.
func (p *pool) delay() float64 {
	return p.work * float64(p.line.Len()) / max(min(p.window, float64(p.open)), 1)
}

// dispatch gives connections, or the right to open one (a Held without a
// connection), to those in line, as far as the window goes. It needs the lock.
func (p *pool) dispatch() {
	if p.group.options.Clock.Now() < p.paused {
		return
	}
	for p.line.Len() > 0 && p.running+p.granted < int(p.window) {
		mayOpen := p.open < p.share() && p.group.options.Clock.Now() >= p.crowded
		if len(p.idle) == 0 && !mayOpen {
			return
		}
		item := p.line.Pop()
		h := p.takeIdle(item.Account)
		switch {
		case h != nil:
		case mayOpen:
			p.open++
			h = &Held{pool: p}
		default:
			h = p.evict()
		}
		h.first = true
		p.granted++
		item.Value.(*turn).ready <- h
	}
}

func (p *pool) wait(ctx context.Context, item *fair.Item, wait clock.Millis) (*Held, error) {
	t := item.Value.(*turn)
	end := p.group.options.Clock.Now() + wait
	for {
		h, over := p.waitOnce(ctx, t, end)
		if h != nil || over {
			return p.settle(item, h)
		}
		p.mu.Lock()
		p.dispatch()
		p.mu.Unlock()
	}
}

// lookPause is the pause after which a waiter looks whether a pause of the pool, or
// of a crowded server, is over, in milliseconds.
const lookPause = clock.Millis(20)

// waitOnce waits for a turn for a while; over is set when the turn came, also with
// nothing, or the wait is over.
func (p *pool) waitOnce(ctx context.Context, t *turn, end clock.Millis) (h *Held, over bool) {
	left := end - p.group.options.Clock.Now()
	fired, stop := p.group.options.Clock.AfterFunc(min(max(left, 0), lookPause))
	defer stop()
	select {
	case h = <-t.ready:
		return h, true
	case <-fired:
		return nil, left <= lookPause
	case <-ctx.Done():
		return nil, true
	}
}

// settle ends a wait, with a turn that may have come in the last moment.
func (p *pool) settle(item *fair.Item, h *Held) (*Held, error) {
	if h != nil {
		return h, nil
	}
	p.mu.Lock()
	p.line.Remove(item)
	crowded, gone := p.open == 0, p.gone
	p.mu.Unlock()
	select {
	case h := <-item.Value.(*turn).ready:
		return p.given(h)
	default:
	}
	switch {
	case gone:
		return nil, ErrGone
	case crowded:
		return nil, ErrCrowded
	}
	return nil, ErrWait
}

func (p *pool) given(h *Held) (*Held, error) {
	if h == nil {
		return nil, ErrGone
	}
	return h, nil
}

// load returns what the choice of a server needs to know of it.
func (p *pool) load(now clock.Millis) (waiting int, work float64, avoided bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running + p.remote + p.line.Len(), choice.DecayLatency(p.work, now-p.worked), now < p.avoid || p.gone
}

// waiting returns the number of those in line.
func (p *pool) waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.line.Len()
}
