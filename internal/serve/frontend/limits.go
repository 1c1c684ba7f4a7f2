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
	// own is what the last round says of this VM, zone the sums of its zone, and rest
	// those of the other zones, by zone.
	own  []inner.Usage
	zone sums
	rest sums
}

// take takes one operation of an account and reports whether there was one.
func (l *limits) take(a catalog.Account) bool {
	vms := l.vmsFunc()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	b, ok := l.bucket(a, vms, now).WithTake(now)
	l.buckets[a.Name] = b
	if b.RoundUrgent(l.reported[a.Name]) {
		l.nudgeFunc()
	}
	return ok
}

// back gives back an operation that has not run.
func (l *limits) back(a catalog.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.buckets[a.Name]; ok {
		l.buckets[a.Name] = b.WithReturn(l.clock.Now())
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

// round begins a round and notes what to tell the others. Accounts that nobody asks
// for are left out.
func (l *limits) round() {
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
		r.Process = l.processFunc()
		l.zone.add(name, selfPart, r)
	}
	l.own = out
}

// selfPart names this VM among the parts of its zone.
const selfPart = ""

// sum is the sum of the use of an account over many VMs.
type sum struct {
	spent uint64
	// parts are the last reports that were added up, by VM or by zone.
	parts map[string]quota.Report
}

// add takes in a report of a part.
func (s *sum) add(part string, r quota.Report) {
	last, known := s.parts[part]
	switch {
	case known && last.Process == r.Process:
		s.spent += r.Spent - last.Spent
	case !r.Aggregate:
		s.spent += r.Spent
	}
	s.parts[part] = r
}

// report returns the sum for a process that adds up.
func (s *sum) report(process uint64) quota.Report {
	out := quota.Report{Process: process, Spent: s.spent, Aggregate: true}
	for _, r := range s.parts {
		out.Demand += r.Demand
		out.Tokens = r.Tokens
	}
	return out
}

// sums are those of all accounts.
type sums map[string]*sum

func (s sums) add(account, part string, r quota.Report) {
	if s[account] == nil {
		s[account] = &sum{parts: map[string]quota.Report{}}
	}
	s[account].add(part, r)
}

// usages returns the sums as a message has them.
func (s sums) usages() []inner.Usage {
	out := make([]inner.Usage, 0, len(s))
	for name, v := range s {
		r := v.report(0)
		out = append(out, inner.Usage{Account: name, Spent: r.Spent, Demand: float32(r.Demand), Tokens: float32(r.Tokens)})
	}
	return out
}

// restName and zonePrefix name the sums of other zones in a bucket.
const (
	restName   = "*"
	zonePrefix = "*/"
)

// hear takes in what another VM says of its use, or a relay of that of many. First
// is set for the first relay of its zone.
func (l *limits) hear(g inner.Gossip, first bool) {
	vms := l.vmsFunc()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	name := g.From
	switch {
	case g.Scope == inner.ScopeVM:
	case !first:
		return
	case g.Scope == inner.ScopeZone:
		name = zonePrefix + string(g.Zone)
	default:
		name = restName
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
			l.zone.add(u.Account, name, r)
		case inner.ScopeZone:
			l.rest.add(u.Account, name, r)
		}
		b := l.bucket(a, vms, now).WithoutVMs(func(other string) bool {
			return g.Scope == inner.ScopeZone && other == restName || g.Scope == inner.ScopeRest && strings.HasPrefix(other, zonePrefix)
		})
		l.buckets[u.Account] = b.WithReport(name, r, now)
	}
}

// fill returns the usages of a scope, as of the last round.
func (l *limits) fill(s inner.Scope) []inner.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case inner.ScopeZone:
		return l.zone.usages()
	case inner.ScopeRest:
		return l.rest.usages()
	}
	return l.own
}
