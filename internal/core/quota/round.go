package quota

import (
	"math"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// spareShare is the part of the bucket that all VMs together may run in a round
// beyond their shares.
const spareShare = 0.25

// ownShare returns this VM's share of the bucket: by demand among this VM and the peers that
// report, but at least minShare of an even share. It is even at an isolated VM.
func (b Bucket) ownShare(now clock.Millis) float64 {
	even := 1 / b.vmCount()
	sum := b.reachedDemand(now)
	if b.isolated() || b.guidance.followed {
		return even
	}
	if sum <= 0 {
		return minShare * even
	}
	return max(b.demand/sum, minShare*even)
}

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
	return b, Report{Spent: b.spent, Demand: b.demand, Tokens: b.tokens / b.reach}
}

// spareForRound returns how many operations this VM may run in a round beyond its
// share: an even part of spareShare of the bucket, or one if that is less than one and
// the bucket has more tokens than there are VMs. At a VM that has just started, and has no
// demand and no report of any, it is an even part of the whole bucket, so that the VM can serve
// the first operations.
func (b Bucket) spareForRound() float64 {
	vms := b.vmCount()
	share := spareShare
	if b.updated-b.createdAt < OverdueAfter && b.reachedDemand(b.updated) <= 0 {
		share = 1
	}
	spare := math.Floor(share * b.tokens / vms)
	if spare < 1 && b.tokens > vms {
		return 1
	}
	return spare
}

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
