package frontend

import (
	"maps"
	"sync"

	"github.com/VictoriaMetrics/metrics"
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
	// region is this VM's region.
	region string
	// roleFunc returns the role of this VM in gossip, which determines the source of usages.
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
	// contacts holds the contact with each source of usages, by its name in the buckets, and
	// lastContact the time of the latest message.
	contacts    map[string]contact
	lastContact clock.Millis
	// reach is the fraction of the known VMs that the usages received here cover, and covered
	// their number; see quota.Bucket.WithReach. VMs that are no longer covered may have been out
	// of reach since reachSince.
	reach      float64
	covered    float64
	reachSince clock.Millis
	// hintedReach is the reach of the relay at its last hints, which came at hintedAt.
	hintedReach float64
	hintedAt    clock.Millis
	// coveredBefore is the number of VMs covered when the role last changed, at roleChangedAt. It
	// is a lower bound for roleGrace.
	coveredBefore float64
	roleChangedAt clock.Millis
	// partRefusals counts operations refused while VMs are out of reach.
	partRefusals *metrics.Counter
}

// newLimiter returns a limiter without accounts. The caller sets the functions.
func newLimiter(c clock.Clock, t Tolerance) *limiter {
	return &limiter{
		clock: c, tolerance: t, buckets: map[string]quota.Bucket{}, reportedSpent: map[string]uint64{},
		zoneTotals: accountTotals{}, hinted: map[string]bool{},
		contacts: map[string]contact{}, lastContact: c.Now() - quota.SilenceTimeout,
		hintedAt: clock.DistantPast, roleChangedAt: clock.DistantPast,
		partRefusals: metrics.GetOrCreateCounter("sycamoredoor_limit_part_refusals_total"),
	}
}

// take takes one operation of a priority from an account's limit and reports whether it is admitted.
func (l *limiter) take(a catalog.Account, priority int) bool {
	vms := l.vmCountFunc()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	b, ok := l.bucket(a, vms, now).WithTake(priority, now)
	l.buckets[a.Name] = b
	if !ok && l.reach < wholeReach {
		l.partRefusals.Inc()
	}
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

// view returns the state of an account's limit for an operation of a priority, without taking one.
func (l *limiter) view(a catalog.Account, priority int) quota.View {
	vms := l.vmCountFunc()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	return l.bucket(a, vms, now).View(priority, now)
}

// bucket returns the bucket of an account with its present limit. The caller holds the
// lock.
func (l *limiter) bucket(a catalog.Account, vms int, now clock.Millis) quota.Bucket {
	b, known := l.buckets[a.Name]
	if !known {
		b = quota.New(a.Rate, a.Burst, now).WithSeed(l.processFunc() ^ xxhash.Sum64String(a.Name))
	}
	b = b.WithLimit(a.Rate, a.Burst, now).WithVMs(vms, l.tolerance.excessRate(a)).WithReach(l.reach, l.reachSince, now)
	if !known {
		// Operations may arrive before the next round of this VM.
		b, _ = b.WithRound(now)
	}
	return b
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
	now := l.clock.Now()
	l.setRole(role, now)
	maps.DeleteFunc(l.contacts, func(_ string, c contact) bool { return now-c.Last > quota.SilenceTimeout })
	l.dropLostSources()
	l.updateReach(vms, now)
	var out []inner.Usage
	for name := range l.buckets {
		a, ok := l.accountFunc(name)
		if !ok {
			delete(l.buckets, name)
			continue
		}
		b := l.buckets[name]
		if role != gossip.Follower {
			// The spending of silent VMs is estimated before the reach excludes them.
			b = b.WithContacts(l.lastContact, l.contact, now)
		}
		l.buckets[name] = b
		b = l.bucket(a, vms, now)
		switch role {
		case gossip.Equal:
			b = b.WithoutGuidance()
		case gossip.Relay:
			b = b.WithOwnHint(now)
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
	l.recordContact(selfName, 1, false, now)
	l.ownUsages = out
}

// dropLostSources drops what VMs without contact have reported of accounts, since VMs that come and go
// have names of their own. The caller holds the lock.
func (l *limiter) dropLostSources() {
	for _, t := range l.zoneTotals {
		t.dropSources(func(source string) bool {
			_, ok := l.contacts[source]
			return source != selfName && !ok
		})
	}
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
		l.mergeHints(g, vms, now)
	}
}

// mergeUsages merges the usages of one source, a VM or a zone. The caller holds the lock.
func (l *limiter) mergeUsages(g inner.Gossip, source string, vms int, now clock.Millis) {
	covered := 1
	if g.Scope != inner.ScopeVM {
		covered = g.Covered
	}
	c := l.recordContact(source, covered, g.Region != l.region, now)
	l.lastContact = now
	// A message does not shrink the reach. A round does, after the buckets have removed the VMs
	// out of reach.
	l.reach = max(l.reach, l.reachAt(vms, now))
	for _, u := range g.Usages {
		a, ok := l.accountFunc(u.Account)
		if !ok {
			continue
		}
		r := quota.Report{
			Process: g.Process, Spent: u.Spent, Demand: float64(u.Demand), Tokens: float64(u.Tokens), Aggregate: g.Scope != inner.ScopeVM,
			Weight: float64(covered) / float64(max(vms, 1)), Joined: c.Joined,
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
			l.announceSurge(a, b, now)
		}
	}
}

// announceSurge starts the next round early if an account comes near its limit, or if the VMs of this
// zone have spent much of its burst, since each relay receives only the usages of its own zone. The
// caller holds the lock.
func (l *limiter) announceSurge(a catalog.Account, b quota.Bucket, now clock.Millis) {
	_, near := b.Hint(now)
	t := l.zoneTotals[a.Name]
	if near && !l.hinted[a.Name] || t != nil && t.surges(a.Burst) {
		l.gossipFunc()
	}
	l.hinted[a.Name] = l.hinted[a.Name] || near
}

// mergeHints merges the usages of a summary for all VMs: those of the accounts that are
// near their limit. The caller holds the lock.
func (l *limiter) mergeHints(g inner.Gossip, vms int, now clock.Millis) {
	l.hintedReach, l.hintedAt = float64(g.Covered)/float64(max(g.Known, 1)), now
	l.reach, l.reachSince = l.reachAt(vms, now), now
	near := make(map[string]quota.Hint, len(g.Usages))
	for _, u := range g.Usages {
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
		return l.zoneTotals.usages(now, l.contact, l.fill)
	case inner.ScopeAll:
		return l.hints(now)
	}
	return l.ownUsages
}

// fill returns the tokens of an account, scaled to the whole burst. The caller holds the lock.
func (l *limiter) fill(account string, now clock.Millis) float64 {
	b, ok := l.buckets[account]
	if !ok {
		return 0
	}
	return b.Fill(now)
}
