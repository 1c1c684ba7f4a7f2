package limit

import (
	"math"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// Holder is the part of one account at one VM.
type Holder struct {
	part Part
	// updated is the moment for which part and demand hold.
	updated clock.Millis
	// expires is the moment from which the part must not be used.
	expires clock.Millis
	// number is that of the last report, sent its moment.
	number   uint64
	reported clock.Millis
	// pending is set while the answer to the last report may come.
	pending bool
	// returned is tokens that the next report hands back.
	returned float64
	demand   float64
	// lastStatement is the moment of the last statement.
	lastStatement clock.Millis
	// urgent is set when the next report should not wait for the period.
	urgent bool
	// answered is the moment of the last answer.
	answered clock.Millis
	// minInterval is the shortest pause before the next report.
	minInterval clock.Millis
	// waitUntil is the moment until which statements should rather wait.
	waitUntil clock.Millis
}

// NewHolder returns a holder that has nothing.
func NewHolder(now clock.Millis) Holder {
	return Holder{updated: now, expires: now, reported: now - ReportInterval, lastStatement: now, answered: now - Validity, urgent: true}
}

// Part returns what may be spent at the moment.
func (h Holder) Part(now clock.Millis) Part { return h.advance(now).part }

// MaxWait returns how long a statement may wait for a token, in milliseconds.
// It is long only while the owner says that the account may be due more, or does
// not answer, because then nothing says that the account is over its rate.
func (h Holder) MaxWait(now clock.Millis) clock.Millis {
	if now < h.waitUntil || h.OwnerSilent(now) {
		return longWait
	}
	return shortWait
}

// OwnerSilent reports whether the owner has not answered for longer than it should.
func (h Holder) OwnerSilent(now clock.Millis) bool {
	return now-h.answered > ReportInterval+2*MinReportInterval
}

// Waits of a statement in milliseconds.
const (
	shortWait clock.Millis = 120
	longWait               = Expiry + ReportInterval
)

// IdleTime returns the time since the last statement in milliseconds.
func (h Holder) IdleTime(now clock.Millis) clock.Millis { return now - h.lastStatement }

// SinceReport returns the time since the last report in milliseconds.
func (h Holder) SinceReport(now clock.Millis) clock.Millis { return now - h.reported }

// Number returns the number of the last report.
func (h Holder) Number() uint64 { return h.number }

// advance brings the tokens to the moment. A part whose time is over is gone,
// also when the process was paused meanwhile.
func (h Holder) advance(now clock.Millis) Holder {
	elapsed := now - h.updated
	h.updated = max(h.updated, now)
	h.demand = decay(h.demand, elapsed)
	if idle := now - h.lastStatement; idle >= minIdle && h.demand*float64(idle) >= missedStatements*float64(clock.Second) {
		h.demand, h.urgent = 0, true
	}
	if now >= h.expires {
		h.part, h.returned = Part{}, 0
		return h
	}
	h.part.Tokens = refill(h.part.Tokens, h.part.Rate, h.part.Burst, elapsed)
	return h
}

// WithDemand counts one statement that a caller wants to run.
func (h Holder) WithDemand(now clock.Millis) Holder {
	h = h.advance(now)
	h.demand += float64(clock.Second) / float64(demandTimeConstant)
	h.lastStatement = now
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
		h.urgent = true
	}
	return h, true
}

// NextToken returns the time until the next token of the part in milliseconds, and
// false when the part gives none.
func (h Holder) NextToken(now clock.Millis) (clock.Millis, bool) {
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

// ReportDue reports whether a report should be sent now. It is sent early for
// statements that wait, and to hand back what the owner asked for.
func (h Holder) ReportDue(waiting int, now clock.Millis) bool {
	h = h.advance(now)
	since := now - h.reported
	if h.pending || !h.urgent && waiting == 0 {
		return since >= ReportInterval
	}
	return since >= h.minInterval || h.urgent && h.part.Burst > 0
}

// WithReport returns the next report for the owner. It carries the tokens that
// no longer fit the part, and single tokens that were not needed. An answer to an earlier report has no effect any more.
func (h Holder) WithReport(account string, waiting int, now clock.Millis) (Holder, Report) {
	h = h.advance(now)
	if h.part.Rate == 0 {
		h.returned += h.part.Tokens
		h.part = Part{}
	}
	h.number++
	r := Report{Account: account, Number: h.number, Part: h.part, Returned: h.returned, Demand: h.demand, Waiting: float64(waiting)}
	h.reported, h.pending, h.returned, h.urgent = now, true, 0, false
	return h, r
}

// WithRelease returns the report that hands everything back.
func (h Holder) WithRelease(account string, now clock.Millis) (Holder, Report) {
	h = h.advance(now)
	h.returned += h.part.Tokens
	h.part, h.demand = Part{}, 0
	return h.WithReport(account, 0, now)
}

// WithGrant takes in the owner's answer. The part counts from the moment before
// the report was sent. What is taken away is not used from here on, and reported
// at once when it is much.
func (h Holder) WithGrant(g Grant, now clock.Millis) Holder {
	if !h.pending || g.Number != h.number {
		return h
	}
	h = h.advance(now)
	h.pending, h.waitUntil, h.answered, h.minInterval = false, now+g.Wait, now, MinReportInterval
	if g.RetryAfter > 0 {
		h.minInterval = min(g.RetryAfter, MinReportInterval)
	}
	if now >= h.reported+Validity {
		return h
	}
	h.expires = h.reported + Validity
	held := h.part.Tokens + g.Tokens
	h.urgent = g.Rate < shrinkThreshold*h.part.Rate || held-g.Burst >= 1
	h.part = Part{Rate: g.Rate, Burst: g.Burst, Tokens: min(held, g.Burst)}
	h.returned += held - h.part.Tokens
	return h
}

// A demand is over when no statement came for a length of time in milliseconds
// in which so many were due.
const (
	minIdle          clock.Millis = 200
	missedStatements              = 8
)

// shrinkThreshold is the factor of the rate below which a part counts as much smaller.
const shrinkThreshold = 0.95

// WithAnswerLost notes that no answer to the last report will come.
func (h Holder) WithAnswerLost() Holder {
	h.pending = false
	return h
}
