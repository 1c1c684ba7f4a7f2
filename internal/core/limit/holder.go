package limit

import (
	"math"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// Holder is the state of one account's part at the VM that holds it.
type Holder struct {
	part Part
	// updated is the time at which part and demand were brought up to date.
	updated clock.Millis
	// expires is the time from which the part must not be used.
	expires clock.Millis
	// number is that of the last report, and reported the time it was sent.
	number   uint64
	reported clock.Millis
	// pending is set while the answer to the last report is outstanding.
	pending bool
	// returned is the number of tokens that the next report returns to the owner.
	returned float64
	demand   float64
	// lastStatement is the time of the last statement.
	lastStatement clock.Millis
	// urgent is set when the next report should not wait for ReportInterval.
	urgent bool
	// answered is the time of the last answer.
	answered clock.Millis
	// minInterval is the least time between the last report and the next.
	minInterval clock.Millis
	// waitUntil is the time until which statements should wait, not be refused.
	waitUntil clock.Millis
}

// NewHolder returns a holder with an empty part. Its first report is due at once, and
// the owner counts as silent until it answers.
func NewHolder(now clock.Millis) Holder {
	return Holder{updated: now, expires: now, reported: now - ReportInterval, lastStatement: now, answered: now - Validity, urgent: true}
}

// Part returns the part that may be spent at now; it is zero after it expired.
func (h Holder) Part(now clock.Millis) Part { return h.advance(now).part }

// MaxWait returns how long a statement may wait for a token, in milliseconds.
// The wait is long only while the owner reports that the account may be entitled
// to more, or does not answer, because then it is not known that the account is
// over its rate.
func (h Holder) MaxWait(now clock.Millis) clock.Millis {
	if now < h.waitUntil || h.OwnerSilent(now) {
		return longWait
	}
	return shortWait
}

// OwnerSilent reports whether an answer of the owner is overdue.
func (h Holder) OwnerSilent(now clock.Millis) bool {
	return now-h.answered > ReportInterval+2*MinReportInterval
}

// Limits in milliseconds on how long a statement waits; see MaxWait.
const (
	shortWait clock.Millis = 120
	longWait               = Expiry + ReportInterval
)

// IdleTime returns the time since the last statement in milliseconds.
func (h Holder) IdleTime(now clock.Millis) clock.Millis { return now - h.lastStatement }

// TimeSinceReport returns the time since the last report in milliseconds.
func (h Holder) TimeSinceReport(now clock.Millis) clock.Millis { return now - h.reported }

// Number returns the Number of the last report.
func (h Holder) Number() uint64 { return h.number }

// advance brings the tokens and the demand up to date. A part that has expired is
// dropped, also when the process was paused while it expired.
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

// WithTake takes one token, and reports false when there is none.
func (h Holder) WithTake(now clock.Millis) (Holder, bool) {
	h = h.advance(now)
	if h.part.Tokens < 1 {
		return h, false
	}
	h.part.Tokens--
	if h.part.Rate == 0 {
		// The part is not refilled. The next report returns it, and the answer may grant
		// another.
		h.urgent = true
	}
	return h, true
}

// NextToken returns the time until the part has a token, in milliseconds, and
// false when it will have none before it expires.
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

// ReportDue reports whether a report should be sent now. It is due early when
// statements wait or it is urgent, such as one after a large reduction of the part, but
// not while an answer is outstanding.
func (h Holder) ReportDue(waiting int, now clock.Millis) bool {
	h = h.advance(now)
	since := now - h.reported
	if h.pending || !h.urgent && waiting == 0 {
		return since >= ReportInterval
	}
	return since >= h.minInterval || h.urgent && h.part.Burst > 0
}

// WithReport returns the next report for the owner. The report returns the tokens
// that no longer fit the part, and those left in a part without a rate, such as a
// single token granted for a waiting statement. Answers to earlier reports are ignored
// from here on.
func (h Holder) WithReport(account string, waiting int, now clock.Millis) (Holder, Report) {
	h = h.advance(now)
	if h.part.Rate == 0 {
		h.returned += h.part.Tokens
		h.part = Part{}
	}
	h.number++
	r := Report{Account: account, Number: h.number, Part: h.part, Returned: h.returned, Demand: h.demand, WaitingStatements: float64(waiting)}
	h.reported, h.pending, h.returned, h.urgent = now, true, 0, false
	return h, r
}

// WithRelease returns a report that releases the whole part.
func (h Holder) WithRelease(account string, now clock.Millis) (Holder, Report) {
	h = h.advance(now)
	h.returned += h.part.Tokens
	h.part, h.demand = Part{}, 0
	return h.WithReport(account, 0, now)
}

// WithGrant applies the owner's answer. The part is valid for Validity from just
// before its report was sent. A reduction applies at once, and a large one is also
// reported at once. An answer to any but the last report is ignored.
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

// The demand is taken to be zero after at least minIdle milliseconds without a
// statement, once missedStatements were due in that time.
const (
	minIdle          clock.Millis = 200
	missedStatements              = 8
)

// shrinkThreshold is the fraction of a part's rate below which a new rate counts as a
// large reduction, which is reported at once.
const shrinkThreshold = 0.95

// WithAnswerLost records that no answer to the last report will come.
func (h Holder) WithAnswerLost() Holder {
	h.pending = false
	return h
}
