// Package quota enforces the rate and burst of a client account over all VMs, without
// a VM that owns the account. Each VM estimates one shared token bucket from the reports
// of the others. Between two of its own reports it may spend its share of the tokens left,
// which depends on its demand, and a limited number more. While reports are late it goes
// on with its share, so that a missing message is not in itself a reason to refuse an
// account within its rate. An account over its rate gets about the whole rate.
//
// The shares of all VMs add up to about one, so that together they spend about
// the tokens that the bucket has, however late the reports are. When a VM is cut
// off, both sides go on with the share that it had at its last report. A VM that
// has received no message of any VM for SilenceTimeout spends only its part of the
// tolerance set by WithVMs. VMs leave an account without demand out of their messages, so a
// VM that sends messages and no report of the account has no demand for it.
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
	// OverdueAfter is the time without a report after which a VM's spending is
	// estimated.
	OverdueAfter = clock.Millis(1800)
	// SilenceTimeout is how long a VM that does not report is assumed to go on
	// spending; after it the VM is dropped.
	SilenceTimeout = 8 * clock.Second
	// minShare is the least share of a VM, relative to an even one.
	minShare = 0.25
	// initialFill is the part of the burst with which a bucket starts, since it is not
	// known what was spent before.
	initialFill = 0.5
)

// Report is what a VM reports of its use of an account.
type Report struct {
	// Process identifies the VM's process; a restart changes it.
	Process uint64
	// Spent is the number of operations taken since the process started, less those
	// returned.
	Spent uint64
	// Demand is the rate in operations per second that callers asked for.
	Demand float64
	// Tokens is the VM's estimate of the tokens in the shared bucket.
	Tokens float64
	// Aggregate marks a report for several VMs together. Process is that of the VM that
	// adds them up, and Spent is its count; both change when another VM takes over.
	Aggregate bool
}

// recentlySpent estimates the operations of the last few seconds from the demand.
func (r Report) recentlySpent() float64 {
	return r.Demand * float64(demandTimeConstant) / float64(clock.Second)
}

// peer is what is known of another VM, or of several that report together.
type peer struct {
	report   Report
	received clock.Millis
	// share is the peer's share as of its last report, and estimated the number of
	// operations subtracted from the bucket for it since.
	share     float64
	estimated float64
}

// Bucket is one VM's view of the token bucket of one account. It is an immutable
// value.
type Bucket struct {
	rate, burst float64
	// tokens is the estimate of the tokens in the shared bucket, and credit the part of
	// them that this VM may still take in this round.
	tokens, credit float64
	updated        clock.Millis
	spent          uint64
	demand         float64
	peers          map[string]peer
	firstRound     bool
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
	// recent counts what all VMs have spent of late.
	recent recentCount
}

// New returns the bucket of an account about which nothing is known. The rate is
// in operations per second.
func New(rate, burst float64, now clock.Millis) Bucket {
	return Bucket{
		rate: rate, burst: burst, tokens: burst * initialFill, updated: now, peers: map[string]peer{}, firstRound: true, vms: 1, allowance: 1,
		lastContact: now - SilenceTimeout, createdAt: now,
	}
}

// WithVMs sets the number of VMs, and how many operations per second over the rate
// all of them together may run while they receive no reports from each other.
func (b Bucket) WithVMs(vms int, tolerance float64) Bucket {
	b.vms, b.tolerance = max(vms, 1), tolerance
	return b
}

// vmCount returns the number of VMs: the one set, or that of the known peers and
// this VM if it is higher.
func (b Bucket) vmCount() float64 { return float64(max(b.vms, len(b.peers)+1)) }

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

// WithContacts records that the last message of any other VM came at latest. The function
// contactFunc returns the time of the last message of one peer. A peer that sends messages,
// and has left the account out of them since its last report, has no demand.
func (b Bucket) WithContacts(latest clock.Millis, contactFunc func(name string) clock.Millis, now clock.Millis) Bucket {
	b = b.advance(now)
	b.lastContact = max(b.lastContact, latest)
	var idle []string
	for name, u := range b.peers {
		if contactFunc(name)-u.received > OverdueAfter {
			idle = append(idle, name)
		}
	}
	if len(idle) == 0 {
		return b
	}
	b.peers = maps.Clone(b.peers)
	for _, name := range idle {
		u := b.peers[name]
		b.tokens = min(b.tokens+u.estimated, b.burst)
		u.received, u.report.Demand, u.estimated = contactFunc(name), 0, 0
		u.share = b.silentShare(0, name)
		b.peers[name] = u
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
	b.tokens = min(b.tokens+max(burst-b.burst, 0), burst)
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
	added := b.rate * float64(elapsed) / float64(clock.Second)
	b.tokens = min(b.tokens+added, b.burst)
	b.demand *= math.Exp(-float64(elapsed) / float64(demandTimeConstant))
	b = b.estimateSilent(now)
	if b.isolated() {
		added = b.tolerance * float64(elapsed) / float64(clock.Second)
	}
	if !b.isGuided() {
		b.credit = min(b.credit+added*b.ownShare(now), max(b.tokens, 0))
	}
	allowanceRate := b.tolerance * allowanceShare / float64(b.vms)
	b.allowance = min(b.allowance+allowanceRate*float64(elapsed)/float64(clock.Second), max(allowanceRate, 1))
	return b
}

// spareShare is the part of the bucket that all VMs together may run in a round
// beyond their shares.
const spareShare = 0.25

// allowanceShare is the part of the tolerance that goes to the allowances.
const allowanceShare = 0.5

// estimateSilent subtracts the tokens that peers with an overdue report are assumed
// to have spent, and drops peers that were silent for longer than SilenceTimeout.
func (b Bucket) estimateSilent(now clock.Millis) Bucket {
	for name, u := range b.peers {
		silent := now - u.received
		if silent <= OverdueAfter {
			continue
		}
		b.peers = maps.Clone(b.peers)
		if silent > SilenceTimeout {
			delete(b.peers, name)
			continue
		}
		spent := u.estimatedSpending(b.rate, silent)
		b.tokens -= max(spent-u.estimated, 0)
		u.estimated = max(u.estimated, spent)
		b.peers[name] = u
	}
	return b
}

// estimatedSpending returns the operations that a peer is assumed to have run while
// silent: those its callers asked for until OverdueAfter, and its share of the rate
// from then on.
func (u peer) estimatedSpending(rate float64, silent clock.Millis) float64 {
	asked := min(u.report.Demand, rate) * float64(min(silent, OverdueAfter))
	assumed := u.share * rate * float64(max(silent-OverdueAfter, 0))
	return (asked + assumed) / float64(clock.Second)
}

// ownShare returns this VM's share of the bucket: what the silent peers do not
// keep, divided by demand among this VM and the peers that report, but at least
// minShare of an even share. The share of an isolated VM is even.
func (b Bucket) ownShare(now clock.Millis) float64 {
	if b.isolated() {
		return 1 / float64(b.vms)
	}
	if b.guidance.followed {
		return 1 / b.vmCount()
	}
	sum, reserved := b.demand, 0.0
	for _, u := range b.peers {
		if now-u.received > OverdueAfter {
			reserved += u.share
			continue
		}
		sum += u.report.Demand
	}
	minimum := minShare / b.vmCount()
	if sum <= 0 {
		return minimum
	}
	return max(b.demand/sum*max(1-reserved, 0), minimum)
}

// silentShare returns the share that another VM keeps while it does not report.
// Most of it is by demand and the rest even, since a demand measured over a few
// seconds may be chance.
func (b Bucket) silentShare(demand float64, vm string) float64 {
	sum := b.demand + demand
	for name, u := range b.peers {
		if name != vm {
			sum += u.report.Demand
		}
	}
	even := 1 / float64(max(len(b.peers), 1)+1)
	if sum <= 0 {
		return even
	}
	return (1-evenWeight)*demand/sum + evenWeight*even
}

// evenWeight is the weight of the even share in silentShare.
const evenWeight = 0.3

// WithRound begins a round, in which this VM may take its share of the bucket, and
// returns the report for the other VMs. It is called once for each report that is
// sent; the caller sets the report's Process.
func (b Bucket) WithRound(now clock.Millis) (Bucket, Report) {
	b = b.advance(now)
	// After its first round, an isolated VM gets credit only from the tolerance; see
	// advance.
	if !b.isGuided() && (!b.isolated() || b.firstRound) {
		// A fraction of an operation is kept, so that a small share adds up over rounds.
		b.credit = max(b.ownShare(now)*b.tokens, min(b.credit, 1), 0)
	}
	b.firstRound = false
	b.spareTokens = 0
	if !b.isolated() && !b.isGuided() {
		b.spareTokens = b.spareForRound()
	}
	return b, Report{Spent: b.spent, Demand: b.demand, Tokens: b.tokens}
}

// spareForRound returns how many operations this VM may run in a round beyond its
// share: an even part of spareShare of the bucket, or one if that is less than one and
// the bucket has more tokens than there are VMs.
func (b Bucket) spareForRound() float64 {
	vms := b.vmCount()
	spare := math.Floor(spareShare * b.tokens / vms)
	if spare < 1 && b.tokens > vms {
		return 1
	}
	return spare
}

// WithTake takes one operation from the bucket, and reports false when this VM has
// none left. It counts as demand in either case.
func (b Bucket) WithTake(now clock.Millis) (Bucket, bool) {
	b = b.advance(now)
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
		b, admitted = b.admits()
	}
	switch {
	case !admitted, b.tokens < 1 && !guidedNear:
		return b, false
	case b.credit >= 1:
		b.credit--
	case b.spareTokens >= 1 && b.tokens >= b.vmCount():
		b.spareTokens--
	case b.allowance >= 1 && !b.isolated() && !guidedNear:
		b.allowance--
	default:
		return b, false
	}
	b.tokens--
	b.spent++
	b.recent = b.recent.with(1, now)
	return b, true
}

// WithReturn returns an operation that was taken and did not run.
func (b Bucket) WithReturn(now clock.Millis) Bucket {
	b = b.advance(now)
	if b.spent > 0 {
		b.spent--
	}
	b.tokens = min(b.tokens+1, b.burst)
	b.credit = min(b.credit+1, max(b.tokens, 0))
	return b
}

// WithReport records the report of another VM and corrects the estimate of what it
// spent since its last one.
func (b Bucket) WithReport(vm string, r Report, now clock.Millis) Bucket {
	b = b.advance(now)
	u, known := b.peers[vm]
	b.peers = maps.Clone(b.peers)
	switch {
	case known && u.report.Process == r.Process:
		// Spent may have decreased, by operations that were returned.
		spent := float64(int64(r.Spent - u.report.Spent))
		b.tokens -= spent - u.estimated
		b.recent = b.recent.with(spent, now)
	case known && r.Aggregate:
		// Another VM adds them up now, and its count cannot be compared with the last.
		b.tokens -= u.report.Demand*float64(now-u.received)/float64(clock.Second) - u.estimated
	case known:
		b.tokens -= float64(r.Spent) - u.estimated
	}
	if !known && now-b.createdAt > OverdueAfter {
		// A peer that left the account out until now has run what its demand shows.
		b.tokens -= min(r.recentlySpent(), float64(r.Spent))
	}
	if !known && b.spent == 0 {
		// Until this VM has spent anything, its estimate may be the guess that it started
		// with, so a new peer's lower estimate replaces it.
		b.tokens = min(b.tokens, r.Tokens)
	}
	b.tokens = min(b.tokens, b.burst)
	b.lastContact = now
	b.peers[vm] = peer{report: r, received: now, share: b.silentShare(r.Demand, vm)}
	return b
}

// Tokens returns the estimate of how many operations the account may still run.
func (b Bucket) Tokens(now clock.Millis) float64 { return b.advance(now).tokens }

// RoundUrgent reports whether a new round should begin soon. A VM that has used up its
// credit and spare tokens while the bucket has a token for every VM needs one, unless it
// is isolated. Any other needs one once it has spent many tokens since its last report,
// compared with those left. lastSpent is the Spent of that report.
func (b Bucket) RoundUrgent(lastSpent uint64) bool {
	if b.credit < 1 && b.spareTokens < 1 && b.tokens >= b.vmCount() {
		return !b.isolated()
	}
	return float64(int64(b.spent-lastSpent)) > max(b.tokens, 1)*urgentShare
}

// urgentShare is the part of the tokens left whose use is worth an extra report.
const urgentShare = 0.25

// DemandIsNew reports whether the demand of this VM began so recently that VMs of other
// regions may not have its first report.
func (b Bucket) DemandIsNew(now clock.Millis) bool { return now-b.demandSince < OverdueAfter }

// Idle reports whether the demand has decayed below idleDemand.
func (b Bucket) Idle(now clock.Millis) bool { return b.advance(now).demand < idleDemand }

// idleDemand is the demand in operations per second below which it counts as none.
const idleDemand = 0.02
