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
	// avoidTime is how long a server that did not answer is passed over.
	avoidTime = clock.Millis(300)
	// queueLimit is the number of requests of one account that wait for a server.
	queueLimit = 64
)

// Errors of the pool; nothing was sent to the server in any of these cases.
var (
	// ErrPoolTimeout means that no connection came free in time.
	ErrPoolTimeout = errors.New("no connection to the backend server came free in time")
	// ErrTooManyConnections means that the server takes no more connections now.
	ErrTooManyConnections = errors.New("the backend server takes no more connections now")
	// ErrUnreachable means that the server could not be connected to.
	ErrUnreachable = errors.New("the backend server cannot be reached")
	// ErrUnlisted means that the directory no longer lists the server.
	ErrUnlisted = errors.New("the backend server is not listed any more")
)

// pool is the connections of this VM to one backend server. Each belongs to one
// account, because the server is told for whom it is opened. It answers loads
// that exceed the server's slots: work waits here in fair order, not at the
// server, and what would wait too long is refused at once.
type pool struct {
	group *Group
	// server is the entry of the directory, which changes while statements run.
	server atomic.Pointer[Server]
	// listedAt is the moment at which the directory first had the server.
	listedAt clock.Millis

	mu     sync.Mutex
	idle   []*PooledConn
	open   int
	queue  *fair.Queue
	closed bool
	// running is the statements that the server has not answered, granted the
	// connections that were given out and have not run any, and window the most of
	// both before new work waits.
	running int
	granted int
	window  float64
	// remoteRunning is the statements that other VMs run at the server for this one.
	remoteRunning int
	// windowCutAt is the moment at which the window was made smaller last.
	windowCutAt clock.Millis
	// busyStreak counts the answers in a row that the server was busy, and paused is the
	// moment until which no new work is sent for that.
	busyStreak  int
	pausedUntil clock.Millis
	// latency is a moving mean of the times of answers in milliseconds, as of worked.
	latency   float64
	latencyAt clock.Millis
	// avoidUntil is the moment until which the server is passed over.
	avoidUntil clock.Millis
	// answeredAt and failed are the moments of the last answer and of the last failure.
	answeredAt clock.Millis
	failedAt   clock.Millis
	// connLimitUntil is the moment until which the server takes no more connections, crowds
	// the times in a row that it took none, and room the connections that it left then.
	connLimitUntil clock.Millis
	connLimitHits  int
	connLimit      int
}

// waiter is a waiter's place in the line.
type waiter struct {
	ready chan *PooledConn
}

func newPool(g *Group, s Server) *pool {
	p := &pool{
		group: g, listedAt: g.options.Clock.Now(), queue: fair.New(queueLimit),
		window: max(min(initialWindow, initialInFlight/float64(max(g.options.HolderCountFunc(s), 1))), minWindow),
	}
	p.server.Store(&s)
	return p
}

// entry returns the server's entry of the directory.
func (p *pool) entry() Server { return *p.server.Load() }

func (p *pool) maxConns() int { return max(p.group.options.MaxConnsFunc(p.entry()), 1) }

// recordSuccess notes that the server answered.
func (p *pool) recordSuccess() {
	p.mu.Lock()
	p.answeredAt = p.group.options.Clock.Now()
	p.mu.Unlock()
}

// recordFailure notes that the server did not answer.
func (p *pool) recordFailure() {
	p.mu.Lock()
	p.recordFailureLocked()
	p.mu.Unlock()
}

// recordFailureLocked notes that the server did not answer. It needs the lock.
func (p *pool) recordFailureLocked() {
	p.failedAt = p.group.options.Clock.Now()
	p.avoidUntil = p.failedAt + avoidTime
}

// unreachable reports whether the server has failed lately and not answered for long.
func (p *pool) unreachable(now clock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failedAt > p.answeredAt && now-p.failedAt < failureMaxAge && now-p.answeredAt > failover.LostAfter
}

// answeredRecently reports whether the server has answered this VM lately.
func (p *pool) answeredRecently(now clock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now-p.answeredAt <= failover.LostAfter
}

// failureMaxAge is the age up to which a failure counts, in milliseconds.
const failureMaxAge = clock.Millis(1500)

// latencyWeight is the weight of the newest time in the moving mean.
const latencyWeight = 0.1

// endStatement takes in the answer to a statement, or that there was none.
func (p *pool) endStatement(took clock.Millis, busy bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.dispatch()
	p.running--
	if err != nil {
		p.recordFailureLocked()
		return
	}
	now := p.group.options.Clock.Now()
	p.answeredAt = now
	if busy {
		p.shrinkWindow(now)
		return
	}
	p.busyStreak = 0
	p.window = min(p.window+windowGrowth/p.window, float64(p.maxConns()))
	p.latency += latencyWeight * (float64(took) - p.latency)
	p.latencyAt = now
}

// acquire returns a connection for an account within the wait in milliseconds. While
// the server takes no more connections, the wait goes on for one that is there.
func (p *pool) acquire(ctx context.Context, account string, weight int, wait clock.Millis) (*PooledConn, error) {
	c := p.group.options.Clock
	end := c.Now() + wait
	for {
		h, err := p.acquireOnce(ctx, account, weight, end-c.Now())
		if !errors.Is(err, ErrTooManyConnections) || end-c.Now() <= connLimitPause || ctx.Err() != nil {
			return h, err
		}
	}
}

func (p *pool) acquireOnce(ctx context.Context, account string, weight int, wait clock.Millis) (*PooledConn, error) {
	item, err := p.enqueue(account, weight, wait)
	if err != nil {
		return nil, err
	}
	h, err := p.awaitConn(ctx, item, wait)
	if err != nil || h.conn != nil {
		return h, err
	}
	return p.dial(ctx, h, account)
}

// enqueue takes a place in the line, unless the turn would come too late.
func (p *pool) enqueue(account string, weight int, wait clock.Millis) (*fair.Item, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrUnlisted
	}
	if p.queue.Len() > 0 && p.expectedWait() > float64(wait) {
		return nil, ErrPoolTimeout
	}
	item := &fair.Item{Account: account, Weight: weight, Cost: 1, Value: &waiter{ready: make(chan *PooledConn, 1)}}
	if !p.queue.Push(item) {
		return nil, ErrPoolTimeout
	}
	p.dispatch()
	return item, nil
}

// expectedWait is the time in milliseconds in which the line should move on to a new
// place at its end. It needs the lock.
func (p *pool) expectedWait() float64 {
	return p.latency * float64(p.queue.Len()) / max(min(p.window, float64(p.open)), 1)
}

// dispatch gives connections, or the right to open one (a Held without a
// connection), to those in line, as far as the window goes. It needs the lock.
func (p *pool) dispatch() {
	if p.group.options.Clock.Now() < p.pausedUntil {
		return
	}
	for p.queue.Len() > 0 && p.running+p.granted < int(p.window) {
		mayOpen := p.open < p.maxConns() && p.group.options.Clock.Now() >= p.connLimitUntil
		if len(p.idle) == 0 && !mayOpen {
			return
		}
		item := p.queue.Pop()
		h := p.takeIdle(item.Account)
		switch {
		case h != nil:
		case mayOpen:
			p.open++
			h = &PooledConn{pool: p}
		default:
			h = p.evict()
		}
		h.granted = true
		p.granted++
		item.Value.(*waiter).ready <- h
	}
}

func (p *pool) awaitConn(ctx context.Context, item *fair.Item, wait clock.Millis) (*PooledConn, error) {
	t := item.Value.(*waiter)
	end := p.group.options.Clock.Now() + wait
	for {
		h, over := p.awaitConnOnce(ctx, t, end)
		if h != nil || over {
			return p.endWait(item, h)
		}
		p.mu.Lock()
		p.dispatch()
		p.mu.Unlock()
	}
}

// recheckPause is the pause after which a waiter looks whether a pause of the pool, or
// of a crowded server, is over, in milliseconds.
const recheckPause = clock.Millis(20)

// awaitConnOnce waits for a turn for a while; over is set when the turn came, also with
// nothing, or the wait is over.
func (p *pool) awaitConnOnce(ctx context.Context, t *waiter, end clock.Millis) (h *PooledConn, done bool) {
	left := end - p.group.options.Clock.Now()
	fired, stop := p.group.options.Clock.AfterFunc(min(max(left, 0), recheckPause))
	defer stop()
	select {
	case h = <-t.ready:
		return h, true
	case <-fired:
		return nil, left <= recheckPause
	case <-ctx.Done():
		return nil, true
	}
}

// endWait ends a wait, with a turn that may have come in the last moment.
func (p *pool) endWait(item *fair.Item, h *PooledConn) (*PooledConn, error) {
	if h != nil {
		return h, nil
	}
	p.mu.Lock()
	p.queue.Remove(item)
	crowded, gone := p.open == 0, p.closed
	p.mu.Unlock()
	select {
	case h := <-item.Value.(*waiter).ready:
		return p.grantResult(h)
	default:
	}
	switch {
	case gone:
		return nil, ErrUnlisted
	case crowded:
		return nil, ErrTooManyConnections
	}
	return nil, ErrPoolTimeout
}

func (p *pool) grantResult(h *PooledConn) (*PooledConn, error) {
	if h == nil {
		return nil, ErrUnlisted
	}
	return h, nil
}

// load returns what the choice of a server needs to know of it.
func (p *pool) load(now clock.Millis) (waiting int, latency float64, avoided bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running + p.remoteRunning + p.queue.Len(), choice.DecayLatency(p.latency, now-p.latencyAt), now < p.avoidUntil || p.closed
}

// queueLength returns the number of those in line.
func (p *pool) queueLength() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Len()
}
