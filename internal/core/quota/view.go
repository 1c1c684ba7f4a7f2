package quota

import "github.com/sycamoredoor/sycamoredoor/internal/base/clock"

// View is what a VM knows of an account's limit, for operators.
type View struct {
	Rate, Burst float64
	// Tokens is the estimate of the tokens in the shared bucket, and Credit the part of them
	// that this VM may still take in this round.
	Tokens, Credit float64
	// Share is this VM's share of the bucket, from 0 to 1.
	Share float64
	// Demand is the rate in operations per second that callers of this VM asked for.
	Demand float64
	// VMs is the number of VMs that share the bucket.
	VMs int
	// Isolated is set while no message of another VM arrives.
	Isolated bool
	// Admits reports whether an operation that came now would be admitted.
	Admits bool
	// Probability is that with which operations are admitted while the account is near its limit
	// by the hints of a relay, else 1.
	Probability float64
}

// View returns what is known of the limit now, for an operation of a priority. It takes nothing.
func (b Bucket) View(priority int, now clock.Millis) View {
	_, admits := b.WithTake(priority, now)
	b = b.advance(now)
	v := View{
		Rate: b.rate, Burst: b.burst, Tokens: b.tokens, Credit: b.credit, Share: b.ownShare(now), Demand: b.demand,
		VMs: int(b.vmCount()), Isolated: b.isolated(), Admits: admits, Probability: 1,
	}
	if b.isGuided() && b.guidance.near {
		v.Probability = b.mix.with(priority).admission(priority, b.guidance.admitted)
	}
	return v
}
