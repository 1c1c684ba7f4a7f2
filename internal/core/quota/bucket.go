// Package quota keeps a client account to its rate and burst over all VMs
// without an owner: each VM keeps an estimate of one token bucket from what the
// others report, and spends between two reports at most its share of what is
// left, by demand. An account within its rate is never refused for want of a
// message; one over it gets its whole rate.
//
// The shares of all VMs add up to about one, so that together they spend about
// what is there, however late the reports are. A VM that is not heard keeps the
// share that it had when it was heard last, on both sides of the cut, and after
// Silence it keeps to the part of the tolerance that is its own.
package quota

import (
	"maps"
	"math"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

const (
	// demandTimeConstant is the time constant of the estimate of a demand, in milliseconds.
	demandTimeConstant = clock.Millis(2000)
	// OverdueAfter is the time without a report from which a VM's spending is guessed.
	OverdueAfter = clock.Millis(1800)
	// SilenceTimeout is how long a VM that is not heard is taken to spend on.
	SilenceTimeout = 8 * clock.Second
	// minShare is the share of a VM without a demand, relative to an even one.
	minShare = 0.25
	// initialFill is the part of the burst that a bucket starts with where nothing
	// is known of what was spent before.
	initialFill = 0.5
)

// Report is what a VM says of its use of an account.
type Report struct {
	// Process tells the starts of the VM apart.
	Process uint64
	// Spent counts the operations that were taken since the process started, without
	// those given back.
	Spent uint64
	// Demand is the operations a second that callers wanted.
	Demand float64
	// Tokens is the VM's estimate of the bucket.
	Tokens float64
	// Aggregate marks a report for many VMs together, whose count begins anew when
	// another VM adds them up.
	Aggregate bool
}

// peer is what is known of another VM.
type peer struct {
	report   Report
	received clock.Millis
	// share is the VM's share when it was heard last, and guessed what was taken
	// off since.
	share     float64
	estimated float64
}

// Bucket is one account at one VM. It is never changed.
type Bucket struct {
	rate, burst float64
	// tokens is the estimate for all VMs, credit what this VM may take of it.
	tokens, credit float64
	updated        clock.Millis
	spent          uint64
	demand         float64
	peers          map[string]peer
	firstRound     bool
	// vms is the number of VMs, this one included, and tolerance the operations a
	// second over the rate that all of them may run unheard.
	vms       int
	tolerance float64
	// loan is operations that this VM may run although its share is spent, while
	// the bucket has tokens; the tolerance covers those of all VMs.
	loan float64
	// spareTokens is operations that this VM may run in this round beyond its credit,
	// while the bucket is far from empty.
	spareTokens float64
}

// New returns the bucket of an account of which nothing is known.
func New(rate, burst float64, now clock.Millis) Bucket {
	return Bucket{rate: rate, burst: burst, tokens: burst * initialFill, updated: now, peers: map[string]peer{}, firstRound: true, vms: 1, loan: 1}
}

// WithVMs takes in how many VMs there are, and how many operations a second over
// the rate all of them together may run while they do not hear each other.
func (b Bucket) WithVMs(vms int, tolerance float64) Bucket {
	b.vms, b.tolerance = max(vms, 1), tolerance
	return b
}

// vmCount is the number of VMs.
func (b Bucket) vmCount() float64 { return float64(max(b.vms, len(b.peers)+1)) }

// WithoutVMs forgets what was heard under names that others has not got any more.
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

// isolated reports whether there are other VMs and none is heard.
func (b Bucket) isolated() bool { return len(b.peers) == 0 && b.vms > 1 }

// WithLimit takes in a change of the rate or the burst.
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

// advance brings the estimates to a moment.
func (b Bucket) advance(now clock.Millis) Bucket {
	elapsed := now - b.updated
	if elapsed <= 0 {
		return b
	}
	b.updated = now
	grown := b.rate * float64(elapsed) / float64(clock.Second)
	b.tokens = min(b.tokens+grown, b.burst)
	b.demand *= math.Exp(-float64(elapsed) / float64(demandTimeConstant))
	b = b.estimateSilent(now)
	if b.isolated() {
		grown = b.tolerance * float64(elapsed) / float64(clock.Second)
	}
	b.credit = min(b.credit+grown*b.ownShare(now), max(b.tokens, 0))
	lent := b.tolerance * loanShare / float64(b.vms)
	b.loan = min(b.loan+lent*float64(elapsed)/float64(clock.Second), max(lent, 1))
	return b
}

// spareShare is the part of the bucket that all VMs together may run in a round
// beyond their shares.
const spareShare = 0.25

// loanShare is the part of the tolerance that loans may take.
const loanShare = 0.5

// estimateSilent takes off what VMs spend that have not reported for some time.
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

// estimatedSpending is what a VM has spent that was silent for so long: what it was asked for
// until Overdue, and from then on what it may take.
func (u peer) estimatedSpending(rate float64, silent clock.Millis) float64 {
	asked := min(u.report.Demand, rate) * float64(min(silent, OverdueAfter))
	kept := u.share * rate * float64(max(silent-OverdueAfter, 0))
	return (asked + kept) / float64(clock.Second)
}

// ownShare is the part of the bucket that is this VM's: by demand among those that
// are heard, of what the others do not keep.
func (b Bucket) ownShare(now clock.Millis) float64 {
	if b.isolated() {
		return 1 / float64(b.vms)
	}
	sum, kept := b.demand, 0.0
	for _, u := range b.peers {
		if now-u.received > OverdueAfter {
			kept += u.share
			continue
		}
		sum += u.report.Demand
	}
	least := minShare / b.vmCount()
	if sum <= 0 {
		return least
	}
	return max(b.demand/sum*max(1-kept, 0), least)
}

// silentShare is the share that another VM keeps while it is not heard: mostly by its
// demand, in part even, since a demand that was seen for seconds may be chance.
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

// evenWeight is the part of the shares of VMs that are not heard which is even.
const evenWeight = 0.3

// WithRound begins a round, in which this VM may take its share of the bucket.
// It is called with each report to the others.
func (b Bucket) WithRound(now clock.Millis) (Bucket, Report) {
	b = b.advance(now)
	if !b.isolated() || b.firstRound {
		// What has grown to part of an operation is not lost with the round.
		b.credit = max(b.ownShare(now)*b.tokens, min(b.credit, 1), 0)
	}
	b.firstRound = false
	b.spareTokens = 0
	if !b.isolated() {
		b.spareTokens = b.spareForRound()
	}
	return b, Report{Spent: b.spent, Demand: b.demand, Tokens: b.tokens}
}

// spareForRound is how many operations this VM may run in a round beyond its
// share: part of a bucket that is far from empty, or one while there is one for
// every VM.
func (b Bucket) spareForRound() float64 {
	vms := b.vmCount()
	spare := math.Floor(spareShare * b.tokens / vms)
	if spare < 1 && b.tokens > vms {
		return 1
	}
	return spare
}

// WithTake takes one operation and reports whether there was one.
func (b Bucket) WithTake(now clock.Millis) (Bucket, bool) {
	b = b.advance(now)
	b.demand += float64(clock.Second) / float64(demandTimeConstant)
	if len(b.peers) == 0 && b.vms <= 1 {
		b.credit = b.tokens
	}
	switch {
	case b.tokens < 1:
		return b, false
	case b.credit >= 1:
		b.credit--
	case b.spareTokens >= 1 && b.tokens >= b.vmCount():
		b.spareTokens--
	case b.loan >= 1 && !b.isolated():
		b.loan--
	default:
		return b, false
	}
	b.tokens--
	b.spent++
	return b, true
}

// WithReturn gives back an operation that was taken and has not run.
func (b Bucket) WithReturn(now clock.Millis) Bucket {
	b = b.advance(now)
	if b.spent > 0 {
		b.spent--
	}
	b.tokens = min(b.tokens+1, b.burst)
	b.credit = min(b.credit+1, max(b.tokens, 0))
	return b
}

// WithReport takes in what another VM says.
func (b Bucket) WithReport(vm string, r Report, now clock.Millis) Bucket {
	b = b.advance(now)
	u, known := b.peers[vm]
	b.peers = maps.Clone(b.peers)
	switch {
	case known && u.report.Process == r.Process:
		b.tokens -= float64(int64(r.Spent-u.report.Spent)) - u.estimated
	case known && r.Aggregate:
		b.tokens -= u.report.Demand*float64(now-u.received)/float64(clock.Second) - u.estimated
	case known:
		b.tokens -= float64(r.Spent) - u.estimated
	}
	if !known && b.spent == 0 {
		b.tokens = min(b.tokens, r.Tokens)
	}
	b.tokens = min(b.tokens, b.burst)
	b.peers[vm] = peer{report: r, received: now, share: b.silentShare(r.Demand, vm)}
	return b
}

// Tokens returns the estimate of what the account may still spend.
func (b Bucket) Tokens(now clock.Millis) float64 { return b.advance(now).tokens }

// RoundUrgent reports whether a new round should begin soon: this VM has taken all it
// may in this one, or much of what is left since a report with the given count.
func (b Bucket) RoundUrgent(reported uint64) bool {
	if b.credit < 1 && b.spareTokens < 1 && b.tokens >= b.vmCount() {
		return !b.isolated()
	}
	return float64(int64(b.spent-reported)) > max(b.tokens, 1)*urgentShare
}

// urgentShare is the part of the tokens left that is worth a report of its own.
const urgentShare = 0.25

// Idle reports whether nothing was asked of the account for long.
func (b Bucket) Idle(now clock.Millis) bool { return b.advance(now).demand < idleDemand }

// idleDemand is operations a second that count as none.
const idleDemand = 0.02
