// Package quota enforces the rate and burst of a client account over all VMs, without
// a VM that owns the account. Each VM estimates one shared token bucket from the reports
// of the others. Between two of its own reports it may spend its share of the tokens left,
// which depends on its demand, and a limited number more. While reports are late it goes
// on with its share, so that a missing message is not in itself a reason to refuse an
// account within its rate. An account over its rate gets about the whole rate.
//
// The shares of all VMs add up to about one, so that together they spend about
// the tokens that the bucket has, however late the reports are.
//
// The reach of a VM is the fraction of the known VMs that are not partitioned from it, itself
// included. The VMs in reach of each other share that fraction of the rate and the burst. All
// VMs know how many there are, so the fractions of the sides of a partition add up to no more
// than the whole. When a VM reports again, its fraction of the tokens is added. What it spent
// meanwhile is not charged, since it came from that fraction. A VM that has received no message
// of any VM for SilenceTimeout spends only its share of the tolerance set by WithVMs.
//
// VMs leave an account without demand out of their messages, so a VM that sends messages
// and no report of the account has no demand for it.
package quota

import (
	"maps"
	"math"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

const (
	// demandTimeConstant is the time constant in milliseconds with which the estimate
	// of demand decays.
	demandTimeConstant = clock.Millis(2000)
	// OverdueAfter is the time without a report, while other messages come, after which a VM
	// has no demand.
	OverdueAfter = clock.Millis(1800)
	// nearTimeout and farTimeout are the times without a message after which a VM of the same
	// or another region is out of reach: three and one and a half of the intervals between
	// messages. A longer time lets both sides of a partition use the whole bucket for longer.
	nearTimeout = clock.Millis(1000)
	farTimeout  = clock.Millis(1500)
	// JoinTime is the time within which the parts of one message arrive. A source that
	// reports an account later than this after it came into reach had no demand before.
	JoinTime = clock.Millis(200)
	// SilenceTimeout is how long a VM that does not report is remembered.
	SilenceTimeout = 8 * clock.Second
	// minShare is the least share of a VM, relative to an even one.
	minShare = 0.25
	// initialFill is the part of the burst with which a bucket starts, since it is not
	// known what was spent before.
	initialFill = 0.5
)

// peer is what is known of another VM, or of several that report together.
type peer struct {
	report   Report
	received clock.Millis
	// spending is what was recently charged for it, or nil. It is never modified. It is a
	// pointer because each report copies the map of peers.
	spending *spending
}

// Bucket is one VM's view of the token bucket of one account. It is an immutable
// value.
type Bucket struct {
	rate, burst float64
	// reach is the fraction of the known VMs whose reports this VM receives, itself included.
	reach float64
	// tokens is the estimate of the tokens in the shared bucket, and credit the part of
	// them that this VM may still take in this round.
	tokens, credit float64
	updated        clock.Millis
	spent          uint64
	demand         float64
	// mix is the demand by priority.
	mix        mix
	peers      map[string]peer
	firstRound bool
	// lastContact is the time of the last message of any other VM, whether or not it
	// reported the account, demandSince the time at which the demand of this VM ceased to
	// be idle, and createdAt the time since which reports are recorded.
	lastContact clock.Millis
	demandSince clock.Millis
	createdAt   clock.Millis
	// vms is the number of VMs, this one included, and tolerance the operations per
	// second over the rate that all of them together may run while they receive no
	// reports from each other.
	vms       int
	tolerance float64
	// allowance is the number of operations that this VM may run after its share is
	// spent, while the bucket has tokens; the tolerance covers the allowances of all
	// VMs.
	allowance float64
	// spareTokens is the number of operations that this VM may run in this round
	// beyond its credit, while the bucket has at least one token for every VM.
	spareTokens float64
	// guidance is set in a VM that gets hints instead of reports.
	guidance guidance
	// recent counts what all VMs have recently spent, and history holds it with the tokens.
	recent  recentCount
	history history
}

// New returns the bucket of an account about which nothing is known. The rate is
// in operations per second.
func New(rate, burst float64, now clock.Millis) Bucket {
	return Bucket{
		rate: rate, burst: burst, reach: 1, tokens: burst * initialFill, updated: now,
		peers: map[string]peer{}, firstRound: true, vms: 1, allowance: 1,
		lastContact: now - SilenceTimeout, createdAt: now, history: newHistory(burst*initialFill, now),
	}
}

// WithVMs sets the number of VMs, and how many operations per second over the rate
// all of them together may run while they receive no reports from each other.
func (b Bucket) WithVMs(vms int, tolerance float64) Bucket {
	b.vms, b.tolerance = max(vms, 1), tolerance
	return b
}

// WithReach sets the reach: the fraction of the known VMs whose reports this VM receives, itself
// included. The tokens change with it. When it grows, the added VMs count with as many tokens
// each as this one until they report, and a debt stays as it is. When it shrinks, the tokens
// become what this fraction of the bucket would have if the lost VMs had been out of reach since
// the given time, that of their last message: until now this VM has spent from the whole bucket,
// and so have they.
func (b Bucket) WithReach(reach float64, since, now clock.Millis) Bucket {
	reach = min(max(reach, 1/float64(b.vms)), 1)
	if reach == b.reach {
		return b
	}
	b = b.advance(now)
	switch {
	case reach < b.reach:
		b.tokens = min(b.tokens*reach/b.reach, b.history.replay(b.rate, b.burst, reach, since, now))
		// What was spent a window ago no longer counts.
		b.tokens = max(b.tokens, -b.rate*reach*maxDebt.Duration().Seconds())
		b.credit = min(b.credit, max(b.tokens, 0))
	case b.tokens > 0:
		b.tokens *= reach / b.reach
	}
	b.reach = reach
	return b
}

// maxDebt bounds the debt after the reach has shrunk, as the time in milliseconds in which
// reachRate repays it.
const maxDebt = 5 * clock.Second

// reachRate returns the rate that this VM shares with the VMs in reach.
func (b Bucket) reachRate() float64 { return b.rate * b.reach }

// reachBurst returns the burst that this VM shares with the VMs in reach.
func (b Bucket) reachBurst() float64 { return b.burst * b.reach }

// vmCount returns the number of VMs in reach, or that of the known peers and this VM if it
// is higher.
func (b Bucket) vmCount() float64 {
	return max(float64(max(b.vms, len(b.peers)+1))*b.reach, 1)
}

// WithoutVMs drops the peers for whose names gone returns true.
func (b Bucket) WithoutVMs(gone func(name string) bool) Bucket {
	for name := range b.peers {
		if gone(name) {
			b.peers = maps.Clone(b.peers)
			maps.DeleteFunc(b.peers, func(name string, _ peer) bool { return gone(name) })
			return b
		}
	}
	return b
}

// isolated reports whether there are other VMs but none that was in contact within
// SilenceTimeout.
func (b Bucket) isolated() bool {
	if b.guidance.followed {
		return b.updated-b.guidance.received >= SilenceTimeout
	}
	return len(b.peers) == 0 && b.vms > 1 && b.updated-b.lastContact >= SilenceTimeout
}

// WithLimit changes the rate and the burst. A higher burst adds the difference to the
// tokens at once.
func (b Bucket) WithLimit(rate, burst float64, now clock.Millis) Bucket {
	if rate == b.rate && burst == b.burst {
		return b
	}
	b = b.advance(now)
	b.tokens = min(b.tokens+max(burst-b.burst, 0)*b.reach, burst*b.reach)
	b.credit = min(b.credit, b.tokens)
	b.rate, b.burst = rate, burst
	return b
}

// advance brings the estimates up to date. It leaves b as it is when now is not
// later than the last update.
func (b Bucket) advance(now clock.Millis) Bucket {
	elapsed := now - b.updated
	if elapsed <= 0 {
		return b
	}
	b.updated = now
	added := b.reachRate() * float64(elapsed) / float64(clock.Second)
	b.tokens = min(b.tokens+added, b.reachBurst())
	b.demand *= math.Exp(-float64(elapsed) / float64(demandTimeConstant))
	b.mix = b.mix.decayed(elapsed)
	b = b.withoutSilent(now)
	b.history = b.history.at(now, b.tokens/b.reach)
	if b.isolated() {
		added = b.tolerance * float64(elapsed) / float64(clock.Second) * b.vmCount() / float64(b.vms)
	}
	if !b.isGuided() {
		b.credit = min(b.credit+added*b.ownShare(now), max(b.tokens, 0))
	}
	allowanceRate := b.tolerance * allowanceShare / float64(b.vms)
	b.allowance = min(b.allowance+allowanceRate*float64(elapsed)/float64(clock.Second), max(allowanceRate, 1))
	return b
}

// allowanceShare is the part of the tolerance that goes to the allowances.
const allowanceShare = 0.5

// withoutSilent drops peers that were silent for longer than SilenceTimeout.
func (b Bucket) withoutSilent(now clock.Millis) Bucket {
	return b.WithoutVMs(func(name string) bool { return now-b.peers[name].received > SilenceTimeout })
}

// spendingFactor returns the part of the demand that is served while it is above the rate.
func (b Bucket) spendingFactor(now clock.Millis) float64 {
	return b.reachRate() / max(b.reachedDemand(now), b.reachRate(), idleDemand)
}

// reachedDemand returns the demand of this VM and the peers whose reports are not overdue.
func (b Bucket) reachedDemand(now clock.Millis) float64 {
	sum := b.demand
	for _, u := range b.peers {
		if now-u.received <= OverdueAfter {
			sum += u.report.Demand
		}
	}
	return sum
}

// WithTake takes one operation of a priority, 0 being the most urgent, from the bucket, and
// reports false when this VM has none left for it. It counts as demand in either case.
func (b Bucket) WithTake(priority int, now clock.Millis) (Bucket, bool) {
	b = b.advance(now)
	b.mix = b.mix.with(priority)
	if b.demand < idleDemand {
		b.demandSince = now
	}
	b.demand += float64(clock.Second) / float64(demandTimeConstant)
	if len(b.peers) == 0 && b.vms <= 1 && !b.guidance.followed {
		b.credit = b.tokens
	}
	guidedNear := b.isGuided() && b.guidance.near
	admitted := !guidedNear
	if guidedNear {
		b, admitted = b.admits(b.mix.admission(priority, b.guidance.admitted))
	}
	reserved := 0.0
	if !guidedNear {
		reserved = b.reserved(priority)
	}
	switch {
	case !admitted, b.tokens < 1 && !guidedNear:
		return b, false
	case b.credit >= 1+reserved:
		b.credit--
	case reserved > 0:
		return b, false
	case b.spareTokens >= 1 && b.tokens >= b.vmCount():
		b.spareTokens--
	case b.allowance >= 1 && !b.isolated() && !guidedNear:
		b.allowance--
	default:
		return b, false
	}
	b.tokens--
	b.spent++
	b.recent, b.history = b.recent.with(1, now), b.history.taken(1)
	return b, true
}

// WithReturn returns an operation that was taken and did not run.
func (b Bucket) WithReturn(now clock.Millis) Bucket {
	b = b.advance(now)
	if b.spent > 0 {
		b.spent--
	}
	b.tokens, b.history = min(b.tokens+1, b.reachBurst()), b.history.taken(-1)
	b.credit = min(b.credit+1, max(b.tokens, 0))
	return b
}

// Tokens returns the estimate of how many operations the account may still run.
func (b Bucket) Tokens(now clock.Millis) float64 { return b.advance(now).tokens }

// Fill returns the tokens divided by the reach, which scales them to the whole burst.
func (b Bucket) Fill(now clock.Millis) float64 { return b.Tokens(now) / b.reach }
