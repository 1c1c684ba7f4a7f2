package holder

import (
	"context"
	"sync"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/fair"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
)

// maxWaiting is the number of requests of one client account that may wait for
// one backend server.
const maxWaiting = 2000

// admission decides who runs: it hands out the server's slots and connections.
// A running statement has a slot; an open transaction has a connection and
// keeps it between statements, when it gives up the slot.
type admission struct {
	dial     func(context.Context) (*backend.Conn, error)
	clock    clock.Clock
	counters *counters

	mu      sync.Mutex
	queue   *fair.Queue
	pinned  []*waiter
	slots   int
	limit   int
	open    int
	opening int
	idle    []*backend.Conn
	closed  bool
	ctx     context.Context
	cancel  context.CancelFunc
	openers sync.WaitGroup
}

// waiter is one request that waits for a grant. A pinned one gets a nil
// connection, since it has its own. The grant of one that is turned away is
// closed.
type waiter struct {
	grant   chan *backend.Conn
	granted bool
	item    *fair.Item
}

func newAdmission(slots, limit int, k clock.Clock, c *counters, dial func(context.Context) (*backend.Conn, error)) *admission {
	ctx, cancel := context.WithCancel(context.Background())
	return &admission{dial: dial, clock: k, counters: c, queue: fair.New(maxWaiting), slots: slots, limit: limit, ctx: ctx, cancel: cancel}
}

// acquire waits in fair order for a slot and a connection.
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
		a.counters.waited(a.clock.Now() - since)
		if !ok {
			return nil, outcome.Refuse(outcome.ReasonNotHolder, outcome.CodeUnavailable, "the holder has lost the backend server")
		}
		return c, nil
	case <-ctx.Done():
		a.abandon(w)
		return nil, outcome.Refuse(outcome.ReasonDeadline, outcome.CodeTimeout, "the deadline passed while the request waited for a slot")
	}
}

// try hands out what is free while nothing waits, and nil otherwise. It leaves
// no trace in the order, since an empty queue remembers nobody.
func (a *admission) try() *backend.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || a.slots <= 0 || len(a.idle) == 0 || a.queue.Len() > 0 || len(a.pinned) > 0 {
		return nil
	}
	a.slots--
	c := a.idle[len(a.idle)-1]
	a.idle = a.idle[:len(a.idle)-1]
	a.counters.waited(0)
	return c
}

func (a *admission) abandon(w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !w.granted {
		a.queue.Remove(w.item)
		return
	}
	if c, ok := <-w.grant; ok {
		a.slots++
		a.idle = append(a.idle, c)
		a.grantLocked()
	}
}

// turnAway refuses every request that waits for a connection, so that it can
// be tried elsewhere within its deadline.
func (a *admission) turnAway() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for it := a.queue.Pop(); it != nil; it = a.queue.Pop() {
		w := it.Value.(*waiter)
		w.granted = true
		close(w.grant)
	}
	a.counters.set(a.queue.Len(), a.open)
}

func refuseStopping() *outcome.NotRun {
	return outcome.Refuse(outcome.ReasonNotHolder, outcome.CodeUnavailable, "the holder is stopping")
}

// resume waits for a slot for a transaction that has its connection already.
func (a *admission) resume(ctx context.Context) *outcome.NotRun {
	w := &waiter{grant: make(chan *backend.Conn, 1)}
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return refuseStopping()
	}
	a.pinned = append(a.pinned, w)
	a.grantLocked()
	a.mu.Unlock()
	select {
	case _, ok := <-w.grant:
		if !ok {
			return refuseStopping()
		}
		return nil
	case <-ctx.Done():
		a.leave(w)
		return outcome.Refuse(outcome.ReasonDeadline, outcome.CodeTimeout, "the deadline passed while the transaction waited for a slot")
	}
}

func (a *admission) leave(w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.granted {
		if _, ok := <-w.grant; ok {
			a.slots++
			a.grantLocked()
		}
		return
	}
	for i, p := range a.pinned {
		if p == w {
			a.pinned = append(a.pinned[:i], a.pinned[i+1:]...)
			return
		}
	}
}

// pause gives up the slot of a transaction that stays open.
func (a *admission) pause() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots++
	a.grantLocked()
}

// put takes a connection back. Only one that is idle and reset is reusable.
func (a *admission) put(c *backend.Conn, reusable bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !reusable || a.closed {
		a.open--
		c.Close()
	} else {
		a.idle = append(a.idle, c)
	}
	a.grantLocked()
}

// grantLocked hands out what is free; open transactions go first, since they
// hold connections that others need.
func (a *admission) grantLocked() {
	for a.slots > 0 && len(a.pinned) > 0 {
		w := a.pinned[0]
		a.pinned = a.pinned[1:]
		a.slots--
		w.granted = true
		w.grant <- nil
	}
	for a.slots > 0 && len(a.idle) > 0 {
		it := a.queue.Pop()
		if it == nil {
			break
		}
		w := it.Value.(*waiter)
		a.slots--
		c := a.idle[len(a.idle)-1]
		a.idle = a.idle[:len(a.idle)-1]
		w.granted = true
		w.grant <- c
	}
	if min(a.queue.Len(), a.slots) > len(a.idle)+a.opening {
		a.openLocked()
	}
	a.counters.set(a.queue.Len(), a.open)
}

// openLocked opens one more connection in the background if the limit allows.
func (a *admission) openLocked() {
	if a.open >= a.limit || a.closed {
		return
	}
	a.open++
	a.opening++
	a.openers.Add(1)
	go a.opener()
}

// opener opens one connection. While requests wait for it, a failure is tried
// again after a pause.
func (a *admission) opener() {
	defer a.openers.Done()
	c, err := a.dial(a.ctx)
	for err != nil && a.wanted() && a.clock.Sleep(a.ctx, retryInterval) == nil {
		c, err = a.dial(a.ctx)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.opening--
	if err != nil || a.closed {
		a.open--
		if c != nil {
			c.Close()
		}
	} else {
		a.idle = append(a.idle, c)
	}
	a.grantLocked()
}

func (a *admission) wanted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.closed && a.queue.Len() > 0
}

// warm opens as many connections as there are slots, and one to spare.
func (a *admission) warm(context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for n := a.open; n <= a.slots && n < a.limit; n++ {
		a.openLocked()
	}
}

// drop closes the idle connections, which ended with the server.
func (a *admission) drop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.idle {
		c.Close()
		a.open--
	}
	a.idle = nil
	a.counters.set(a.queue.Len(), a.open)
}

// close refuses new work and waits until nothing is being opened.
func (a *admission) close() {
	a.mu.Lock()
	a.closed = true
	for _, w := range a.pinned {
		w.granted = true
		close(w.grant)
	}
	a.pinned = nil
	a.mu.Unlock()
	a.cancel()
	a.turnAway()
	a.openers.Wait()
	a.drop()
}
