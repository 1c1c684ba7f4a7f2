// Package retry decides whether and when a request is tried again. Only a request
// that was certainly not run is tried again.
package retry

import (
	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
)

const (
	// InitialBackoff is the longest pause before the second round over the servers, in
	// milliseconds. The longest pause doubles each time, up to MaxBackoff, and the pause
	// is drawn at random from its upper half.
	InitialBackoff = 5 * clock.Millis(1)
	// MaxBackoff is the longest pause of any round in milliseconds.
	MaxBackoff = 100 * clock.Millis(1)
)

// Action is what to do after an attempt that did not succeed.
type Action string

// The actions.
const (
	// Stop returns the outcome to the caller.
	Stop Action = "stop"
	// Expire reports to the caller that the deadline passed and nothing was run.
	Expire Action = "expire"
	// TryNext tries, without a pause, a server that has not been tried in this round.
	TryNext Action = "now"
	// Backoff pauses before the next attempt; a new round begins when no server is
	// left in this one.
	Backoff Action = "wait"
)

// Attempt describes an attempt that did not succeed.
type Attempt struct {
	Err error
	// Remaining is the time until the request's deadline in milliseconds.
	Remaining clock.Millis
	// MoreServers is set when a server has not been tried yet in this round.
	MoreServers bool
	// WithinBudget is set when the retry budget has allowed the retry, or when the retry
	// is not charged to it. It is ignored for errors that are never charged.
	WithinBudget bool
}

// ChargesBudget reports whether the next attempt is charged to the retry budget: it is
// made at once, on a server that has not been tried in this round.
func (a Attempt) ChargesBudget() bool {
	return a.MoreServers && a.Remaining > InitialBackoff && isCharged(a.Err)
}

// isCharged reports whether an immediate retry after err is charged to the retry budget.
// Retries that look for the primary or the holder, as during a failover, are not: they must
// go on when the budget is empty.
func isCharged(err error) bool {
	var refusal *outcome.NotRun
	if !errors.As(err, &refusal) {
		return false
	}
	switch refusal.Reason {
	case outcome.ReasonNotPrimary, outcome.ReasonNotHolder:
		return false
	}
	return refusal.Retryable()
}

// State is the retry state of one request between attempts. It is an immutable
// value.
type State struct {
	seed    uint64
	backoff clock.Millis
}

// New returns the state before the first attempt. The seed should differ between
// requests, so that their pauses differ.
func New(seed uint64) State { return State{seed: seed, backoff: InitialBackoff} }

// WithAttempt returns what to do after an attempt, and for Backoff the pause in
// milliseconds. A retryable request with at most InitialBackoff left expires. A request
// that the budget does not cover is not refused: it backs off for up to MaxBackoff, so
// that it adds little load and may still succeed. A pause takes at most half of the
// remaining time, which leaves time for an attempt.
func (r State) WithAttempt(e Attempt) (State, Action, clock.Millis) {
	var refusal *outcome.NotRun
	if !errors.As(e.Err, &refusal) || !refusal.Retryable() {
		return r, Stop, 0
	}
	if e.Remaining <= InitialBackoff {
		return r, Expire, 0
	}
	withinBudget := e.WithinBudget || !isCharged(e.Err)
	if e.MoreServers && withinBudget {
		return r, TryNext, 0
	}
	if !withinBudget {
		r.backoff = MaxBackoff
	}
	pause := r.backoff/2 + clock.Millis(r.hash()%uint64(r.backoff/2+1))
	r.backoff = min(2*r.backoff, MaxBackoff)
	r.seed++
	return r, Backoff, min(pause, e.Remaining/2)
}

// hash returns a pseudo-random number for the seed.
func (r State) hash() uint64 {
	x := r.seed * 0x9e3779b97f4a7c15
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	return x ^ x>>32
}
