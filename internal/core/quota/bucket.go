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
	// memory is the time constant of the estimate of a demand, in milliseconds.
	memory = clock.Millis(2000)
	// Overdue is the time without a report from which a VM's spending is guessed.
	Overdue = clock.Millis(1800)
	// Silence is how long a VM that is not heard is taken to spend on.
	Silence = 8 * clock.Second
	// leastShare is the share of a VM without a demand, relative to an even one.
	leastShare = 0.25
	// firstTokens is the part of the burst that a bucket starts with where nothing
	// is known of what was spent before.
	firstTokens = 0.5
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
	// Sum marks a report for many VMs together, whose count begins anew when
	// another VM adds them up.
	Sum bool
}

// use is what is known of another VM.
type use struct {
	report Report
	at     clock.Millis
	// share is the VM's share when it was heard last, and guessed what was taken
	// off since.
	share   float64
	guessed float64
}

// Bucket is one account at one VM. It is never changed.
type Bucket struct {
	rate, burst float64
	// tokens is the estimate for all VMs, credit what this VM may take of it.
	tokens, credit float64
	at             clock.Millis
	spent          uint64
	demand         float64
	others         map[string]use
	fresh          bool
	// vms is the number of VMs, this one included, and tolerance the operations a
	// second over the rate that all of them may run unheard.
	vms       int
	tolerance float64
	// loan is operations that this VM may run although its share is spent, while
	// the bucket has tokens; the tolerance covers those of all VMs.
	loan float64
	// spare is operations that this VM may run in this round beyond its credit,
	// while the bucket is far from empty.
	spare float64
}

// New returns the bucket of an account of which nothing is known.
func New(rate, burst float64, now clock.Millis) Bucket {
	return Bucket{rate: rate, burst: burst, tokens: burst * firstTokens, at: now, others: map[string]use{}, fresh: true, vms: 1, loan: 1}
}

// WithVMs takes in how many VMs there are, and how many operations a second over
// the rate all of them together may run while they do not hear each other.
func (b Bucket) WithVMs(vms int, tolerance float64) Bucket {
	b.vms, b.tolerance = max(vms, 1), tolerance
	return b
}

// count is the number of VMs.
func (b Bucket) count() float64 { return float64(max(b.vms, len(b.others)+1)) }

// Without forgets what was heard under names that others has not got any more.
func (b Bucket) Without(gone func(name string) bool) Bucket {
	for name := range b.others {
		if gone(name) {
			b.others = maps.Clone(b.others)
			maps.DeleteFunc(b.others, func(name string, _ use) bool { return gone(name) })
			return b
		}
	}
	return b
}

// alone reports whether there are other VMs and none is heard.
func (b Bucket) alone() bool { return len(b.others) == 0 && b.vms > 1 }

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
	length := now - b.at
	if length <= 0 {
		return b
	}
	b.at = now
	grown := b.rate * float64(length) / float64(clock.Second)
	b.tokens = min(b.tokens+grown, b.burst)
	b.demand *= math.Exp(-float64(length) / float64(memory))
	b = b.guess(now)
	if b.alone() {
		grown = b.tolerance * float64(length) / float64(clock.Second)
	}
	b.credit = min(b.credit+grown*b.share(now), max(b.tokens, 0))
	lent := b.tolerance * loanPart / float64(b.vms)
	b.loan = min(b.loan+lent*float64(length)/float64(clock.Second), max(lent, 1))
	return b
}

// sparePart is the part of the bucket that all VMs together may run in a round
// beyond their shares.
const sparePart = 0.25

// loanPart is the part of the tolerance that loans may take.
const loanPart = 0.5

// guess takes off what VMs spend that have not reported for some time.
func (b Bucket) guess(now clock.Millis) Bucket {
	for name, u := range b.others {
		silent := now - u.at
		if silent <= Overdue {
			continue
		}
		b.others = maps.Clone(b.others)
		if silent > Silence {
			delete(b.others, name)
			continue
		}
		spent := u.unheard(b.rate, silent)
		b.tokens -= max(spent-u.guessed, 0)
		u.guessed = max(u.guessed, spent)
		b.others[name] = u
	}
	return b
}

// unheard is what a VM has spent that was silent for so long: what it was asked for
// until Overdue, and from then on what it may take.
func (u use) unheard(rate float64, silent clock.Millis) float64 {
	asked := min(u.report.Demand, rate) * float64(min(silent, Overdue))
	kept := u.share * rate * float64(max(silent-Overdue, 0))
	return (asked + kept) / float64(clock.Second)
}

// share is the part of the bucket that is this VM's: by demand among those that
// are heard, of what the others do not keep.
func (b Bucket) share(now clock.Millis) float64 {
	if b.alone() {
		return 1 / float64(b.vms)
	}
	sum, kept := b.demand, 0.0
	for _, u := range b.others {
		if now-u.at > Overdue {
			kept += u.share
			continue
		}
		sum += u.report.Demand
	}
	least := leastShare / b.count()
	if sum <= 0 {
		return least
	}
	return max(b.demand/sum*max(1-kept, 0), least)
}

// shareOf is the share that another VM keeps while it is not heard: mostly by its
// demand, in part even, since a demand that was seen for seconds may be chance.
func (b Bucket) shareOf(demand float64, vm string) float64 {
	sum := b.demand + demand
	for name, u := range b.others {
		if name != vm {
			sum += u.report.Demand
		}
	}
	even := 1 / float64(max(len(b.others), 1)+1)
	if sum <= 0 {
		return even
	}
	return (1-evenPart)*demand/sum + evenPart*even
}

// evenPart is the part of the shares of VMs that are not heard which is even.
const evenPart = 0.3

// WithRound begins a round, in which this VM may take its share of the bucket.
// It is called with each report to the others.
func (b Bucket) WithRound(now clock.Millis) (Bucket, Report) {
	b = b.advance(now)
	if !b.alone() || b.fresh {
		// What has grown to part of an operation is not lost with the round.
		b.credit = max(b.share(now)*b.tokens, min(b.credit, 1), 0)
	}
	b.fresh = false
	b.spare = 0
	if !b.alone() {
		b.spare = b.spareOperations()
	}
	return b, Report{Spent: b.spent, Demand: b.demand, Tokens: b.tokens}
}

// spareOperations is how many operations this VM may run in a round beyond its
// share: part of a bucket that is far from empty, or one while there is one for
// every VM.
func (b Bucket) spareOperations() float64 {
	vms := b.count()
	spare := math.Floor(sparePart * b.tokens / vms)
	if spare < 1 && b.tokens > vms {
		return 1
	}
	return spare
}

// WithTake takes one operation and reports whether there was one.
func (b Bucket) WithTake(now clock.Millis) (Bucket, bool) {
	b = b.advance(now)
	b.demand += float64(clock.Second) / float64(memory)
	if len(b.others) == 0 && b.vms <= 1 {
		b.credit = b.tokens
	}
	switch {
	case b.tokens < 1:
		return b, false
	case b.credit >= 1:
		b.credit--
	case b.spare >= 1 && b.tokens >= b.count():
		b.spare--
	case b.loan >= 1 && !b.alone():
		b.loan--
	default:
		return b, false
	}
	b.tokens--
	b.spent++
	return b, true
}

// WithBack gives back an operation that was taken and has not run.
func (b Bucket) WithBack(now clock.Millis) Bucket {
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
	u, known := b.others[vm]
	b.others = maps.Clone(b.others)
	switch {
	case known && u.report.Process == r.Process:
		b.tokens -= float64(int64(r.Spent-u.report.Spent)) - u.guessed
	case known && r.Sum:
		b.tokens -= u.report.Demand*float64(now-u.at)/float64(clock.Second) - u.guessed
	case known:
		b.tokens -= float64(r.Spent) - u.guessed
	}
	if !known && b.spent == 0 {
		b.tokens = min(b.tokens, r.Tokens)
	}
	b.tokens = min(b.tokens, b.burst)
	b.others[vm] = use{report: r, at: now, share: b.shareOf(r.Demand, vm)}
	return b
}

// Tokens returns the estimate of what the account may still spend.
func (b Bucket) Tokens(now clock.Millis) float64 { return b.advance(now).tokens }

// Urgent reports whether a new round should begin soon: this VM has taken all it
// may in this one, or much of what is left since a report with the given count.
func (b Bucket) Urgent(reported uint64) bool {
	if b.credit < 1 && b.spare < 1 && b.tokens >= b.count() {
		return !b.alone()
	}
	return float64(int64(b.spent-reported)) > max(b.tokens, 1)*urgentPart
}

// urgentPart is the part of the tokens left that is worth a report of its own.
const urgentPart = 0.25

// Idle reports whether nothing was asked of the account for long.
func (b Bucket) Idle(now clock.Millis) bool { return b.advance(now).demand < idleDemand }

// idleDemand is operations a second that count as none.
const idleDemand = 0.02
