package frontend

import (
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/quota"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/gossip"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
)

// Tolerance is how far an account may exceed its limit while VMs receive no messages
// from each other.
type Tolerance struct {
	// Fraction is the excess relative to what the limit allows in Window seconds; Slack
	// is added to it, in operations.
	Fraction float64
	Slack    float64
	Window   float64
}

// excessRate returns the operations per second that an account may run beyond its limit.
func (t Tolerance) excessRate(a catalog.Account) float64 {
	if t.Window <= 0 {
		return 0
	}
	return (t.Fraction*(a.Rate*t.Window+a.Burst) + t.Slack) / t.Window
}

// limiter keeps the accounts to their limits, together with the limiters of the other VMs.
type limiter struct {
	clock     clock.Clock
	tolerance Tolerance
	// accountFunc returns the account of that name in the configuration in force.
	accountFunc func(name string) (catalog.Account, bool)
	// vmCountFunc counts the known VMs, and processFunc identifies this process of the VM.
	vmCountFunc func() int
	processFunc func() uint64
	// roleFunc returns how this VM learns of the use by others.
	roleFunc func() gossip.Role
	// regionGossipFunc starts the next round of gossip within the region early, and
	// gossipFunc that to all VMs.
	regionGossipFunc func()
	gossipFunc       func()

	mu sync.Mutex
	// buckets and reportedSpent are by account. reportedSpent holds the counts that were
	// last sent to the other VMs.
	buckets       map[string]quota.Bucket
	reportedSpent map[string]uint64
	// ownUsages are this VM's usages as of its last round, and zoneTotals the totals over
	// the VMs of its zone. While no relays are used, zoneTotals covers all VMs and is not
	// sent.
	ownUsages  []inner.Usage
	zoneTotals accountTotals
	// role is that of the last round.
	role gossip.Role
	// hinted names the accounts that were near their limit in the last summary for the VMs
	// of this zone.
	hinted map[string]bool
	// contacts holds the time of the last message with usages of each source, by its name
	// in the buckets, and lastContact the latest of them.
	contacts    map[string]clock.Millis
	lastContact clock.Millis
}

// newLimiter returns a limiter without accounts. The caller sets the functions.
func newLimiter(c clock.Clock, t Tolerance) *limiter {
	return &limiter{
		clock: c, tolerance: t, buckets: map[string]quota.Bucket{}, reportedSpent: map[string]uint64{},
		zoneTotals: accountTotals{}, hinted: map[string]bool{},
		contacts: map[string]clock.Millis{}, lastContact: c.Now() - quota.SilenceTimeout,
	}
}

// take takes one operation out of an account's limit and reports whether there was one.
func (l *limiter) take(a catalog.Account) bool {
	vms := l.vmCountFunc()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	b, ok := l.bucket(a, vms, now).WithTake(now)
	l.buckets[a.Name] = b
	switch {
	case !b.RoundUrgent(l.reportedSpent[a.Name]):
	case b.DemandIsNew(now):
		// VMs of other regions reduce their shares once they learn of the demand.
		l.gossipFunc()
	default:
		l.regionGossipFunc()
	}
	return ok
}

// refund returns an operation that was taken and has not run.
func (l *limiter) refund(a catalog.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.buckets[a.Name]; ok {
		l.buckets[a.Name] = b.WithReturn(l.clock.Now())
	}
}

// view returns what this VM knows of an account's limit now. It takes nothing.
func (l *limiter) view(a catalog.Account) quota.View {
	vms := l.vmCountFunc()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	return l.bucket(a, vms, now).View(now)
}

// bucket returns the bucket of an account with its present limit. The caller holds the
// lock.
func (l *limiter) bucket(a catalog.Account, vms int, now clock.Millis) quota.Bucket {
	b, ok := l.buckets[a.Name]
	if !ok {
		b = quota.New(a.Rate, a.Burst, now).WithSeed(l.processFunc() ^ xxhash.Sum64String(a.Name))
	}
	return b.WithLimit(a.Rate, a.Burst, now).WithVMs(vms, l.tolerance.excessRate(a))
}

// createBuckets creates buckets for the accounts that have none, so that the VMs know their
// shares before the first operation.
func (l *limiter) createBuckets(accounts map[string]catalog.Account) {
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

// beginRound begins a round of every bucket and prepares the usages that this VM sends.
// It leaves out idle accounts whose last count has been sent.
func (l *limiter) beginRound() {
	vms, role := l.vmCountFunc(), l.roleFunc()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.role = role
	now := l.clock.Now()
	maps.DeleteFunc(l.contacts, func(_ string, at clock.Millis) bool { return now-at > quota.SilenceTimeout })
	var out []inner.Usage
	for name := range l.buckets {
		a, ok := l.accountFunc(name)
		if !ok {
			delete(l.buckets, name)
			continue
		}
		b := l.bucket(a, vms, now)
		switch role {
		case gossip.Equal:
			b = b.WithoutGuidance().WithContacts(l.lastContact, l.contact, now)
		case gossip.Relay:
			b = b.WithContacts(l.lastContact, l.contact, now).WithOwnHint(now)
		}
		b, r := b.WithRound(now)
		l.buckets[name] = b
		if b.Idle(now) && l.reportedSpent[name] == r.Spent {
			continue
		}
		l.reportedSpent[name] = r.Spent
		out = append(out, inner.Usage{Account: name, Spent: r.Spent, Demand: float32(r.Demand), Tokens: float32(r.Tokens)})
		r.Process = l.processFunc()
		l.zoneTotals.add(name, selfName, r, now)
	}
	l.contacts[selfName] = now
	l.ownUsages = out
}

// contact returns the time of the last message with usages of a source. The caller holds
// the lock.
func (l *limiter) contact(source string) clock.Millis {
	at, ok := l.contacts[source]
	if !ok {
		return l.clock.Now() - quota.SilenceTimeout
	}
	return at
}

// zonePrefix and the name of a zone name the report of that zone in a bucket.
const zonePrefix = "*/"

// mergeGossip merges the usages of a message into the buckets and the totals. It ignores
// usages of several VMs unless fromFirstRelay is set, which means that the sender is the
// first relay of its zone: every relay of a zone reports the same use.
func (l *limiter) mergeGossip(g inner.Gossip, fromFirstRelay bool) {
	vms := l.vmCountFunc()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	switch {
	case g.Scope == inner.ScopeVM:
		l.mergeUsages(g, g.From, vms, now)
	case !fromFirstRelay:
	case g.Scope == inner.ScopeZone && l.role == gossip.Relay:
		l.mergeUsages(g, zonePrefix+string(g.Zone), vms, now)
	case g.Scope == inner.ScopeAll && l.role == gossip.Follower:
		l.mergeHints(g.Usages, vms, now)
	}
}

// mergeUsages merges the usages of one source, a VM or a zone. The caller holds the lock.
func (l *limiter) mergeUsages(g inner.Gossip, source string, vms int, now clock.Millis) {
	l.contacts[source], l.lastContact = now, now
	for _, u := range g.Usages {
		a, ok := l.accountFunc(u.Account)
		if !ok {
			continue
		}
		r := quota.Report{
			Process: g.Process, Spent: u.Spent, Demand: float64(u.Demand), Tokens: float64(u.Tokens), Aggregate: g.Scope != inner.ScopeVM,
		}
		if g.Scope == inner.ScopeVM {
			l.zoneTotals.add(u.Account, source, r, now)
		}
		if l.role == gossip.Follower {
			continue
		}
		b := l.bucket(a, vms, now).WithReport(source, r, now)
		l.buckets[u.Account] = b
		if l.role == gossip.Relay {
			l.tellOfSurge(a, b, now)
		}
	}
}

// tellOfSurge starts the next round early if an account comes near its limit, or if the VMs
// of this zone spend much of it: a relay alone sees a part of a flood. The caller holds the
// lock.
func (l *limiter) tellOfSurge(a catalog.Account, b quota.Bucket, now clock.Millis) {
	_, near := b.Hint(now)
	t := l.zoneTotals[a.Name]
	if near && !l.hinted[a.Name] || t != nil && t.surges(a.Burst) {
		l.gossipFunc()
	}
	l.hinted[a.Name] = l.hinted[a.Name] || near
}

// mergeHints merges the usages of a summary for all VMs: those of the accounts that are
// near their limit. The caller holds the lock.
func (l *limiter) mergeHints(usages []inner.Usage, vms int, now clock.Millis) {
	near := make(map[string]quota.Hint, len(usages))
	for _, u := range usages {
		near[u.Account] = quota.Hint{Tokens: float64(u.Tokens), Demand: float64(u.Demand)}
	}
	for name := range l.buckets {
		a, ok := l.accountFunc(name)
		if !ok {
			continue
		}
		b := l.bucket(a, vms, now)
		if h, ok := near[name]; ok {
			l.buckets[name] = b.WithHint(h, now)
			continue
		}
		l.buckets[name] = b.WithCalm(now)
	}
}

// hints returns the usages of the accounts that are near their limit, for the VMs of this
// zone. The caller holds the lock.
func (l *limiter) hints(now clock.Millis) []inner.Usage {
	clear(l.hinted)
	var out []inner.Usage
	for name, b := range l.buckets {
		if h, near := b.Hint(now); near {
			l.hinted[name] = true
			out = append(out, inner.Usage{Account: name, Demand: float32(h.Demand), Tokens: float32(h.Tokens)})
		}
	}
	return out
}

// usages returns the usages to send for a scope, as of the last round.
func (l *limiter) usages(s inner.Scope) []inner.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	switch s {
	case inner.ScopeZone:
		return l.zoneTotals.usages(now, l.contact)
	case inner.ScopeAll:
		return l.hints(now)
	}
	return l.ownUsages
}
