package limit

import (
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// roundingError is the most that rounding adds to a sum, relative to the limit.
const roundingError = 1e-6

// holding is the most that one VM may hold, as of its last report.
type holding struct {
	name   string
	number uint64
	rate   float64
	burst  float64
	demand float64
	// measured is the demand that the VM reported; demand is the owner's estimate.
	measured float64
	// waiting is set while statements wait at the VM; reported is the time of its
	// last report.
	waiting  bool
	reported clock.Millis
	// expires is the time by which the VM has certainly stopped using the part.
	expires clock.Millis
}

// Owner is the state of one account's owner: what is unassigned and what VMs may hold.
type Owner struct {
	rate  float64
	burst float64
	// tokens is the number of tokens in the unassigned part at the time updated.
	tokens   float64
	updated  clock.Millis
	holdings []holding
	// unreported is the part that earlier owners may have granted to VMs that have
	// not reported to this one yet.
	unreported holding
	// uncertainUntil is the time until which the unassigned part may have fewer
	// tokens than the account is entitled to, because some were lost or are unknown.
	uncertainUntil clock.Millis
	// loweredUntil is the time until which VMs may still hold more than a lowered
	// rate or burst.
	loweredUntil clock.Millis
}

// NewOwner returns the owner of an account. From the time started this VM must be
// the only one that grants parts of the account. Until the parts of earlier owners
// have expired, or WithAllReported records that every VM has reported, the owner
// divides only what VMs return to it.
func NewOwner(rate, burst float64, started, now clock.Millis) Owner {
	o := Owner{
		rate: rate, burst: burst, updated: started,
		unreported: holding{rate: rate, burst: burst, expires: started + Expiry},
	}
	o.uncertainUntil = o.unreported.expires + o.recoveryTime(burst)
	// Two steps, because the unassigned rate grows when the unreported part expires.
	return o.advance(min(now, o.unreported.expires)).advance(now)
}

// WithAllReported records that every VM that may hold a part has reported it.
func (o Owner) WithAllReported(now clock.Millis) Owner {
	o = o.advance(now)
	if o.unreported.burst > 0 || o.unreported.rate > 0 {
		o.unreported = holding{expires: now}
		o.uncertainUntil = now + o.recoveryTime(o.burst)
	}
	return o
}

// unassigned returns the rate and the burst that no VM holds; they are negative
// while VMs hold more than a lowered rate or burst.
func (o Owner) unassigned() (rate, burst float64) {
	rate, burst = o.rate-o.unreported.rate, o.burst-o.unreported.burst
	for _, h := range o.holdings {
		rate -= h.rate
		burst -= h.burst
	}
	return rate, burst
}

// WithinLimit reports whether the parts that VMs may hold stay within rate and
// burst, and the tokens within the unassigned burst. It is always true for 2*Expiry
// after the limit was lowered, since VMs may still hold parts of the old one.
func (o Owner) WithinLimit() bool {
	rate, burst := o.unassigned()
	return o.updated < o.loweredUntil || rate >= -roundingError*o.rate && burst >= -roundingError*o.burst && o.tokens <= max(burst, 0)+roundingError*o.burst
}

// Holders returns the number of VMs that may hold a part.
func (o Owner) Holders() int { return len(o.holdings) }

// Full reports whether no VM holds a part and the bucket is full; such an owner
// need not be kept.
func (o Owner) Full(now clock.Millis) bool {
	o = o.advance(now)
	return len(o.holdings) == 0 && o.unreported.burst == 0 && o.tokens >= o.burst
}

// advance brings the unassigned part up to date. The tokens of a part that expired
// are lost; from then on its rate fills the unassigned part.
func (o Owner) advance(now clock.Millis) Owner {
	rate, burst := o.unassigned()
	o.tokens = refill(o.tokens, rate, max(burst, 0), now-o.updated)
	o.updated = max(o.updated, now)
	if now >= o.unreported.expires {
		o.unreported = holding{expires: o.unreported.expires}
	}
	for _, h := range o.holdings {
		if now >= h.expires {
			o = o.withoutHolding(h.name)
			o.uncertainUntil = max(o.uncertainUntil, now+o.recoveryTime(h.burst))
		}
	}
	return o
}

func (o Owner) withoutHolding(name string) Owner {
	o.holdings = slices.DeleteFunc(slices.Clone(o.holdings), func(r holding) bool { return r.name == name })
	return o
}

func (o Owner) withHolding(h holding) Owner {
	o.holdings = slices.Clone(o.holdings)
	if i := o.find(h.name); i >= 0 {
		o.holdings[i] = h
		return o
	}
	o.holdings = append(o.holdings, h)
	return o
}

func (o Owner) find(name string) int {
	return slices.IndexFunc(o.holdings, func(r holding) bool { return r.name == name })
}

// holding returns the holding of a VM, and false when there is none.
func (o Owner) holding(name string) (holding, bool) {
	if i := o.find(name); i >= 0 {
		return o.holdings[i], true
	}
	return holding{name: name}, false
}

// WithLimit changes the account's rate and burst. An increase is available at once;
// a decrease takes effect as VMs report or their parts expire.
func (o Owner) WithLimit(rate, burst float64, now clock.Millis) Owner {
	if rate == o.rate && burst == o.burst {
		return o
	}
	o = o.advance(now)
	if rate < o.rate || burst < o.burst {
		// A VM may report its old part until Expiry from now, and that report counts for
		// another Expiry.
		o.loweredUntil = now + 2*Expiry
	}
	o.rate, o.burst = rate, burst
	_, unassignedBurst := o.unassigned()
	o.tokens = min(o.tokens, max(unassignedBurst, 0))
	return o
}

// WithReport records the report of a VM's process and returns the answer. It returns
// false for a repeated report and for one that arrived after a later one; these get no
// answer.
func (o Owner) WithReport(name string, r Report, now clock.Millis) (Owner, Grant, bool) {
	o = o.advance(now)
	last, known := o.holding(name)
	if known && r.Number <= last.number {
		return o, Grant{}, false
	}
	if !known {
		last = o.unreported
	}
	r = r.clamped(last)
	if !known {
		o.unreported.rate -= r.Part.Rate
		o.unreported.burst -= r.Part.Burst
	}
	o = o.withHolding(holding{
		name: name, number: r.Number, rate: r.Part.Rate, burst: r.Part.Burst, demand: o.demandOf(r), measured: r.Demand,
		waiting: r.WaitingStatements > 0, reported: now, expires: now + Expiry,
	})
	_, unassignedBurst := o.unassigned()
	o.tokens = min(o.tokens+max(r.Returned, 0), max(unassignedBurst, 0))
	o, g := o.grant(name, r)
	g.Wait = o.waitTime(name, now)
	if _, burst := o.unassigned(); g.Burst < 1 && r.WaitingStatements > 0 && burst >= 1 {
		g.RetryAfter = max(o.fillTime(1-o.tokens), 1)
	}
	if r.Part == (Part{}) && g.Rate == 0 && g.Burst == 0 && r.Demand < minDemand {
		return o.withoutHolding(name), g, true
	}
	return o, g, true
}

// clamped returns the report reduced to what the VM can still hold. A report can
// be so late that its part has expired and was granted to others; the tokens that
// it returns are then lost along with the burst that covered them.
func (r Report) clamped(held holding) Report {
	r.Part.Rate, r.Part.Burst = min(r.Part.Rate, held.rate), min(r.Part.Burst, held.burst)
	r.Part.Tokens = min(r.Part.Tokens, r.Part.Burst)
	r.Returned = min(r.Returned, held.burst-r.Part.Burst)
	return r
}

// grant decides what a VM that has just reported gets, and records it as held.
func (o Owner) grant(name string, r Report) (Owner, Grant) {
	rate, burst := o.target(name, r)
	unassignedRate, unassignedBurst := o.unassigned()
	g := Grant{
		Account: r.Account, Number: r.Number,
		Rate:  limitIncrease(r.Part.Rate, rate, unassignedRate, 0),
		Burst: limitIncrease(r.Part.Burst, burst, unassignedBurst, max(1-r.Part.Burst, r.WaitingStatements-r.Part.Tokens)),
	}
	if g.Burst < 1 {
		// Such a part never has a whole token.
		g.Rate = 0
	}
	movedBurst := max(g.Burst-r.Part.Burst, 0)
	g.Tokens = o.movedTokens(r, movedBurst, unassignedBurst)
	o.tokens -= g.Tokens
	h, _ := o.holding(name)
	// If the answer is lost, the VM keeps the part that it reported.
	h.rate, h.burst = max(h.rate, g.Rate), max(h.burst, g.Burst)
	return o.withHolding(h), g
}
