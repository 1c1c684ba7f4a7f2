// Package retry decides whether a request is tried again, and when. Only what
// was not run ever is.
package retry

import (
	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
)

const (
	// InitialBackoff is the pause before the second round over the servers, in
	// milliseconds. It doubles with each round, and each is drawn from its upper
	// half.
	InitialBackoff = 5 * clock.Millis(1)
	// MaxBackoff is the longest pause in milliseconds.
	MaxBackoff = 100 * clock.Millis(1)
)

// Action says what follows an attempt.
type Action string

// The actions.
const (
	// Stop gives the outcome to the caller.
	Stop Action = "stop"
	// Expire tells the caller that the deadline passed and nothing was run.
	Expire Action = "expire"
	// TryNext tries a server that has not been tried in this round.
	TryNext Action = "now"
	// Backoff pauses; a new round begins when no server is left in this one.
	Backoff Action = "wait"
)

// Attempt is an attempt that did not succeed.
type Attempt struct {
	Err error
	// Remaining is the time left for the request in milliseconds.
	Remaining clock.Millis
	// MoreServers is set when a server is left that has not been tried in this round.
	MoreServers bool
	// WithinBudget is set when the retry budget has allowed a retry, or is not concerned.
	WithinBudget bool
}

// State is what is remembered between the attempts of one request. It is an
// immutable value.
type State struct {
	seed    uint64
	backoff clock.Millis
}

// New returns the state before the first attempt. The seed spreads the pauses
// of different requests.
func New(seed uint64) State { return State{seed: seed, backoff: InitialBackoff} }

// ChargesBudget reports whether a retry after err is charged to the retry budget. The
// search for a primary during a change of primary is not.
func ChargesBudget(err error) bool {
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

// WithAttempt returns what follows an attempt, and the pause before it in milliseconds.
// A request that the budget does not pay for is not refused: it waits the
// longest pause, so that it costs little and may still find its server.
func (r State) WithAttempt(e Attempt) (State, Action, clock.Millis) {
	var refusal *outcome.NotRun
	if !errors.As(e.Err, &refusal) || !refusal.Retryable() {
		return r, Stop, 0
	}
	if e.Remaining <= InitialBackoff {
		return r, Expire, 0
	}
	paid := e.WithinBudget || !ChargesBudget(e.Err)
	if e.MoreServers && paid {
		return r, TryNext, 0
	}
	if !paid {
		r.backoff = MaxBackoff
	}
	pause := r.backoff/2 + clock.Millis(r.hash()%uint64(r.backoff/2+1))
	r.backoff = min(2*r.backoff, MaxBackoff)
	r.seed++
	return r, Backoff, min(pause, e.Remaining/2)
}

// hash mixes the bits of the seed.
func (r State) hash() uint64 {
	x := r.seed * 0x9e3779b97f4a7c15
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	return x ^ x>>32
}
