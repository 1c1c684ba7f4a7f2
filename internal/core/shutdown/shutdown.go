// Package shutdown divides a planned stop of a VM into phases, so that no running statement
// is interrupted: a statement that may not finish before the process exits is refused at once.
package shutdown

import "github.com/sycamoredoor/sycamoredoor/internal/base/clock"

const (
	// balancerDelay is how long the load balancer may still send new callers to a VM
	// that is not ready, in milliseconds: it probes once a second and takes a VM out
	// after two failed probes. It goes on if too few VMs of the zone are ready.
	balancerDelay = 2200 * clock.Millis(1)
	// exitMargin is the part of the stop that is left for the end of the process, in
	// milliseconds.
	exitMargin = clock.Millis(500)
	// signalDelay is the longest time from the signal to the start of the stop, in
	// milliseconds.
	signalDelay = clock.Millis(200)
)

// Stop is a planned stop. Its phases follow each other: every statement is taken, until
// FirstHalf; a statement is taken if its timeout ends before End; at End the callers'
// connections are closed. Idle sessions end from IdleEnd on. It is immutable.
type Stop struct {
	startedAt clock.Millis
	timeout   clock.Millis
}

// New returns a stop that starts at the time now and may take timeout milliseconds.
func New(now, timeout clock.Millis) Stop { return Stop{startedAt: now, timeout: timeout} }

// IdleEnd returns the time from which idle sessions end: the balancer sends no new callers
// by then, or a third of the stop is over.
func (s Stop) IdleEnd() clock.Millis { return s.startedAt + min(balancerDelay, s.timeout/3) }

// FirstHalf returns the end of the first half, within which callers may count on every
// statement being taken.
func (s Stop) FirstHalf() clock.Millis { return s.startedAt + s.timeout/2 - signalDelay }

// TransactionEnd returns the time until which a transaction that was open at the start may take.
func (s Stop) TransactionEnd() clock.Millis { return s.startedAt + s.timeout/2 }

// End returns the time at which connections are closed.
func (s Stop) End() clock.Millis { return s.startedAt + s.timeout - exitMargin }

// Takes reports whether a statement that may run for timeout milliseconds is taken at the
// time now.
func (s Stop) Takes(now, timeout clock.Millis) bool {
	return now < s.FirstHalf() || now+timeout <= s.End()
}
