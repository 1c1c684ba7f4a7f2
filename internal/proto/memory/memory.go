// Package memory accounts for the bytes that callers and other VMs make this process hold. Each
// connection has an owner, which takes bytes from the pool of the process before they are allocated. A
// take never waits: it is granted or refused at once, by the rules of core/allowance.
package memory

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
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
	// refusedRecently is set if a take has been refused since the last sweep.
	refusedRecently atomic.Bool
	// now is the time of the last sweep. The progress of connections is recorded with it, because
	// the time is needed several times for each statement.
	now atomic.Int64
	// callers and servers count the connections of callers and to backend servers.
	callers atomic.Int64
	servers atomic.Int64

	mu sync.Mutex
	// used is the number of bytes taken, lasting that of them for Session, and accounts that of
	// each account.
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
