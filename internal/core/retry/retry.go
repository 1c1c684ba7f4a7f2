// Package retry decides whether a request is tried again, and when. Only what
// was not run ever is.
package retry

import (
	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
)

const (
	// FirstPause is the pause before the second round over the servers, in
	// milliseconds. It doubles with each round, and each is drawn from its upper
	// half.
	FirstPause = 5 * clock.Millis(1)
	// LastPause is the longest pause in milliseconds.
	LastPause = 100 * clock.Millis(1)
)

// Action says what follows an attempt.
type Action string

// The actions.
const (
	// Stop gives the outcome to the caller.
	Stop Action = "stop"
	// Expire tells the caller that the deadline passed and nothing was run.
	Expire Action = "expire"
	// Now tries a server that has not been tried in this round.
	Now Action = "now"
	// Wait pauses; a new round begins when no server is left in this one.
	Wait Action = "wait"
)

// Event is an attempt that did not succeed.
type Event struct {
	Err error
	// Left is the time left for the request in milliseconds.
	Left clock.Millis
	// Others is set when a server is left that has not been tried in this round.
	Others bool
	// Paid is set when the retry budget has allowed a retry, or is not concerned.
	Paid bool
}

// Retry is what is remembered between the attempts of one request. It is an
// immutable value.
type Retry struct {
	seed  uint64
	pause clock.Millis
}

// New returns the state before the first attempt. The seed spreads the pauses
// of different requests.
func New(seed uint64) Retry { return Retry{seed: seed, pause: FirstPause} }

// Costs reports whether a retry after err is charged to the retry budget. The
// search for a primary during a change of primary is not.
func Costs(err error) bool {
	var refusal *outcome.NotRun
	if !errors.As(err, &refusal) {
		return false
	}
	switch refusal.Reason {
	case outcome.ReasonPrimary, outcome.ReasonHolder:
		return false
	}
	return refusal.Retryable()
}

// With returns what follows an attempt, and the pause before it in milliseconds.
// A request that the budget does not pay for is not refused: it waits the
// longest pause, so that it costs little and may still find its server.
func (r Retry) With(e Event) (Retry, Action, clock.Millis) {
	var refusal *outcome.NotRun
	if !errors.As(e.Err, &refusal) || !refusal.Retryable() {
		return r, Stop, 0
	}
	if e.Left <= FirstPause {
		return r, Expire, 0
	}
	paid := e.Paid || !Costs(e.Err)
	if e.Others && paid {
		return r, Now, 0
	}
	if !paid {
		r.pause = LastPause
	}
	pause := r.pause/2 + clock.Millis(r.random()%uint64(r.pause/2+1))
	r.pause = min(2*r.pause, LastPause)
	r.seed++
	return r, Wait, min(pause, e.Left/2)
}

// random mixes the bits of the seed.
func (r Retry) random() uint64 {
	x := r.seed * 0x9e3779b97f4a7c15
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	return x ^ x>>32
}
