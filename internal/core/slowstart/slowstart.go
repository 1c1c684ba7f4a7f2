// Package slowstart decides how many statements one VM has in flight to a server that has
// started, has failed or resumes, and how many it sends to one that is cold.
// It addresses callers' statements that flood a server with cold caches, which then answers
// none in time, and servers that are left idle although they answer.
//
// Two bounds apply. Ramp finds the number in flight from the answers. Quota holds the stated
// limit of a cold server, of which Senders gives each VM a fixed share.
package slowstart

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

const (
	// failureGrace, in milliseconds, and graceAnswers, as a multiple of the baseline, add up to
	// the age of the last answer up to which a first failure is ignored: one statement may end
	// by its own timeout, and a busy slow server seldom answers one VM.
	failureGrace = clock.Millis(100)
	graceAnswers = 4.0
	// minBackoff and maxBackoff bound the pause after a failed attempt, in milliseconds.
	minBackoff = clock.Millis(20)
	maxBackoff = clock.Millis(300)
	// maxDoublings is the number of doublings of minBackoff from which maxBackoff applies.
	maxDoublings = 4
	// stallTime is the time after which another statement is sent although the previous ones
	// have no answer, in milliseconds.
	stallTime = clock.Millis(300)
	// maxStalled is the number of statements in flight up to which that applies.
	maxStalled = 4
	// Answers are slow from slowFactor times the baseline plus slowMargin milliseconds. The
	// ceiling is reduced when they exceed the same function of the fastest response time of the
	// slow start, since the statements in flight then queue at the server.
	slowFactor = 2.0
	slowMargin = 5.0
	// ceilingCut is the factor of a reduction, minCutInterval the least time between two, in
	// milliseconds.
	ceilingCut     = 0.7
	minCutInterval = clock.Millis(100)
	// slowGrowthInterval is the time in milliseconds after which the ceiling grows by 1 although
	// answers are slow: the baseline may be that of other statements.
	slowGrowthInterval = clock.Second
	// rebaseTime is the time without growth after which the present response time becomes the
	// fastest, in milliseconds: other VMs may load the server more than before.
	rebaseTime = 3 * clock.Second
	// recentWeight and baselineWeight are the weights of the newest response time.
	recentWeight   = 0.3
	baselineWeight = 0.03
)

// Reason is why a slow start began.
type Reason string

// The reasons.
const (
	// Listed means that the server was listed for the first time.
	Listed Reason = "listed"
	// Restarted means that the server has another start time.
	Restarted Reason = "restarted"
	// Failed means that the server did not answer.
	Failed Reason = "failed"
	// Resumed means that an operator has allowed statements to the server again.
	Resumed Reason = "resumed"
)

// Ramp bounds the statements in flight of one VM to one server. The zero value is open, that is
// without a bound. It is used for the servers that are listed when the VM starts, since any of them
// may be warm. A Ramp is immutable. Times are in milliseconds.
type Ramp struct {
	reason Reason
	// ceiling is the number of statements that may be in flight unless the ramp is open.
	ceiling float64
	// baseline is the moving average of response times while open, or 0 if it is not known.
	baseline float64
	// recent is the moving average since the start of the slow start, and fastest its lowest
	// value.
	recent  float64
	fastest float64
	// answers counts the answers since the start of the slow start.
	answers int
	// failures counts consecutive failures, attempts those of them that began a backoff pause;
	// down is set from a failure to the next answer of any kind.
	failures   int
	attempts   int
	down       bool
	answeredAt clock.Millis
	sentAt     clock.Millis
	// retryAt is the time from which an attempt is made while down.
	retryAt clock.Millis
	cutAt   clock.Millis
	grownAt clock.Millis
	begunAt clock.Millis
}

// Open reports whether the number in flight is not bounded.
func (r Ramp) Open() bool { return r.reason == "" }

// Down reports whether the server has answered nothing since a failure.
func (r Ramp) Down() bool { return r.down }

// Reason returns why the slow start began, or "" if the ramp is open.
func (r Ramp) Reason() Reason { return r.reason }

// Figures describe a slow start in log lines.
type Figures struct {
	// Took is the time since its start. Took, ResponseTime and Baseline are in milliseconds.
	Took         clock.Millis
	Ceiling      float64
	Answers      int
	ResponseTime float64
	Baseline     float64
}

// Figures returns the figures of the slow start at time now.
func (r Ramp) Figures(now clock.Millis) Figures {
	return Figures{Took: now - r.begunAt, Ceiling: r.ceiling, Answers: r.answers, ResponseTime: r.recent, Baseline: r.baseline}
}

// MaySend reports whether another statement may be sent while inFlight have no answer.
func (r Ramp) MaySend(inFlight int, now clock.Millis) bool {
	switch {
	case r.Open():
		return true
	case r.down && now < r.retryAt:
		return false
	case float64(inFlight)+1 <= r.ceiling:
		return true
	}
	return inFlight < maxStalled && now-max(r.sentAt, r.answeredAt) >= stallTime
}

// WithBegin begins a slow start, with one statement in flight. It keeps the baseline. If a slow
// start has not ended, it keeps its reason, start time and count of answers too.
func (r Ramp) WithBegin(reason Reason, now clock.Millis) Ramp {
	if r.Open() {
		r.reason, r.begunAt, r.answers = reason, now, 0
	}
	r.ceiling, r.recent, r.fastest, r.grownAt, r.cutAt = 1, 0, 0, now, now
	return r
}

// WithBaseline sets the response time that is expected of a warm server, in milliseconds, if none
// is known.
func (r Ramp) WithBaseline(baseline float64) Ramp {
	if r.baseline == 0 {
		r.baseline = baseline
	}
	return r
}

// Baseline returns the response time that is expected, in milliseconds, or 0 if it is not known.
func (r Ramp) Baseline() float64 { return r.baseline }

// WithSent records that a statement is sent.
func (r Ramp) WithSent(now clock.Millis) Ramp {
	r.sentAt = now
	return r
}

// WithLife records an answer that is not that of a statement, such as to a status query.
func (r Ramp) WithLife(now clock.Millis) Ramp {
	r.failures, r.attempts, r.down, r.answeredAt = 0, 0, false, now
	return r
}

// WithAnswer records the answer to a statement and its response time in milliseconds. The slow start
// ends once the ceiling exceeds wanted.
func (r Ramp) WithAnswer(responseTime float64, wanted int, now clock.Millis) Ramp {
	r = r.WithLife(now)
	if r.Open() {
		return r.withOpenAnswer(responseTime)
	}
	r.answers++
	if r.recent == 0 {
		r.recent, r.fastest = responseTime, responseTime
	}
	r.recent += recentWeight * (responseTime - r.recent)
	r.fastest = min(r.fastest, r.recent)
	switch {
	case r.baseline == 0 || r.recent <= slowFactor*r.baseline+slowMargin:
		r.ceiling, r.grownAt = r.ceiling+1, now
	case now-r.grownAt >= rebaseTime:
		r.ceiling, r.grownAt, r.fastest = r.ceiling+1, now, r.recent
	case r.recent > slowFactor*r.fastest+slowMargin:
		r = r.withCut(now)
	case now-r.grownAt >= slowGrowthInterval:
		r.ceiling, r.grownAt = r.ceiling+1, now
	}
	if r.ceiling >= float64(wanted)+1 {
		r.reason = ""
	}
	return r
}

// withOpenAnswer updates the baseline of an open ramp.
func (r Ramp) withOpenAnswer(responseTime float64) Ramp {
	if r.baseline == 0 {
		r.baseline = responseTime
	}
	r.baseline += baselineWeight * (responseTime - r.baseline)
	return r
}

// WithBusy records that the server refused a statement as busy.
func (r Ramp) WithBusy(now clock.Millis) Ramp {
	r = r.WithLife(now)
	if r.Open() {
		return r
	}
	return r.withCut(now)
}

// withCut reduces the ceiling, at most once in minCutInterval.
func (r Ramp) withCut(now clock.Millis) Ramp {
	if now-r.cutAt >= minCutInterval {
		r.ceiling, r.cutAt = max(r.ceiling*ceilingCut, 1), now
	}
	return r
}

// WithFailure records that the server did not answer. A first failure soon after an answer has no
// effect on the ramp.
func (r Ramp) WithFailure(now clock.Millis) Ramp {
	r.failures++
	grace := failureGrace + clock.Millis(graceAnswers*r.baseline)
	if r.failures == 1 && !r.down && now-r.answeredAt <= grace && r.answeredAt > 0 {
		return r
	}
	if r.down && now < r.retryAt {
		// The statement was sent before the recorded failure.
		return r
	}
	r = r.WithBegin(Failed, now)
	r.down, r.retryAt = true, now+min(minBackoff<<min(r.attempts, maxDoublings), maxBackoff)
	r.attempts++
	return r
}
