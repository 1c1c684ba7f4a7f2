package holder

import (
	"context"
	"sync"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/fair"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
)

// maxWaiting bounds the requests of one client account that wait for one
// backend server.
const maxWaiting = 2000

// admission hands out the server's slots, which limit the statements that run at
// once, and its connections. A running statement has both. An open transaction
// keeps its connection between statements, but releases its slot.
type admission struct {
	dialFunc func(context.Context) (*backend.Conn, error)
	clock    clock.Clock
	counters *counters

	mu    sync.Mutex
	queue *fair.Queue
	// slotWaiters are the open transactions that wait for a slot, in order of
	// arrival.
	slotWaiters []*waiter
	// freeSlots is the number of slots that nothing uses.
	freeSlots int
	// maxOpen is the limit of openCount.
	maxOpen int
	// openCount is the number of connections that are open or being dialed;
	// dialing is the number of the latter.
	openCount int
	dialing   int
	idle      []*backend.Conn
	closed    bool
	// ctx bounds the dials; close cancels it.
	ctx     context.Context
	cancel  context.CancelFunc
	dialers sync.WaitGroup
}

// waiter is a request that waits for a grant. An open transaction is granted a
// nil connection, since it has its own. The grant channel is closed without a
// value when the request is refused.
type waiter struct {
	grant chan *backend.Conn
	// resolved is set once the request was granted or refused.
	resolved bool
	// item is the request in the queue; it is nil for an open transaction.
	item *fair.Item
}

func newAdmission(slots, maxOpen int, k clock.Clock, c *counters, dialFunc func(context.Context) (*backend.Conn, error)) *admission {
	ctx, cancel := context.WithCancel(context.Background())
	return &admission{dialFunc: dialFunc, clock: k, counters: c, queue: fair.New(maxWaiting), freeSlots: slots, maxOpen: maxOpen, ctx: ctx, cancel: cancel}
}

// acquire waits for a slot and a connection, in the order of fair.Queue. It
// refuses when the account has maxWaiting requests waiting, when ctx ends, and
// when the server is lost or the holder stops.
func (a *admission) acquire(ctx context.Context, account string, weight int) (*backend.Conn, *outcome.NotRun) {
	w := &waiter{grant: make(chan *backend.Conn, 1)}
	w.item = &fair.Item{Account: account, Weight: weight, Cost: 1, Value: w}
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return nil, refuseStopping()
	}
	if !a.queue.Push(w.item) {
		a.mu.Unlock()
		return nil, outcome.Refuse(outcome.ReasonQueueFull, outcome.CodeTooManyConnections, "client account %s has %d requests waiting", account, maxWaiting)
	}
	a.grantLocked()
	a.mu.Unlock()
	since := a.clock.Now()
	select {
	case c, ok := <-w.grant:
		a.counters.observeWait(a.clock.Now() - since)
		if !ok {
			return nil, outcome.Refuse(outcome.ReasonNotHolder, outcome.CodeUnavailable, "the holder has lost the backend server")
		}
		return c, nil
	case <-ctx.Done():
		a.cancelAcquire(w)
		return nil, outcome.Refuse(outcome.ReasonDeadline, outcome.CodeTimeout, "the deadline passed while the request waited for a slot")
	}
}

// tryAcquire returns a connection, and takes a slot for it, if both are free and
// nothing waits; otherwise it returns nil. Bypassing the queue is fair, since an
// empty queue keeps no record of what the accounts used before.
func (a *admission) tryAcquire() *backend.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || a.freeSlots <= 0 || len(a.idle) == 0 || a.queue.Len() > 0 || len(a.slotWaiters) > 0 {
		return nil
	}
	a.freeSlots--
	c := a.idle[len(a.idle)-1]
	a.idle = a.idle[:len(a.idle)-1]
	a.counters.observeWait(0)
	return c
}

// cancelAcquire withdraws a request of acquire, or returns what it was granted
// in the meantime.
func (a *admission) cancelAcquire(w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !w.resolved {
		a.queue.Remove(w.item)
		return
	}
	if c, ok := <-w.grant; ok {
		a.freeSlots++
		a.idle = append(a.idle, c)
		a.grantLocked()
	}
}

// refuseWaiting refuses every request that waits for a connection, so that it
// can be retried at another server within its deadline.
func (a *admission) refuseWaiting() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for it := a.queue.Pop(); it != nil; it = a.queue.Pop() {
		w := it.Value.(*waiter)
		w.resolved = true
		close(w.grant)
	}
	a.counters.setGauges(a.queue.Len(), a.openCount)
}

func refuseStopping() *outcome.NotRun {
	return outcome.Refuse(outcome.ReasonNotHolder, outcome.CodeUnavailable, "the holder is stopping")
}

// acquireSlot waits for a slot for a transaction that has a connection.
func (a *admission) acquireSlot(ctx context.Context) *outcome.NotRun {
	w := &waiter{grant: make(chan *backend.Conn, 1)}
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return refuseStopping()
	}
	a.slotWaiters = append(a.slotWaiters, w)
	a.grantLocked()
	a.mu.Unlock()
	select {
	case _, ok := <-w.grant:
		if !ok {
			return refuseStopping()
		}
		return nil
	case <-ctx.Done():
		a.cancelSlot(w)
		return outcome.Refuse(outcome.ReasonDeadline, outcome.CodeTimeout, "the deadline passed while the transaction waited for a slot")
	}
}

// cancelSlot withdraws a request of acquireSlot, or returns the slot that it
// was granted in the meantime.
func (a *admission) cancelSlot(w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.resolved {
		if _, ok := <-w.grant; ok {
			a.freeSlots++
			a.grantLocked()
		}
		return
	}
	for i, p := range a.slotWaiters {
		if p == w {
			a.slotWaiters = append(a.slotWaiters[:i], a.slotWaiters[i+1:]...)
			return
		}
	}
}

// releaseSlot returns the slot of a transaction.
func (a *admission) releaseSlot() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.freeSlots++
	a.grantLocked()
}

// put returns a connection to the pool if it is reusable: no transaction is open
// on it, and its reset was at least sent. Otherwise, or after close, it closes
// the connection. It does not return the slot.
func (a *admission) put(c *backend.Conn, reusable bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !reusable || a.closed {
		a.openCount--
		c.Close()
	} else {
		a.idle = append(a.idle, c)
	}
	a.grantLocked()
}

// grantLocked grants free slots and connections. Open transactions go first,
// since they hold connections that others wait for. It dials a connection if
// waiting requests have free slots but too few connections.
func (a *admission) grantLocked() {
	for a.freeSlots > 0 && len(a.slotWaiters) > 0 {
		w := a.slotWaiters[0]
		a.slotWaiters = a.slotWaiters[1:]
		a.freeSlots--
		w.resolved = true
		w.grant <- nil
	}
	for a.freeSlots > 0 && len(a.idle) > 0 {
		it := a.queue.Pop()
		if it == nil {
			break
		}
		w := it.Value.(*waiter)
		a.freeSlots--
		c := a.idle[len(a.idle)-1]
		a.idle = a.idle[:len(a.idle)-1]
		w.resolved = true
		w.grant <- c
	}
	if min(a.queue.Len(), a.freeSlots) > len(a.idle)+a.dialing {
		a.dialLocked()
	}
	a.counters.setGauges(a.queue.Len(), a.openCount)
}

// dialLocked dials one more connection in the background unless the limit is
// reached.
func (a *admission) dialLocked() {
	if a.openCount >= a.maxOpen || a.closed {
		return
	}
	a.openCount++
	a.dialing++
	a.dialers.Add(1)
	go a.dialConnection()
}

// dialConnection dials one connection. After a failure it retries every
// retryInterval while requests wait.
func (a *admission) dialConnection() {
	defer a.dialers.Done()
	c, err := a.dialFunc(a.ctx)
	for err != nil && a.hasWaiting() && a.clock.Sleep(a.ctx, retryInterval) == nil {
		c, err = a.dialFunc(a.ctx)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dialing--
	if err != nil || a.closed {
		a.openCount--
		if c != nil {
			c.Close()
		}
	} else {
		a.idle = append(a.idle, c)
	}
	a.grantLocked()
}

// hasWaiting reports whether a request waits for a connection.
func (a *admission) hasWaiting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.closed && a.queue.Len() > 0
}

// warm dials connections until there is one more than free slots, at most
// maxOpen.
func (a *admission) warm(context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for n := a.openCount; n <= a.freeSlots && n < a.maxOpen; n++ {
		a.dialLocked()
	}
}

// closeIdle closes the idle connections, after the server was lost or when the
// holder stops.
func (a *admission) closeIdle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.idle {
		c.Close()
		a.openCount--
	}
	a.idle = nil
	a.counters.setGauges(a.queue.Len(), a.openCount)
}

// close refuses waiting and new requests, and returns once no connection is
// being dialed and the idle ones are closed.
func (a *admission) close() {
	a.mu.Lock()
	a.closed = true
	for _, w := range a.slotWaiters {
		w.resolved = true
		close(w.grant)
	}
	a.slotWaiters = nil
	a.mu.Unlock()
	a.cancel()
	a.refuseWaiting()
	a.dialers.Wait()
	a.closeIdle()
}
