package quota

import (
	"math"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// A VM admits the more urgent operations of an account at its rate first, by the mix that its own
// callers request, and reserves some tokens for them once the bucket is nearly empty. Otherwise a
// burst of searches would take the tokens that the account's orders need a moment later. The number
// of operations admitted in all is the same.

const (
	// priorities is the number of distinct priorities; less urgent ones count as the last.
	priorities = 4
	// mixTimeConstant is the time constant in milliseconds with which the mix of priorities
	// follows the callers. It is longer than that of the demand, since at many VMs an account has
	// few operations a second at each.
	mixTimeConstant = 10 * clock.Second
	// reserveFill is the part of the burst below which tokens are kept for more urgent operations,
	// and reserveTime the time in milliseconds for which they are kept.
	reserveFill = 0.25
	reserveTime = clock.Millis(300)
)

// mix is the demand of a VM's callers by priority, in operations per second.
type mix [priorities]float64

// decayed returns the mix after some milliseconds without an operation.
func (m mix) decayed(elapsed clock.Millis) mix {
	factor := math.Exp(-float64(elapsed) / float64(mixTimeConstant))
	for i := range m {
		m[i] *= factor
	}
	return m
}

// with records an operation.
func (m mix) with(priority int) mix {
	m[class(priority)] += float64(clock.Second) / float64(mixTimeConstant)
	return m
}

// class returns the index of a priority.
func class(priority int) int { return min(max(priority, 0), priorities-1) }

// moreUrgent returns the demand for operations that are more urgent than a priority.
func (m mix) moreUrgent(priority int) float64 {
	sum := 0.0
	for _, demand := range m[:class(priority)] {
		sum += demand
	}
	return sum
}

// admission returns the probability with which an operation of a priority is admitted, for a given
// probability overall of the operations of all priorities. The more urgent ones are admitted up to
// that total, and the less urgent ones get the rest.
func (m mix) admission(priority int, overall float64) float64 {
	own, total := m[class(priority)], m.total()
	if own <= 0 || total <= 0 {
		return overall
	}
	return min(max(overall*total-m.moreUrgent(priority), 0)/own, 1)
}

// total returns the demand for operations of all priorities.
func (m mix) total() float64 {
	sum := 0.0
	for _, demand := range m {
		sum += demand
	}
	return sum
}

// reserved returns the number of tokens that an operation of a priority must leave for more urgent
// ones.
func (b Bucket) reserved(priority int) float64 {
	total := b.mix.total()
	if b.tokens >= reserveFill*b.reachBurst() || total <= 0 {
		return 0
	}
	return b.mix.moreUrgent(priority) / total * b.demand * float64(reserveTime) / float64(clock.Second)
}
