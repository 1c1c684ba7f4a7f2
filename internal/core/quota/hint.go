package quota

import "github.com/sycamoredoor/sycamoredoor/internal/base/clock"

// In a large installation a VM gets no reports of the others, but a relay of its zone gets
// them all and gives the VM a Hint on each account that is near its limit. The VM then
// admits each operation with the same probability as every other VM, so that all of them
// together spend the tokens of the bucket, however the demand is spread. An account that the relay
// leaves out is calm: the VM admits its operations up to a generous credit.
//
// When a flood begins, calm VMs run more than the bucket has until the first hint comes. The
// bucket then has a debt, and little more runs until it is paid, so that a window of some
// seconds holds no more than the limit unless the flood is many times the rate.

const (
	// nearFill is the part of the burst below which an account is near its limit, and
	// nearDemand the demand from which it is, as a part of the rate.
	nearFill   = 0.5
	nearDemand = 0.85
	// calmFill and calmTime set the credit that a message of the relay gives a VM for a
	// calm account: a part of the burst, or the rate for a time if that is more.
	calmFill = 0.25
	calmTime = clock.Millis(400)
	// drainTime is the time in which the tokens of an account near its limit are handed
	// out, and its debt is paid.
	drainTime = clock.Millis(1000)
	// minUsed is the lower bound of the used part of the burst, by which drainTime is shortened.
	minUsed = 0.05
	// HintMaxAge is the age from which the last message of the relay no longer counts.
	HintMaxAge = clock.Millis(900)
)

// Hint is a relay's report of an account that is near its limit.
type Hint struct {
	// Tokens is the estimate of the tokens in the shared bucket, divided by the relay's reach;
	// it may be negative.
	Tokens float64
	// Demand is the rate in operations per second that callers ask of all VMs.
	Demand float64
}

// guidance is the state of the account as of the last message of the relay.
type guidance struct {
	// given is set once there is any, and followed in a VM that gets hints instead of
	// reports.
	given    bool
	followed bool
	near     bool
	received clock.Millis
	// admitted is the probability with which an operation of an account near its limit is
	// admitted.
	admitted float64
	// random is the state of the random numbers that decide this.
	random uint64
}

// Hint returns the hint for other VMs, and false if the account is calm.
func (b Bucket) Hint(now clock.Millis) (Hint, bool) {
	b = b.advance(now)
	demand := b.reachedDemand(now)
	near := b.tokens < nearFill*b.reachBurst() || demand > nearDemand*b.reachRate()
	// The demand that VMs report rises slowly at the beginning of a flood.
	return Hint{Tokens: b.tokens / b.reach, Demand: max(demand, b.recent.rate(now))}, near
}

// WithHint records that the relay counts the account as near its limit.
func (b Bucket) WithHint(h Hint, now clock.Millis) Bucket {
	b = b.withoutPeers().advance(now)
	b.guidance.followed = true
	b.tokens = min(h.Tokens*b.reach, b.reachBurst())
	return b.withNear(h, now)
}

// withNear sets the probability of admission for an account near its limit.
func (b Bucket) withNear(h Hint, now clock.Millis) Bucket {
	// Tokens that accumulate show that the demand is less than the reported one, so a bucket
	// that is nearly full is drained faster.
	used := min(max(1-b.tokens/max(b.reachBurst(), 1e-9), minUsed), 1)
	supply := b.reachRate() + b.tokens/used*float64(clock.Second)/float64(drainTime)
	b.guidance = b.guidance.at(now)
	b.guidance.near, b.guidance.admitted = true, min(max(supply, 0)/max(h.Demand, 1e-9), 1)
	b.credit = max(b.tokens, 0) + b.calmCredit()
	return b
}

// WithCalm records that a message of the relay leaves the account out. It is ignored within
// JoinTime after a hint: the message may be another part of the one with the hint.
func (b Bucket) WithCalm(now clock.Millis) Bucket {
	b = b.withoutPeers().advance(now)
	if b.guidance.followed && b.guidance.near && now-b.guidance.received < JoinTime {
		return b
	}
	b.guidance.followed = true
	return b.withCalm(now)
}

func (b Bucket) withCalm(now clock.Millis) Bucket {
	b.guidance = b.guidance.at(now)
	b.guidance.near = false
	b.credit = min(max(b.credit, b.calmCredit()), max(b.tokens, 0))
	return b
}

// WithOwnHint makes a relay follow the hint that it gives to others.
func (b Bucket) WithOwnHint(now clock.Millis) Bucket {
	b = b.advance(now)
	b.guidance.followed = false
	if h, near := b.Hint(now); near {
		return b.withNear(h, now)
	}
	return b.withCalm(now)
}

// calmCredit returns the operations that a message of the relay allows for a calm account.
func (b Bucket) calmCredit() float64 {
	return max(calmFill*b.reachBurst(), b.reachRate()*float64(calmTime)/float64(clock.Second), 1)
}

// at returns the guidance as given at time now.
func (g guidance) at(now clock.Millis) guidance {
	g.given, g.received = true, now
	return g
}

// WithoutGuidance makes the bucket one of a VM that gets the reports of the others and
// divides the tokens with them by shares.
func (b Bucket) WithoutGuidance() Bucket {
	b.guidance = guidance{random: b.guidance.random}
	return b
}

// WithSeed seeds the random numbers by which operations are admitted. It should differ
// between VMs.
func (b Bucket) WithSeed(seed uint64) Bucket {
	b.guidance.random = seed
	return b
}

func (b Bucket) withoutPeers() Bucket {
	if len(b.peers) > 0 {
		b.peers = map[string]peer{}
	}
	return b
}

// isGuided reports whether a message of the relay came of late.
func (b Bucket) isGuided() bool {
	return b.guidance.given && b.updated-b.guidance.received <= HintMaxAge
}

// admits decides whether an operation of an account near its limit is admitted, by a probability.
func (b Bucket) admits(probability float64) (Bucket, bool) {
	b.guidance.random += 0x9e3779b97f4a7c15
	x := b.guidance.random
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return b, float64(x>>11)/(1<<53) < probability
}

// recentCount counts operations over the current interval of recentInterval and the one
// before.
type recentCount struct {
	since           clock.Millis
	current, before float64
}

// recentInterval is long enough that a VM reports in each.
const recentInterval = clock.Millis(600)

func (c recentCount) with(operations float64, now clock.Millis) recentCount {
	switch elapsed := now - c.since; {
	case elapsed >= 2*recentInterval:
		c = recentCount{since: now}
	case elapsed >= recentInterval:
		c = recentCount{since: now, before: c.current}
	}
	c.current += max(operations, 0)
	return c
}

// rate returns the higher rate of the two intervals, in operations per second.
func (c recentCount) rate(now clock.Millis) float64 {
	c = c.with(0, now)
	perSecond := float64(clock.Second) / float64(recentInterval)
	return max(c.current, c.before) * perSecond
}
