// Package limit divides the rate and the burst of a client account over VMs. One
// VM is the account's owner. It grants parts of both to the other VMs, which
// admit statements from their part without asking the owner. Owner and Holder, the
// states of the two sides, are immutable values: each event and its time give a new
// value.
//
// The granted parts, the unassigned part at the owner and the grants in flight
// form one token bucket: their rates add up to at most the account's rate, their
// bursts to at most its burst, and tokens are created only by a rate. So no
// window of length t admits more than rate*t + burst.
package limit

import (
	"math"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// Times of the protocol in milliseconds.
const (
	// ReportInterval is the time between two reports that renew a part.
	ReportInterval clock.Millis = 1000
	// Validity is how long a part may be used, counted from just before the report
	// that renewed it was sent.
	Validity clock.Millis = 5000
	// MaxClockDrift is the most that the clocks of two VMs drift apart during Validity.
	MaxClockDrift clock.Millis = 200
	// Expiry is how long an owner counts a part as held after its answer to the holder's
	// last report.
	Expiry = Validity + MaxClockDrift
	// MinReportInterval is the least time between two reports of a VM that needs more.
	MinReportInterval clock.Millis = 100
	// demandTimeConstant is the time constant with which the estimate of demand decays.
	demandTimeConstant clock.Millis = 500
)

// Part is the share of an account's token bucket that one VM may spend.
type Part struct {
	// Rate is the refill rate in statements per second.
	Rate float64 `cbor:"rate"`
	// Burst is the most tokens that the part can hold.
	Burst float64 `cbor:"burst"`
	// Tokens is the number of statements that may run now.
	Tokens float64 `cbor:"tokens"`
}

// Report is what a VM sends to the owner of an account. The VM has released
// whatever the report does not list, and ignores answers to earlier reports.
type Report struct {
	Account string `cbor:"account"`
	// Number increases with each report that this process sends for the account.
	Number uint64 `cbor:"number"`
	// Part is the part that the VM keeps.
	Part Part `cbor:"part"`
	// Returned is the number of tokens that the VM returns to the owner.
	Returned float64 `cbor:"back,omitempty"`
	// Demand is the rate in statements per second that callers asked for.
	Demand float64 `cbor:"demand"`
	// WaitingStatements is the number of statements that wait for a token.
	WaitingStatements float64 `cbor:"need,omitempty"`
}

// Grant is the owner's answer to a Report.
type Grant struct {
	Account string `cbor:"account"`
	// Number is the Number of the report.
	Number uint64 `cbor:"number"`
	// Rate and Burst are those of the part from now on; they may be smaller than before.
	Rate  float64 `cbor:"rate"`
	Burst float64 `cbor:"burst"`
	// Tokens are added to those that the VM has.
	Tokens float64 `cbor:"tokens,omitempty"`
	// Wait is how long, in milliseconds, the account may be entitled to more than
	// the owner can grant now; until then statements should wait, not be refused.
	Wait clock.Millis `cbor:"wait,omitempty"`
	// RetryAfter is the time in milliseconds after which the owner may have a token
	// for a VM that got none.
	RetryAfter clock.Millis `cbor:"next,omitempty"`
}

// refill returns the number of tokens after elapsed, between 0 and burst.
func refill(tokens, rate, burst float64, elapsed clock.Millis) float64 {
	grown := tokens + max(rate, 0)*float64(max(elapsed, 0))/float64(clock.Second)
	return max(min(grown, burst), 0)
}

// decay returns an estimate of demand after elapsed without a statement.
func decay(estimate float64, elapsed clock.Millis) float64 {
	return estimate * math.Exp(-float64(max(elapsed, 0))/float64(demandTimeConstant))
}
