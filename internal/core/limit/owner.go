package limit

import (
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// roundingError is what rounding may add to a sum, relative to the limit.
const roundingError = 1e-6

// holding is the most that one VM may hold.
type holding struct {
	name   string
	number uint64
	rate   float64
	burst  float64
	demand float64
	// measured is the demand as it was measured.
	measured float64
	// waiting is set while statements wait at the VM; at is the moment of its report.
	waiting  bool
	reported clock.Millis
	// expires is the moment at which the VM has certainly stopped using it.
	expires clock.Millis
}

// Owner divides one account.
type Owner struct {
	rate  float64
	burst float64
	// tokens is those of the free part as of the moment at.
	tokens   float64
	updated  clock.Millis
	holdings []holding
	// unreported is what earlier owners may have handed to VMs that have not
	// reported yet.
	unreported holding
	// uncertainUntil is the moment until which the free part may have fewer tokens than
	// the account is due, because some were lost or are not known.
	uncertainUntil clock.Millis
	// loweredUntil is the moment until which VMs may hold more than a lowered rate or
	// burst.
	loweredUntil clock.Millis
}

// NewOwner returns the owner of an account that may grant since the moment
// started, and that no other grants since then. Until the parts of earlier
// owners have lapsed or WithKnown says that none is left, it divides only what
// is handed back to it.
func NewOwner(rate, burst float64, started, now clock.Millis) Owner {
	o := Owner{
		rate: rate, burst: burst, updated: started,
		unreported: holding{rate: rate, burst: burst, expires: started + Expiry},
	}
	o.uncertainUntil = o.unreported.expires + o.recoveryTime(burst)
	return o.advance(min(now, o.unreported.expires)).advance(now)
}

// WithAllReported notes that every VM that may hold a part has reported it.
func (o Owner) WithAllReported(now clock.Millis) Owner {
	o = o.advance(now)
	if o.unreported.burst > 0 || o.unreported.rate > 0 {
		o.unreported = holding{expires: now}
		o.uncertainUntil = now + o.recoveryTime(o.burst)
	}
	return o
}

// unassigned returns the rate and the burst that nobody holds; they are negative while
// VMs hold more than a lowered rate or burst.
func (o Owner) unassigned() (rate, burst float64) {
	rate, burst = o.rate-o.unreported.rate, o.burst-o.unreported.burst
	for _, r := range o.holdings {
		rate -= r.rate
		burst -= r.burst
	}
	return rate, burst
}

// WithinLimit reports whether the parts that VMs may hold stay within rate and burst,
// and the tokens within the free burst. For a while after a lower limit it says
// nothing.
func (o Owner) WithinLimit() bool {
	rate, burst := o.unassigned()
	return o.updated < o.loweredUntil || rate >= -roundingError*o.rate && burst >= -roundingError*o.burst && o.tokens <= max(burst, 0)+roundingError*o.burst
}

// Holders returns the number of VMs that may hold a part.
func (o Owner) Holders() int { return len(o.holdings) }

// Full reports whether nobody holds anything and the bucket is full, so that the
// value need not be kept.
func (o Owner) Full(now clock.Millis) bool {
	o = o.advance(now)
	return len(o.holdings) == 0 && o.unreported.burst == 0 && o.tokens >= o.burst
}

// advance brings the free part to the moment. The tokens of a part that lapsed
// are lost; its rate fills the free part from here on.
func (o Owner) advance(now clock.Millis) Owner {
	rate, burst := o.unassigned()
	o.tokens = refill(o.tokens, rate, max(burst, 0), now-o.updated)
	o.updated = max(o.updated, now)
	if now >= o.unreported.expires {
		o.unreported = holding{expires: o.unreported.expires}
	}
	for _, r := range o.holdings {
		if now >= r.expires {
			o = o.withoutHolding(r.name)
			o.uncertainUntil = max(o.uncertainUntil, now+o.recoveryTime(r.burst))
		}
	}
	return o
}

func (o Owner) withoutHolding(name string) Owner {
	o.holdings = slices.DeleteFunc(slices.Clone(o.holdings), func(r holding) bool { return r.name == name })
	return o
}

func (o Owner) withHolding(c holding) Owner {
	o.holdings = slices.Clone(o.holdings)
	if i := o.find(c.name); i >= 0 {
		o.holdings[i] = c
		return o
	}
	o.holdings = append(o.holdings, c)
	return o
}

func (o Owner) find(name string) int {
	return slices.IndexFunc(o.holdings, func(r holding) bool { return r.name == name })
}

// holding returns what is known of a VM, and false when nothing is.
func (o Owner) holding(name string) (holding, bool) {
	if i := o.find(name); i >= 0 {
		return o.holdings[i], true
	}
	return holding{name: name}, false
}

// WithLimit takes in a change of the account's rate and burst. What is added is
// free at once; what is missing is taken back as VMs report or their parts lapse.
func (o Owner) WithLimit(rate, burst float64, now clock.Millis) Owner {
	if rate == o.rate && burst == o.burst {
		return o
	}
	o = o.advance(now)
	if rate < o.rate || burst < o.burst {
		o.loweredUntil = now + 2*Expiry
	}
	o.rate, o.burst = rate, burst
	_, free := o.unassigned()
	o.tokens = min(o.tokens, max(free, 0))
	return o
}

// WithReport takes in the report of a VM's process and returns the answer. It
// is false for a report that came after a later one, which gets none.
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
		waiting: r.Waiting > 0, reported: now, expires: now + Expiry,
	})
	_, free := o.unassigned()
	o.tokens = min(o.tokens+max(r.Returned, 0), max(free, 0))
	o, g := o.grant(name, r)
	g.Wait = o.waitTime(name, now)
	if _, burst := o.unassigned(); g.Burst < 1 && r.Waiting > 0 && burst >= 1 {
		g.RetryAfter = max(o.fillTime(1-o.tokens), 1)
	}
	if r.Part == (Part{}) && g.Rate == 0 && g.Burst == 0 && r.Demand < minDemand {
		return o.withoutHolding(name), g, true
	}
	return o, g, true
}

// clamped returns the report without what the VM can have no more. A report can
// be so late that its part has lapsed and was given to others; the tokens that
// it hands back are lost with the size that covered them.
func (r Report) clamped(c holding) Report {
	r.Part.Rate, r.Part.Burst = min(r.Part.Rate, c.rate), min(r.Part.Burst, c.burst)
	r.Part.Tokens = min(r.Part.Tokens, r.Part.Burst)
	r.Returned = min(r.Returned, c.burst-r.Part.Burst)
	return r
}

// grant decides what a VM gets that has just reported, and counts it as held.
func (o Owner) grant(name string, r Report) (Owner, Grant) {
	rate, burst := o.target(name, r)
	freeRate, freeBurst := o.unassigned()
	g := Grant{
		Account: r.Account, Number: r.Number,
		Rate:  increased(r.Part.Rate, rate, freeRate, 0),
		Burst: increased(r.Part.Burst, burst, freeBurst, max(1-r.Part.Burst, r.Waiting-r.Part.Tokens)),
	}
	if g.Burst < 1 {
		g.Rate = 0
	}
	moved := max(g.Burst-r.Part.Burst, 0)
	g.Tokens = o.movedTokens(r, moved, freeBurst)
	o.tokens -= g.Tokens
	c, _ := o.holding(name)
	c.rate, c.burst = max(c.rate, g.Rate), max(c.burst, g.Burst)
	return o.withHolding(c), g
}
