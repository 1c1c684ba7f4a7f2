package frontend

import (
	"sync"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/quota"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
)

// Tolerance is how far an account may be over its limit while VMs do not hear
// each other.
type Tolerance struct {
	// Share is relative to what the limit allows in Window seconds, and Slack comes
	// on top, in operations.
	Share  float64
	Slack  float64
	Window float64
}

// rate returns the operations a second over the limit that an account may run.
func (t Tolerance) rate(a catalog.Account) float64 {
	if t.Window <= 0 {
		return 0
	}
	return (t.Share*(a.Rate*t.Window+a.Burst) + t.Slack) / t.Window
}

// limits keeps the accounts to their limits, with the other VMs.
type limits struct {
	clock       clock.Clock
	tolerance   Tolerance
	accountFunc func(name string) (catalog.Account, bool)
	vmsFunc     func() int
	processFunc func() uint64
	nudgeFunc   func()

	mu       sync.Mutex
	buckets  map[string]quota.Bucket
	reported map[string]uint64
}

// take takes one operation of an account and reports whether there was one.
func (l *limits) take(a catalog.Account) bool {
	vms := l.vmsFunc()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	b, ok := l.bucket(a, vms, now).WithTake(now)
	l.buckets[a.Name] = b
	if b.Urgent(l.reported[a.Name]) {
		l.nudgeFunc()
	}
	return ok
}

// back gives back an operation that has not run.
func (l *limits) back(a catalog.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.buckets[a.Name]; ok {
		l.buckets[a.Name] = b.WithBack(l.clock.Now())
	}
}

// bucket returns the bucket of an account with its present limit. It needs the lock.
func (l *limits) bucket(a catalog.Account, vms int, now clock.Millis) quota.Bucket {
	b, ok := l.buckets[a.Name]
	if !ok {
		b = quota.New(a.Rate, a.Burst, now)
	}
	return b.WithLimit(a.Rate, a.Burst, now).WithVMs(vms, l.tolerance.rate(a))
}

// prepare makes the buckets of accounts that have none, so that their shares are
// known before the first operation.
func (l *limits) prepare(accounts map[string]catalog.Account) {
	vms := l.vmsFunc()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for name, a := range accounts {
		if _, ok := l.buckets[name]; !ok {
			l.buckets[name] = l.bucket(a, vms, now)
		}
	}
}

// round begins a round and returns what to tell the others. Accounts that nobody
// asks for are left out.
func (l *limits) round() []inner.Usage {
	vms := l.vmsFunc()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var out []inner.Usage
	for name := range l.buckets {
		a, ok := l.accountFunc(name)
		if !ok {
			delete(l.buckets, name)
			continue
		}
		b, r := l.bucket(a, vms, now).WithRound(now)
		l.buckets[name] = b
		if b.Idle(now) && l.reported[name] == r.Spent {
			continue
		}
		l.reported[name] = r.Spent
		out = append(out, inner.Usage{Account: name, Spent: r.Spent, Demand: float32(r.Demand), Tokens: float32(r.Tokens)})
	}
	return out
}

// hear takes in what another VM says of its use.
func (l *limits) hear(g inner.Gossip) {
	vms := l.vmsFunc()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, u := range g.Usages {
		a, ok := l.accountFunc(u.Account)
		if !ok {
			continue
		}
		l.buckets[u.Account] = l.bucket(a, vms, now).WithReport(g.From, quota.Report{
			Process: g.Process, Spent: u.Spent, Demand: float64(u.Demand), Tokens: float64(u.Tokens),
		}, now)
	}
}
