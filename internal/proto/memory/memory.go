// Package memory accounts for the bytes that remote ends make this process hold. Each connection is
// an owner that takes bytes from the pool of the process before it allocates them. A take never
// waits: it is granted or refused at once, by the rules of core/allowance.
package memory

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/allowance"
)

// ErrShort means that the pool did not grant the bytes of a message.
var ErrShort = errors.New("the VM is short of memory for large messages")

// FreeSize is the size of the longest message that is not accounted for, in bytes. Owners hold one
// such message in each direction as part of ConnSize.
const FreeSize = 2048

// ConnSize is what an open connection of a caller uses, in bytes: its buffers, its goroutine and
// its session.
const ConnSize = 16 << 10

// Purpose is what an owner holds bytes for.
type Purpose int

// The purposes.
const (
	// Connection is the connection itself.
	Connection Purpose = iota
	// Message is a message being read or waiting, up to its answer.
	Message
	// Work is for a statement that runs: its answer and copies of it.
	Work
	// Session is for prepared statements and settings, held while the session is idle.
	Session
	purposeCount
)

var purposeNames = [purposeCount]string{"connection", "message", "work", "session"}

// Pool is the memory of one process. A nil pool grants everything.
type Pool struct {
	limits allowance.Limits
	clock  clock.Clock

	usedGauge *metrics.Gauge
	refusals  [purposeCount]*metrics.Counter
	// pressed is set when a take was refused since the last sweep.
	pressed atomic.Bool
	// now is the time of the last sweep, which the progress of connections is recorded with: it is
	// read several times for each statement.
	now atomic.Int64
	// callers and servers count the connections of callers and to backend servers.
	callers atomic.Int64
	servers atomic.Int64

	mu       sync.Mutex
	used     int64
	lasting  int64
	owners   map[*Owner]struct{}
	accounts map[string]int64
}

// NewPool returns the pool of a process.
func NewPool(l allowance.Limits, c clock.Clock) *Pool {
	p := &Pool{limits: l, clock: c, owners: map[*Owner]struct{}{}, accounts: map[string]int64{}}
	p.now.Store(int64(c.Now()))
	p.usedGauge = metrics.GetOrCreateGauge("sycamoredoor_memory_taken_bytes", nil)
	for i := range p.refusals {
		p.refusals[i] = metrics.GetOrCreateCounter(fmt.Sprintf("sycamoredoor_memory_refusals_total{for=%q}", purposeNames[i]))
	}
	metrics.GetOrCreateGauge("sycamoredoor_memory_limit_bytes", nil).Set(float64(l.Memory))
	return p
}

// Owner is a connection that holds bytes of the pool. Its methods but for those of
// the pool must be called by one goroutine at a time. A nil owner is granted everything.
type Owner struct {
	pool *Pool
	// closeFunc closes the connection; it must not wait.
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
		pool.pressed.Store(true)
	}
	return ok
}

// add changes what an owner holds. The caller must hold the lock.
func (p *Pool) add(o *Owner, purpose Purpose, size int64) {
	o.held[purpose] += size
	p.used += size
	p.accounts[o.account] += size
	if p.accounts[o.account] == 0 {
		delete(p.accounts, o.account)
	}
	if purpose == Session {
		p.lasting += size
	}
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

// AdmitCaller reports whether there is a descriptor for a new connection of a caller. It may close
// another one for it; the limit leaves room for the moment until that one's descriptor is free.
func (p *Pool) AdmitCaller() bool {
	if p == nil || p.limits.PermitsCaller(p.callers.Load(), p.servers.Load()) {
		return true
	}
	_, ok := p.EvictForDescriptor()
	return ok
}

// OpenServer is AdmitCaller for a connection to a backend server, and counts it. If it returns true,
// CloseServer must be called once the connection is closed.
func (p *Pool) OpenServer() bool {
	if p == nil {
		return true
	}
	ok := p.limits.PermitsServer(p.callers.Load(), p.servers.Load())
	if !ok {
		_, ok = p.EvictForDescriptor()
	}
	if ok {
		p.servers.Add(1)
	}
	return ok
}

// CloseServer counts the end of a connection to a backend server.
func (p *Pool) CloseServer() {
	if p != nil {
		p.servers.Add(-1)
	}
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

func (o *Owner) activity() allowance.Activity {
	return allowance.Activity{
		Phase: allowance.Phase(o.phase.Load()), Since: clock.Millis(o.since.Load()),
		LastMoved: clock.Millis(o.lastMoved.Load()), Moved: o.moved.Load(),
	}
}

// Victim is a connection that was closed.
type Victim struct {
	Reason string
	Phase  allowance.Phase
}

// close closes the connection once.
func (o *Owner) close(reason string) (Victim, bool) {
	if o.closing.Swap(true) {
		return Victim{}, false
	}
	v := Victim{Reason: reason, Phase: o.activity().Phase}
	metrics.GetOrCreateCounter(fmt.Sprintf("sycamoredoor_connections_closed_total{reason=%q,phase=%q}", v.Reason, v.Phase)).Inc()
	o.closeFunc()
	return v, true
}

// EvictForDescriptor closes the connection of a caller whose descriptor is needed most elsewhere and
// reports whether there was one.
func (p *Pool) EvictForDescriptor() (Victim, bool) {
	return p.evict("descriptors", allowance.Activity.DescriptorRank)
}

// evict closes the connection with the highest rank above 0.
func (p *Pool) evict(reason string, rank func(allowance.Activity, clock.Millis) int64) (Victim, bool) {
	if p == nil {
		return Victim{}, false
	}
	now := p.clock.Now()
	var best *Owner
	var bestRank int64
	p.mu.Lock()
	for o := range p.owners {
		if o.closeFunc == nil || o.closing.Load() {
			continue
		}
		a := o.activity()
		a.Held = o.held[Message] + o.held[Work] + o.held[Session]
		if r := rank(a, now); r > bestRank {
			best, bestRank = o, r
		}
	}
	p.mu.Unlock()
	if best == nil {
		return Victim{}, false
	}
	return best.close(reason)
}

// Sweep must be called several times a second. It closes the connections whose message or answer is overdue. If bytes were refused since the
// last sweep, it also closes those that stand still in the middle of a message or an
// answer, the longest first, at most maxEvictions. It returns what it closed.
func (p *Pool) Sweep() []Victim {
	if p == nil {
		return nil
	}
	now := p.clock.Now()
	p.now.Store(int64(now))
	pressed := p.pressed.Swap(false)
	var overdue []*Owner
	p.mu.Lock()
	var sum int64
	for o := range p.owners {
		for _, n := range o.held {
			sum += n
		}
		if o.closeFunc != nil && o.activity().IsOverdue(now) {
			overdue = append(overdue, o)
		}
	}
	used := p.used
	p.mu.Unlock()
	p.usedGauge.Set(float64(used))
	invariant.Check(sum == used, invariant.MemorySum, "%d bytes are taken, and the owners hold %d", used, sum)
	var out []Victim
	for _, o := range overdue {
		if v, ok := o.close("slow"); ok {
			out = append(out, v)
		}
	}
	for range maxEvictions {
		if !pressed {
			break
		}
		v, ok := p.evict("memory", allowance.Activity.StalledRank)
		if !ok {
			break
		}
		out = append(out, v)
	}
	return out
}

// maxEvictions is how many connections that stand still one sweep closes to free memory.
const maxEvictions = 8
