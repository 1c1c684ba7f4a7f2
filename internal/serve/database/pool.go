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
	"github.com/sycamoredoor/sycamoredoor/internal/core/window"
)

const (
	// avoidTime is how long reads avoid a server that did not answer.
	avoidTime = clock.Millis(300)
	// waitMargin is how much longer than expected a wait may become, so that few of those
	// who wait are refused in the end.
	waitMargin = 1.4
	// queueLimit is the number of requests of one account that may wait for a server.
	queueLimit = 64
)

// The errors of the pool. None of them is returned after a statement or command was sent
// to the server.
var (
	// ErrPoolTimeout means that no connection became free in time, or that the queue is
	// too long for one to be expected.
	ErrPoolTimeout = errors.New("no connection to the backend server came free in time")
	// ErrTooManyConnections means that the server accepts no more connections now, or
	// that this VM may open no more.
	ErrTooManyConnections = errors.New("the backend server takes no more connections now")
	// ErrUnreachable means that connecting to the server failed.
	ErrUnreachable = errors.New("the backend server cannot be reached")
	// ErrUnknownServer means that the directory no longer lists the server, or lists it
	// with another address or Born.
	ErrUnknownServer = errors.New("the backend server is not listed any more")
)

// pool holds the connections of this VM to one backend server. Each serves one
// account, because the server is told the account when the connection is opened. Load
// that exceeds the server's slots waits here in fair order instead of at the server,
// and requests that would wait too long are refused at once.
type pool struct {
	group *Group
	// server is the server's directory entry, which can change while statements run.
	server atomic.Pointer[Server]
	// listedAt is the time at which the directory first listed the server.
	listedAt clock.Millis

	mu sync.Mutex
	// idle is in order of usedAt, the oldest first; open counts all connections, and
	// opening those of them that are being opened.
	idle    []*PooledConn
	open    int
	opening int
	queue   *fair.Queue
	// work estimates the work of statements by priority.
	work   fair.Work
	closed bool
	// running counts statements that the server has not answered, granted the
	// connections that waiters were given and have not used yet. New work waits while
	// their sum is not below window.
	running      int
	granted      int
	window       window.Window
	windowMetric string
	// remoteRunning counts statements that other VMs run at the server for this VM.
	remoteRunning int
	// latency is a moving average of answer times in milliseconds, last updated at
	// latencyAt.
	latency   float64
	latencyAt clock.Millis
	// drainTime is a moving average of the time in milliseconds from one request that
	// leaves the queue to the next; it is 0 while the queue has been empty. drainedAt is
	// the time of the last one, or 0.
	drainTime float64
	drainedAt clock.Millis
	// hopelessAt is the time of the last search for waiting requests that are hopeless.
	hopelessAt clock.Millis
	// avoidUntil is the time until which reads avoid the server.
	avoidUntil clock.Millis
	// answeredAt and failedAt are the times of the last answer and the last failure.
	answeredAt clock.Millis
	failedAt   clock.Millis
	// connLimitUntil is the time until which no connection is opened, because the
	// server accepts no more. connLimit is the number of connections that the server had
	// accepted at the last such refusal; connLimitHits counts the refusals until it has
	// accepted more.
	connLimitUntil clock.Millis
	connLimitHits  int
	connLimit      int
	// slow bounds the statements to a server that has started or failed.
	slow slowStart
}

// waiter is a request in the queue. It receives a connection, or nil when the pool
// closes or the request is refused.
type waiter struct {
	ready chan *PooledConn
	// deadline is the time at which the wait ends.
	deadline clock.Millis
	// refusal is set before a nil connection is sent, unless the pool closes.
	refusal error
}

func newPool(g *Group, s Server) *pool {
	p := &pool{
		group: g, listedAt: g.options.Clock.Now(), queue: fair.New(queueLimit),
		windowMetric: windowMetric(s.ID),
	}
	p.server.Store(&s)
	p.setWindow(window.New(g.options.HolderCountFunc(s)))
	return p
}

// entry returns the server's directory entry.
func (p *pool) entry() Server { return *p.server.Load() }

// maxConns returns how many connections this VM may open; 0 means that statements must run
// on those of other VMs.
func (p *pool) maxConns() int { return p.group.options.MaxConnsFunc(p.entry()) }

// recordSuccess records that the server answered.
func (p *pool) recordSuccess() {
	p.mu.Lock()
	p.answeredAt = p.group.options.Clock.Now()
	p.setRamp(p.slow.ramp.WithLife(p.answeredAt), p.answeredAt)
	p.mu.Unlock()
}

// recordFailure records that the server did not answer.
func (p *pool) recordFailure() {
	p.mu.Lock()
	p.recordFailureLocked()
	p.mu.Unlock()
}

// recordFailureLocked records that the server did not answer. The caller holds p.mu.
func (p *pool) recordFailureLocked() {
	p.failedAt = p.group.options.Clock.Now()
	p.avoidUntil = p.failedAt + avoidTime
	p.setRamp(p.slow.ramp.WithFailure(p.failedAt), p.failedAt)
}

// unreachable reports whether the server has failed recently and not answered for
// LostAfter.
func (p *pool) unreachable(now clock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failedAt > p.answeredAt && now-p.failedAt < failureMaxAge && now-p.answeredAt > failover.LostAfter
}

// answeredRecently reports whether the server has answered this VM within LostAfter.
func (p *pool) answeredRecently(now clock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now-p.answeredAt <= failover.LostAfter
}

// failureMaxAge is the age up to which a failure counts, in milliseconds.
const failureMaxAge = clock.Millis(1500)

// latencyWeight is the weight of the newest value in the moving average.
const latencyWeight = 0.1

// startStatement counts a statement; granted is set for the first one after the grant
// of its connection.
func (p *pool) startStatement(granted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
	if granted {
		p.granted--
	}
}

// endStatement records the answer to a statement and its response time in
// milliseconds, or its error. busy is set if the server refused the statement as busy.
func (p *pool) endStatement(responseTime clock.Millis, priority int, busy bool, err error) {
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
		p.setRamp(p.slow.ramp.WithBusy(now), now)
		return
	}
	p.setRamp(p.slow.ramp.WithAnswer(float64(responseTime), p.window.Size(), now), now)
	p.setWindow(p.window.WithAnswer(float64(responseTime), p.windowLimits(), now))
	p.latency += latencyWeight * (float64(responseTime) - p.latency)
	p.latencyAt = now
	p.work = p.work.WithAnswer(priority, float64(responseTime))
}

// cancelStatement ends a statement of which nothing was sent. It does not change the estimates of the
// server.
func (p *pool) cancelStatement() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	p.dispatch()
}

// acquire returns a connection for a requester, after at most wait milliseconds, or an
// error of the pool. Opening a connection may take dialTimeout in addition. While the
// server accepts no more connections, the request waits for one that is open.
func (p *pool) acquire(ctx context.Context, r Requester, wait clock.Millis) (*PooledConn, error) {
	c := p.group.options.Clock
	deadline := c.Now() + wait
	for {
		pc, err := p.acquireOnce(ctx, r, deadline-c.Now())
		if !errors.Is(err, ErrTooManyConnections) || deadline-c.Now() <= connLimitPause || ctx.Err() != nil {
			return pc, err
		}
	}
}

func (p *pool) acquireOnce(ctx context.Context, r Requester, wait clock.Millis) (*PooledConn, error) {
	if p.maxConns() == 0 {
		return nil, ErrUnreachable
	}
	if p.isBarredNow() {
		return nil, ErrServerEvacuated
	}
	c := p.group.options.Clock
	began := c.Now()
	item, err := p.enqueue(r, wait)
	if err != nil {
		return nil, err
	}
	pc, err := p.awaitConn(ctx, item, wait)
	if err != nil && p.isBarredNow() {
		return nil, ErrServerEvacuated
	}
	if err != nil {
		return nil, err
	}
	p.group.options.Counters.recordWait(r.Priority, c.Now()-began)
	pc.priority = r.Priority
	if pc.conn != nil {
		return pc, nil
	}
	return p.dial(ctx, pc, r.Account, dialForStatement)
}

// enqueue adds a request to the queue. It returns ErrPoolTimeout if the expected wait is too long or
// if queueLimit requests of the account that are at least as urgent are waiting, ErrUnknownServer if
// the pool is closed, or an error of refuseSlow.
func (p *pool) enqueue(r Requester, wait clock.Millis) (*fair.Item, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrUnknownServer
	}
	if err := p.refuseSlow(wait); err != nil {
		return nil, err
	}
	if p.waitsTooLong(r, wait) {
		return nil, ErrPoolTimeout
	}
	item := &fair.Item{
		Account: r.Account, Weight: r.Weight, Priority: r.Priority, Cost: p.work.Cost(r.Priority),
		Value: &waiter{ready: make(chan *PooledConn, 1), deadline: p.group.options.Clock.Now() + wait},
	}
	if !p.queue.Push(item) && !p.shedFor(item) {
		return nil, ErrPoolTimeout
	}
	p.dispatch()
	return item, nil
}

// shedFor refuses the least urgent waiting request of an account in favour of a more urgent one,
// which it adds. It reports false if there is none. The caller holds p.mu.
func (p *pool) shedFor(item *fair.Item) bool {
	least := p.queue.LeastUrgent(item.Account, item.Priority)
	if least == nil {
		return false
	}
	p.shed(least)
	p.group.options.Counters.shedRequests.Inc()
	return p.queue.Push(item)
}

// waitsTooLong reports whether a new request that may wait so many milliseconds is refused at once,
// because the expected wait is longer.
// The caller holds p.mu.
func (p *pool) waitsTooLong(r Requester, wait clock.Millis) bool {
	return p.queue.Len() > 0 && p.expectedWait(r)*waitMargin > float64(wait)
}

// expectedWait returns the expected time in milliseconds for a new request to pass the queue. The
// caller holds p.mu.
func (p *pool) expectedWait(r Requester) float64 {
	// The first request leaves the queue when a statement that runs ends.
	ahead := float64(p.queue.Ahead(r.Account, r.Priority) + 1)
	return ahead * p.grantInterval()
}

// grantInterval returns the expected time in milliseconds between two requests that leave the queue.
// The caller holds p.mu.
func (p *pool) grantInterval() float64 {
	return max(p.drainTime, p.latency/float64(max(min(p.window.Size(), p.open), 1)))
}

// recordDrain measures the time between two requests that leave the queue. The caller holds
// p.mu.
func (p *pool) recordDrain(now clock.Millis) {
	if p.drainedAt > 0 {
		elapsed := float64(now - p.drainedAt)
		if p.drainTime == 0 {
			p.drainTime = elapsed
		}
		p.drainTime += latencyWeight * (elapsed - p.drainTime)
	}
	p.drainedAt = now
	if p.queue.Len() == 0 {
		p.drainTime, p.drainedAt = 0, 0
	}
}

// dispatch grants connections, or the right to open one (a PooledConn without conn),
// to waiters as far as the window allows. The caller holds p.mu.
func (p *pool) dispatch() {
	if p.window.PausedAt(p.group.options.Clock.Now()) {
		return
	}
	for p.queue.Len() > 0 && p.running+p.granted < p.window.Size() && p.maySend() {
		canOpen := p.open < p.maxConns() && !p.connLimitHolds(p.group.options.Clock.Now())
		if len(p.idle) == 0 && !canOpen {
			return
		}
		item := p.queue.Pop()
		p.recordDrain(p.group.options.Clock.Now())
		pc := p.takeIdle(item.Account)
		switch {
		case pc != nil:
		case canOpen:
			pc = p.reserve()
		default:
			pc = p.evict()
		}
		pc.granted = true
		p.granted++
		p.reserveSend()
		item.Value.(*waiter).ready <- pc
	}
}

func (p *pool) awaitConn(ctx context.Context, item *fair.Item, wait clock.Millis) (*PooledConn, error) {
	w := item.Value.(*waiter)
	deadline := p.group.options.Clock.Now() + wait
	for {
		pc, done := p.awaitConnOnce(ctx, w, deadline)
		if pc != nil || done || p.isBarredNow() {
			return p.endWait(item, pc)
		}
		p.mu.Lock()
		p.dispatch()
		p.shedHopeless()
		p.mu.Unlock()
	}
}

// recheckPause is the interval at which a waiter checks whether the pause of the
// window or connLimitUntil has passed, in milliseconds.
const recheckPause = clock.Millis(20)

// awaitConnOnce waits for a grant for at most recheckPause; done is set if the grant
// came, even a nil one, or the wait has ended.
func (p *pool) awaitConnOnce(ctx context.Context, w *waiter, deadline clock.Millis) (pc *PooledConn, done bool) {
	remaining := deadline - p.group.options.Clock.Now()
	fired, stop := p.group.options.Clock.AfterFunc(min(max(remaining, 0), recheckPause))
	defer stop()
	select {
	case pc = <-w.ready:
		return pc, true
	case <-fired:
		return nil, remaining <= recheckPause
	case <-ctx.Done():
		return nil, true
	}
}

// endWait ends a wait. It removes the request from the queue, but returns a connection
// that was granted just before.
func (p *pool) endWait(item *fair.Item, pc *PooledConn) (*PooledConn, error) {
	if pc != nil {
		return pc, nil
	}
	p.mu.Lock()
	p.queue.Remove(item)
	noConns, closed, refusal := p.open == 0, p.closed, item.Value.(*waiter).refusal
	p.mu.Unlock()
	select {
	case pc := <-item.Value.(*waiter).ready:
		return p.grantResult(pc, refusal)
	default:
	}
	switch {
	case closed:
		return nil, ErrUnknownServer
	case refusal != nil:
		return nil, refusal
	case noConns:
		return nil, ErrTooManyConnections
	}
	return nil, ErrPoolTimeout
}

// grantResult returns a granted connection. For a nil grant it returns the refusal or, for that of
// a closed pool, ErrUnknownServer.
func (p *pool) grantResult(pc *PooledConn, refusal error) (*PooledConn, error) {
	switch {
	case pc != nil:
		return pc, nil
	case refusal != nil:
		return nil, refusal
	}
	return nil, ErrUnknownServer
}

// load returns the values by which a server is chosen: the statements in flight or
// queued, the latency in milliseconds, and whether reads avoid the server.
func (p *pool) load(now clock.Millis) (inFlight int, latency float64, avoided bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running + p.remoteRunning + p.queue.Len(), choice.DecayLatency(p.latency, now-p.latencyAt), now < p.avoidUntil || p.closed || p.isSlowed()
}

// queueLength returns the number of waiting requests.
func (p *pool) queueLength() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Len()
}
