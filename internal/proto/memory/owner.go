package memory

import (
	"sync/atomic"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/allowance"
)

// Owner holds bytes of the pool for a connection. Its exported methods must be called by one goroutine
// at a time; the pool may read and close it at the same time. A nil owner is granted everything.
type Owner struct {
	pool *Pool
	// closeFunc closes the connection; it must not wait. It is nil for a connection that is not a
	// caller's, which is not counted and never closed by the pool.
	closeFunc func()
	// account and held are guarded by the pool's lock; the goroutine that changes them also reads
	// them without it.
	account string
	held    [purposeCount]int64

	phase     atomic.Int32
	since     atomic.Int64
	lastMoved atomic.Int64
	moved     atomic.Int64
	closing   atomic.Bool
}

// NewOwner returns an owner that holds size bytes for a connection, or nil and false if the pool
// does not grant them. The owner must be closed.
func (p *Pool) NewOwner(size int64, closeFunc func()) (*Owner, bool) {
	if p == nil {
		return nil, true
	}
	o := &Owner{pool: p, closeFunc: closeFunc}
	o.lastMoved.Store(p.now.Load())
	p.mu.Lock()
	p.owners[o] = struct{}{}
	p.mu.Unlock()
	if closeFunc != nil {
		p.callers.Add(1)
	}
	if !o.Take(Connection, size) {
		o.Close()
		return nil, false
	}
	return o, true
}

// Take takes size bytes for a purpose and reports whether they were granted.
func (o *Owner) Take(p Purpose, size int64) bool {
	if o == nil || size <= 0 {
		return true
	}
	pool := o.pool
	pool.mu.Lock()
	var held int64
	for _, n := range o.held {
		held += n
	}
	ok := pool.limits.Permits(pool.used, allowance.Request{
		Size: size, Held: held - o.held[Connection], Account: pool.accounts[o.account], Lasting: p == Session, LastingHeld: pool.lasting,
	})
	if ok {
		pool.add(o, p, size)
	}
	pool.mu.Unlock()
	if !ok {
		pool.refusals[p].Inc()
		pool.refusedRecently.Store(true)
	}
	return ok
}

// Give gives back size bytes of a purpose.
func (o *Owner) Give(p Purpose, size int64) {
	if o == nil || size == 0 {
		return
	}
	o.pool.mu.Lock()
	defer o.pool.mu.Unlock()
	o.pool.add(o, p, -size)
}

// Held returns what the owner holds for a purpose.
func (o *Owner) Held(p Purpose) int64 {
	if o == nil {
		return 0
	}
	return o.held[p]
}

// Drop gives back all that the owner holds for a purpose.
func (o *Owner) Drop(p Purpose) {
	o.Give(p, o.Held(p))
}

// SetAccount sets the account that the owner's bytes count for.
func (o *Owner) SetAccount(name string) {
	if o == nil || o.account == name {
		return
	}
	o.pool.mu.Lock()
	defer o.pool.mu.Unlock()
	held := o.held
	for p, n := range held {
		o.pool.add(o, Purpose(p), -n)
	}
	o.account = name
	for p, n := range held {
		o.pool.add(o, Purpose(p), n)
	}
}

// Close gives back all bytes and removes the owner.
func (o *Owner) Close() {
	if o == nil {
		return
	}
	o.pool.mu.Lock()
	defer o.pool.mu.Unlock()
	for p, n := range o.held {
		o.pool.add(o, Purpose(p), -n)
	}
	if _, isOpen := o.pool.owners[o]; isOpen && o.closeFunc != nil {
		o.pool.callers.Add(-1)
	}
	delete(o.pool.owners, o)
}

// Enter records that the connection begins a phase.
func (o *Owner) Enter(p allowance.Phase) {
	if o == nil {
		return
	}
	if p != allowance.Working {
		now := o.pool.now.Load()
		o.moved.Store(0)
		o.since.Store(now)
		o.lastMoved.Store(now)
	}
	o.phase.Store(int32(p))
}

// Move records that n bytes of a message or an answer have moved. The first byte that arrives at an
// idle connection begins a message.
func (o *Owner) Move(n int) {
	if o == nil || n <= 0 {
		return
	}
	if p := allowance.Phase(o.phase.Load()); p == allowance.Silent || p == allowance.Idle {
		o.Enter(allowance.Receiving)
	}
	o.moved.Add(int64(n))
	o.lastMoved.Store(o.pool.now.Load())
}

// activity returns what the connection has done in its present phase, without what it holds.
func (o *Owner) activity() allowance.Activity {
	return allowance.Activity{
		Phase: allowance.Phase(o.phase.Load()), Since: clock.Millis(o.since.Load()),
		LastMoved: clock.Millis(o.lastMoved.Load()), Moved: o.moved.Load(),
	}
}
