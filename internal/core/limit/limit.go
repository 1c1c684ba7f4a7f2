// Package limit decides how the rate and the burst of a client account are
// divided over VMs. One VM is the account's owner; it hands parts of both to the
// others, which serve from them without asking. Both sides are immutable values
// that take an event and the time and return a new value.
//
// The parts, the free part at the owner, and what is on its way form one token
// bucket: their rates add up to at most the account's rate, their sizes to at
// most its burst, and tokens come into being by a rate only. So no window of
// length t sees more than rate*t + burst.
package limit

import (
	"math"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// Times of the protocol in milliseconds.
const (
	// ReportInterval is the pause between two renewals of a part.
	ReportInterval clock.Millis = 1000
	// Validity is how long a part may be used, from before the report that renewed it.
	Validity clock.Millis = 5000
	// MaxClockDrift is what the clocks of two VMs may differ over Valid.
	MaxClockDrift clock.Millis = 200
	// Expiry is how long after its last answer an owner counts a part as held.
	Expiry = Validity + MaxClockDrift
	// MinReportInterval is the shortest pause between two reports of a VM that needs more.
	MinReportInterval clock.Millis = 100
	// demandTimeConstant is the time constant of the estimate of the demand.
	demandTimeConstant clock.Millis = 500
)

// Part is what one VM may spend of an account.
type Part struct {
	// Rate is in statements per second.
	Rate float64 `cbor:"rate"`
	// Burst is the most tokens that the part keeps.
	Burst float64 `cbor:"burst"`
	// Tokens is the statements that may run now.
	Tokens float64 `cbor:"tokens"`
}

// Report is what a VM tells the owner of an account. The VM has given up all
// that it does not name in it, and will not use answers to earlier reports.
type Report struct {
	Account string `cbor:"account"`
	// Number grows with each report of the account by this process.
	Number uint64 `cbor:"number"`
	// Part is what the VM keeps.
	Part Part `cbor:"part"`
	// Returned is the tokens that it hands back.
	Returned float64 `cbor:"back,omitempty"`
	// Demand is the statements per second that callers wanted to run.
	Demand float64 `cbor:"demand"`
	// Waiting is the number of statements that wait.
	Waiting float64 `cbor:"need,omitempty"`
}

// Grant is the owner's answer.
type Grant struct {
	Account string `cbor:"account"`
	// Number is that of the report.
	Number uint64 `cbor:"number"`
	// Rate and Burst are the part from now on; they may be smaller than before.
	Rate  float64 `cbor:"rate"`
	Burst float64 `cbor:"burst"`
	// Tokens come on top of those that the VM has.
	Tokens float64 `cbor:"tokens,omitempty"`
	// Wait is the time in milliseconds for which the account may be due more than
	// the owner can hand out now, so that statements should rather wait.
	Wait clock.Millis `cbor:"wait,omitempty"`
	// RetryAfter is the time in milliseconds after which the owner may have a token for
	// a VM that got none.
	RetryAfter clock.Millis `cbor:"next,omitempty"`
}

// refill returns the tokens after a length of time.
func refill(tokens, rate, burst float64, elapsed clock.Millis) float64 {
	grown := tokens + max(rate, 0)*float64(max(elapsed, 0))/float64(clock.Second)
	return max(min(grown, burst), 0)
}

// decay returns what is left of an estimate after a length of time.
func decay(estimate float64, elapsed clock.Millis) float64 {
	return estimate * math.Exp(-float64(max(elapsed, 0))/float64(demandTimeConstant))
}
