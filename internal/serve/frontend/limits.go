package frontend

import (
	"strings"
	"sync"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/quota"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
)

// Tolerance is how far an account may be over its limit while VMs do not hear
// each other.
type Tolerance struct {
	// Fraction is relative to what the limit allows in Window seconds, and Slack comes
	// on top, in operations.
	Fraction float64
	Slack    float64
	Window   float64
}

// excessRate returns the operations a second over the limit that an account may run.
func (t Tolerance) excessRate(a catalog.Account) float64 {
	if t.Window <= 0 {
		return 0
	}
	return (t.Fraction*(a.Rate*t.Window+a.Burst) + t.Slack) / t.Window
}

// limiter keeps the accounts to their limits, with the other VMs.
type limiter struct {
	clock       clock.Clock
	tolerance   Tolerance
	accountFunc func(name string) (catalog.Account, bool)
	vmCountFunc func() int
	processFunc func() uint64
	gossipFunc  func()

	mu            sync.Mutex
	buckets       map[string]quota.Bucket
	reportedSpent map[string]uint64
	// ownUsages is what the last round says of this VM, zone the sums of its zone, and rest
	// those of the other zones, by zone.
	ownUsages       []inner.Usage
	zoneTotals      accountTotals
	otherZoneTotals accountTotals
}

// take takes one operation of an account and reports whether there was one.
func (l *limiter) take(a catalog.Account) bool {
	vms := l.vmCountFunc()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	b, ok := l.bucket(a, vms, now).WithTake(now)
	l.buckets[a.Name] = b
	if b.RoundUrgent(l.reportedSpent[a.Name]) {
		l.gossipFunc()
	}
	return ok
}

// refund gives back an operation that has not run.
func (l *limiter) refund(a catalog.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.buckets[a.Name]; ok {
		l.buckets[a.Name] = b.WithReturn(l.clock.Now())
	}
}

// bucket returns the bucket of an account with its present limit. It needs the lock.
func (l *limiter) bucket(a catalog.Account, vms int, now clock.Millis) quota.Bucket {
	b, ok := l.buckets[a.Name]
	if !ok {
		b = quota.New(a.Rate, a.Burst, now)
	}
	return b.WithLimit(a.Rate, a.Burst, now).WithVMs(vms, l.tolerance.excessRate(a))
}

// prepare makes the buckets of accounts that have none, so that their shares are
// known before the first operation.
func (l *limiter) prepare(accounts map[string]catalog.Account) {
	vms := l.vmCountFunc()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for name, a := range accounts {
		if _, ok := l.buckets[name]; !ok {
			l.buckets[name] = l.bucket(a, vms, now)
		}
	}
}

// beginRound begins a round and notes what to tell the others. Accounts that nobody asks
// for are left out.
func (l *limiter) beginRound() {
	vms := l.vmCountFunc()
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
		if b.Idle(now) && l.reportedSpent[name] == r.Spent {
			continue
		}
		l.reportedSpent[name] = r.Spent
		out = append(out, inner.Usage{Account: name, Spent: r.Spent, Demand: float32(r.Demand), Tokens: float32(r.Tokens)})
		r.Process = l.processFunc()
		l.zoneTotals.add(name, selfName, r)
	}
	l.ownUsages = out
}

// selfName names this VM among the parts of its zone.
const selfName = ""

// total is the sum of the use of an account over many VMs.
type total struct {
	spent uint64
	// reports are the last reports that were added up, by VM or by zone.
	reports map[string]quota.Report
}

// add takes in a report of a part.
func (s *total) add(source string, r quota.Report) {
	last, known := s.reports[source]
	switch {
	case known && last.Process == r.Process:
		s.spent += r.Spent - last.Spent
	case !r.Aggregate:
		s.spent += r.Spent
	}
	s.reports[source] = r
}

// report returns the sum for a process that adds up.
func (s *total) report(process uint64) quota.Report {
	out := quota.Report{Process: process, Spent: s.spent, Aggregate: true}
	for _, r := range s.reports {
		out.Demand += r.Demand
		out.Tokens = r.Tokens
	}
	return out
}

// accountTotals are those of all accounts.
type accountTotals map[string]*total

func (s accountTotals) add(account, source string, r quota.Report) {
	if s[account] == nil {
		s[account] = &total{reports: map[string]quota.Report{}}
	}
	s[account].add(source, r)
}

// usages returns the sums as a message has them.
func (s accountTotals) usages() []inner.Usage {
	out := make([]inner.Usage, 0, len(s))
	for name, v := range s {
		r := v.report(0)
		out = append(out, inner.Usage{Account: name, Spent: r.Spent, Demand: float32(r.Demand), Tokens: float32(r.Tokens)})
	}
	return out
}

// restName and zonePrefix name the sums of other zones in a bucket.
const (
	otherZonesName = "*"
	zonePrefix     = "*/"
)

// mergeGossip takes in what another VM says of its use, or a relay of that of many. First
// is set for the first relay of its zone.
func (l *limiter) mergeGossip(g inner.Gossip, fromFirstRelay bool) {
	vms := l.vmCountFunc()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	name := g.From
	switch {
	case g.Scope == inner.ScopeVM:
	case !fromFirstRelay:
		return
	case g.Scope == inner.ScopeZone:
		name = zonePrefix + string(g.Zone)
	default:
		name = otherZonesName
	}
	for _, u := range g.Usages {
		a, ok := l.accountFunc(u.Account)
		if !ok {
			continue
		}
		r := quota.Report{
			Process: g.Process, Spent: u.Spent, Demand: float64(u.Demand), Tokens: float64(u.Tokens), Aggregate: g.Scope != inner.ScopeVM,
		}
		switch g.Scope {
		case inner.ScopeVM:
			l.zoneTotals.add(u.Account, name, r)
		case inner.ScopeZone:
			l.otherZoneTotals.add(u.Account, name, r)
		}
		b := l.bucket(a, vms, now).WithoutVMs(func(other string) bool {
			return g.Scope == inner.ScopeZone && other == otherZonesName || g.Scope == inner.ScopeOtherZones && strings.HasPrefix(other, zonePrefix)
		})
		l.buckets[u.Account] = b.WithReport(name, r, now)
	}
}

// usages returns the usages of a scope, as of the last round.
func (l *limiter) usages(s inner.Scope) []inner.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case inner.ScopeZone:
		return l.zoneTotals.usages()
	case inner.ScopeOtherZones:
		return l.otherZoneTotals.usages()
	}
	return l.ownUsages
}
