package limit

import (
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// slack is what rounding may add to a sum, relative to the limit.
const slack = 1e-6

// record is the most that one VM may hold.
type record struct {
	name   string
	number uint64
	rate   float64
	burst  float64
	demand float64
	// offered is the demand as it was measured.
	offered float64
	// short is set while statements wait at the VM; at is the moment of its report.
	short bool
	at    clock.Millis
	// expires is the moment at which the VM has certainly stopped using it.
	expires clock.Millis
}

// Owner divides one account.
type Owner struct {
	rate  float64
	burst float64
	// tokens is those of the free part as of the moment at.
	tokens  float64
	at      clock.Millis
	records []record
	// unknown is what earlier owners may have handed to VMs that have not
	// reported yet.
	unknown record
	// unsure is the moment until which the free part may have fewer tokens than
	// the account is due, because some were lost or are not known.
	unsure clock.Millis
	// lowered is the moment until which VMs may hold more than a lowered rate or
	// burst.
	lowered clock.Millis
}

// NewOwner returns the owner of an account that may grant since the moment
// started, and that no other grants since then. Until the parts of earlier
// owners have lapsed or WithKnown says that none is left, it divides only what
// is handed back to it.
func NewOwner(rate, burst float64, started, now clock.Millis) Owner {
	o := Owner{
		rate: rate, burst: burst, at: started,
		unknown: record{rate: rate, burst: burst, expires: started + Lapse},
	}
	o.unsure = o.unknown.expires + o.recovery(burst)
	return o.advance(min(now, o.unknown.expires)).advance(now)
}

// WithKnown notes that every VM that may hold a part has reported it.
func (o Owner) WithKnown(now clock.Millis) Owner {
	o = o.advance(now)
	if o.unknown.burst > 0 || o.unknown.rate > 0 {
		o.unknown = record{expires: now}
		o.unsure = now + o.recovery(o.burst)
	}
	return o
}

// free returns the rate and the burst that nobody holds; they are negative while
// VMs hold more than a lowered rate or burst.
func (o Owner) free() (rate, burst float64) {
	rate, burst = o.rate-o.unknown.rate, o.burst-o.unknown.burst
	for _, r := range o.records {
		rate -= r.rate
		burst -= r.burst
	}
	return rate, burst
}

// Whole reports whether the parts that VMs may hold stay within rate and burst,
// and the tokens within the free burst. For a while after a lower limit it says
// nothing.
func (o Owner) Whole() bool {
	rate, burst := o.free()
	return o.at < o.lowered || rate >= -slack*o.rate && burst >= -slack*o.burst && o.tokens <= max(burst, 0)+slack*o.burst
}

// Held returns the number of VMs that may hold a part.
func (o Owner) Held() int { return len(o.records) }

// Full reports whether nobody holds anything and the bucket is full, so that the
// value need not be kept.
func (o Owner) Full(now clock.Millis) bool {
	o = o.advance(now)
	return len(o.records) == 0 && o.unknown.burst == 0 && o.tokens >= o.burst
}

// advance brings the free part to the moment. The tokens of a part that lapsed
// are lost; its rate fills the free part from here on.
func (o Owner) advance(now clock.Millis) Owner {
	rate, burst := o.free()
	o.tokens = refill(o.tokens, rate, max(burst, 0), now-o.at)
	o.at = max(o.at, now)
	if now >= o.unknown.expires {
		o.unknown = record{expires: o.unknown.expires}
	}
	for _, r := range o.records {
		if now >= r.expires {
			o = o.without(r.name)
			o.unsure = max(o.unsure, now+o.recovery(r.burst))
		}
	}
	return o
}

func (o Owner) without(name string) Owner {
	o.records = slices.DeleteFunc(slices.Clone(o.records), func(r record) bool { return r.name == name })
	return o
}

func (o Owner) with(c record) Owner {
	o.records = slices.Clone(o.records)
	if i := o.find(c.name); i >= 0 {
		o.records[i] = c
		return o
	}
	o.records = append(o.records, c)
	return o
}

func (o Owner) find(name string) int {
	return slices.IndexFunc(o.records, func(r record) bool { return r.name == name })
}

// record returns what is known of a VM, and false when nothing is.
func (o Owner) record(name string) (record, bool) {
	if i := o.find(name); i >= 0 {
		return o.records[i], true
	}
	return record{name: name}, false
}

// WithLimit takes in a change of the account's rate and burst. What is added is
// free at once; what is missing is taken back as VMs report or their parts lapse.
func (o Owner) WithLimit(rate, burst float64, now clock.Millis) Owner {
	if rate == o.rate && burst == o.burst {
		return o
	}
	o = o.advance(now)
	if rate < o.rate || burst < o.burst {
		o.lowered = now + 2*Lapse
	}
	o.rate, o.burst = rate, burst
	_, free := o.free()
	o.tokens = min(o.tokens, max(free, 0))
	return o
}

// WithReport takes in the report of a VM's process and returns the answer. It
// is false for a report that came after a later one, which gets none.
func (o Owner) WithReport(name string, r Report, now clock.Millis) (Owner, Grant, bool) {
	o = o.advance(now)
	last, known := o.record(name)
	if known && r.Number <= last.number {
		return o, Grant{}, false
	}
	if !known {
		last = o.unknown
	}
	r = r.within(last)
	if !known {
		o.unknown.rate -= r.Part.Rate
		o.unknown.burst -= r.Part.Burst
	}
	o = o.with(record{
		name: name, number: r.Number, rate: r.Part.Rate, burst: r.Part.Burst, demand: o.demand(r), offered: r.Demand,
		short: r.Need > 0, at: now, expires: now + Lapse,
	})
	_, free := o.free()
	o.tokens = min(o.tokens+max(r.Back, 0), max(free, 0))
	o, g := o.grant(name, r)
	g.Wait = o.wait(name, now)
	if _, burst := o.free(); g.Burst < 1 && r.Need > 0 && burst >= 1 {
		g.Next = max(o.filling(1-o.tokens), 1)
	}
	if r.Part == (Part{}) && g.Rate == 0 && g.Burst == 0 && r.Demand < least {
		return o.without(name), g, true
	}
	return o, g, true
}

// within returns the report without what the VM can have no more. A report can
// be so late that its part has lapsed and was given to others; the tokens that
// it hands back are lost with the size that covered them.
func (r Report) within(c record) Report {
	r.Part.Rate, r.Part.Burst = min(r.Part.Rate, c.rate), min(r.Part.Burst, c.burst)
	r.Part.Tokens = min(r.Part.Tokens, r.Part.Burst)
	r.Back = min(r.Back, c.burst-r.Part.Burst)
	return r
}

// grant decides what a VM gets that has just reported, and counts it as held.
func (o Owner) grant(name string, r Report) (Owner, Grant) {
	rate, burst := o.target(name, r)
	freeRate, freeBurst := o.free()
	g := Grant{
		Account: r.Account, Number: r.Number,
		Rate:  raise(r.Part.Rate, rate, freeRate, 0),
		Burst: raise(r.Part.Burst, burst, freeBurst, max(1-r.Part.Burst, r.Need-r.Part.Tokens)),
	}
	if g.Burst < 1 {
		g.Rate = 0
	}
	moved := max(g.Burst-r.Part.Burst, 0)
	g.Tokens = o.move(r, moved, freeBurst)
	o.tokens -= g.Tokens
	c, _ := o.record(name)
	c.rate, c.burst = max(c.rate, g.Rate), max(c.burst, g.Burst)
	return o.with(c), g
}
