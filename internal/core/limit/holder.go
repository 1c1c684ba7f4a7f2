package limit

import (
	"math"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// Holder is the part of one account at one VM.
type Holder struct {
	part Part
	// at is the moment for which part and demand hold.
	at clock.Millis
	// expires is the moment from which the part must not be used.
	expires clock.Millis
	// number is that of the last report, sent its moment.
	number uint64
	sent   clock.Millis
	// asking is set while the answer to the last report may come.
	asking bool
	// back is tokens that the next report hands back.
	back   float64
	demand float64
	// active is the moment of the last statement.
	active clock.Millis
	// hasty is set when the next report should not wait for the period.
	hasty bool
	// answered is the moment of the last answer.
	answered clock.Millis
	// again is the shortest pause before the next report.
	again clock.Millis
	// patient is the moment until which statements should rather wait.
	patient clock.Millis
}

// NewHolder returns a holder that has nothing.
func NewHolder(now clock.Millis) Holder {
	return Holder{at: now, expires: now, sent: now - Period, active: now, answered: now - Valid, hasty: true}
}

// Part returns what may be spent at the moment.
func (h Holder) Part(now clock.Millis) Part { return h.advance(now).part }

// Patience returns how long a statement may wait for a token, in milliseconds.
// It is long only while the owner says that the account may be due more, or does
// not answer, because then nothing says that the account is over its rate.
func (h Holder) Patience(now clock.Millis) clock.Millis {
	if now < h.patient || h.Silent(now) {
		return long
	}
	return short
}

// Silent reports whether the owner has not answered for longer than it should.
func (h Holder) Silent(now clock.Millis) bool { return now-h.answered > Period+2*Again }

// Waits of a statement in milliseconds.
const (
	short clock.Millis = 120
	long               = Lapse + Period
)

// Idle returns the time since the last statement in milliseconds.
func (h Holder) Idle(now clock.Millis) clock.Millis { return now - h.active }

// Since returns the time since the last report in milliseconds.
func (h Holder) Since(now clock.Millis) clock.Millis { return now - h.sent }

// Number returns the number of the last report.
func (h Holder) Number() uint64 { return h.number }

// advance brings the tokens to the moment. A part whose time is over is gone,
// also when the process was paused meanwhile.
func (h Holder) advance(now clock.Millis) Holder {
	length := now - h.at
	h.at = max(h.at, now)
	h.demand = decay(h.demand, length)
	if idle := now - h.active; idle >= pause && h.demand*float64(idle) >= missing*float64(clock.Second) {
		h.demand, h.hasty = 0, true
	}
	if now >= h.expires {
		h.part, h.back = Part{}, 0
		return h
	}
	h.part.Tokens = refill(h.part.Tokens, h.part.Rate, h.part.Burst, length)
	return h
}

// WithDemand counts one statement that a caller wants to run.
func (h Holder) WithDemand(now clock.Millis) Holder {
	h = h.advance(now)
	h.demand += float64(clock.Second) / float64(memory)
	h.active = now
	return h
}

// WithTake takes one token and reports whether there was one.
func (h Holder) WithTake(now clock.Millis) (Holder, bool) {
	h = h.advance(now)
	if h.part.Tokens < 1 {
		return h, false
	}
	h.part.Tokens--
	if h.part.Rate == 0 {
		h.hasty = true
	}
	return h, true
}

// Next returns the time until the next token of the part in milliseconds, and
// false when the part gives none.
func (h Holder) Next(now clock.Millis) (clock.Millis, bool) {
	p := h.advance(now).part
	switch {
	case p.Tokens >= 1:
		return 0, true
	case p.Rate <= 0 || p.Burst < 1:
		return 0, false
	}
	wait := clock.Millis(math.Ceil((1 - p.Tokens) * float64(clock.Second) / p.Rate))
	return wait, now+wait < h.expires
}

// Due reports whether a report should be sent now. It is sent early for
// statements that wait, and to hand back what the owner asked for.
func (h Holder) Due(need int, now clock.Millis) bool {
	h = h.advance(now)
	since := now - h.sent
	if h.asking || !h.hasty && need == 0 {
		return since >= Period
	}
	return since >= h.again || h.hasty && h.part.Burst > 0
}

// WithReport returns the next report for the owner. It carries the tokens that
// no longer fit the part, and single tokens that were not needed. An answer to an earlier report has no effect any more.
func (h Holder) WithReport(account string, need int, now clock.Millis) (Holder, Report) {
	h = h.advance(now)
	if h.part.Rate == 0 {
		h.back += h.part.Tokens
		h.part = Part{}
	}
	h.number++
	r := Report{Account: account, Number: h.number, Part: h.part, Back: h.back, Demand: h.demand, Need: float64(need)}
	h.sent, h.asking, h.back, h.hasty = now, true, 0, false
	return h, r
}

// WithRelease returns the report that hands everything back.
func (h Holder) WithRelease(account string, now clock.Millis) (Holder, Report) {
	h = h.advance(now)
	h.back += h.part.Tokens
	h.part, h.demand = Part{}, 0
	return h.WithReport(account, 0, now)
}

// WithGrant takes in the owner's answer. The part counts from the moment before
// the report was sent. What is taken away is not used from here on, and reported
// at once when it is much.
func (h Holder) WithGrant(g Grant, now clock.Millis) Holder {
	if !h.asking || g.Number != h.number {
		return h
	}
	h = h.advance(now)
	h.asking, h.patient, h.answered, h.again = false, now+g.Wait, now, Again
	if g.Next > 0 {
		h.again = min(g.Next, Again)
	}
	if now >= h.sent+Valid {
		return h
	}
	h.expires = h.sent + Valid
	held := h.part.Tokens + g.Tokens
	h.hasty = g.Rate < manyTimes*h.part.Rate || held-g.Burst >= 1
	h.part = Part{Rate: g.Rate, Burst: g.Burst, Tokens: min(held, g.Burst)}
	h.back += held - h.part.Tokens
	return h
}

// A demand is over when no statement came for a length of time in milliseconds
// in which so many were due.
const (
	pause   clock.Millis = 200
	missing              = 8
)

// manyTimes is the factor of the rate below which a part counts as much smaller.
const manyTimes = 0.95

// WithLost notes that no answer to the last report will come.
func (h Holder) WithLost() Holder {
	h.asking = false
	return h
}
