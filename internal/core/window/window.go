// Package window decides how many statements a holder of connections to a server has in flight
// there. It addresses a server whose own unordered queue fills up while several holders send to
// it, so that the order of the holders' queues has no effect. The holders exchange no messages
// about it.
package window

import "github.com/sycamoredoor/sycamoredoor/internal/base/clock"

const (
	// growth is how much the window grows over a number of answers equal to its size.
	growth = 0.5
	// initialSize is the initial size, or the holder's part of initialInFlight if that is less.
	initialSize     = 3.0
	initialInFlight = 27.0
	// spare is by how much the window may exceed the slots and the statements in transit.
	// transitMargin multiplies the latter: their number varies, and the mean response time from
	// which it is estimated includes a wait.
	spare         = 1.3
	transitMargin = 3
	// meanWeight is the weight of the newest answer in the mean response time.
	meanWeight = 1.0 / 32
	// lowestPeriod is the period over which the lowest response time is measured, in
	// milliseconds. The lowest of the previous period counts too.
	lowestPeriod = 5 * clock.Second
	// resolution is that of response times, in milliseconds.
	resolution = 1
	// busyFactor is the factor of the reduction below the number of statements running after a
	// busy answer, at most once in busyInterval milliseconds.
	busyFactor   = 0.7
	busyInterval = clock.Millis(100)
	// busyPause is the mean pause after a second busy answer in a row while the holder has
	// nothing else running, in milliseconds. It doubles with each further one, at most
	// busyDoublings times.
	busyPause     = clock.Millis(10)
	busyDoublings = 4
)

// Limits are what is known of a server.
type Limits struct {
	// Slots is the number of statements that the server runs at once, 0 if it is not known.
	Slots int
	// Connections is the number of connections that this holder may have.
	Connections int
}

// Window is the window of one holder for one server. It is immutable.
type Window struct {
	size float64
	// mean is a moving average of response times in milliseconds, 0 before the first answer.
	mean float64
	// lowest is the lowest response time since periodAt, lowestBefore that of the period before.
	// Both are 0 while they are not known.
	lowest       float64
	lowestBefore float64
	periodAt     clock.Millis
	// cutAt is the time of the last reduction by busyFactor.
	cutAt clock.Millis
	// busyStreak counts consecutive busy answers; until pausedUntil nothing is sent.
	busyStreak  int
	pausedUntil clock.Millis
}

// New returns the window of one of the holders of a server that has no answers yet.
func New(holders int) Window {
	return Window{size: max(min(initialSize, initialInFlight/float64(max(holders, 1))), 1)}
}

// Size returns how many statements may be in flight.
func (w Window) Size() int { return int(w.size) }

// PausedAt reports whether nothing may be sent at time now because the server was busy.
func (w Window) PausedAt(now clock.Millis) bool { return now < w.pausedUntil }

// WithAnswer records an answer other than busy, and its response time in milliseconds.
func (w Window) WithAnswer(responseTime float64, l Limits, now clock.Millis) Window {
	w.busyStreak = 0
	w = w.withResponseTime(responseTime+resolution, now)
	w.size = max(min(w.size+growth/w.size, w.maxSize(l)), 1)
	return w
}

// withResponseTime updates the mean and the lowest response time.
func (w Window) withResponseTime(responseTime float64, now clock.Millis) Window {
	if w.mean == 0 {
		w.mean = responseTime
	}
	w.mean += meanWeight * (responseTime - w.mean)
	return w.withLowest(responseTime, now)
}

// WithRoundTrip records the time in milliseconds after which the server answered something that
// needs no slot.
func (w Window) WithRoundTrip(milliseconds float64, now clock.Millis) Window {
	return w.withLowest(milliseconds+resolution, now)
}

// withLowest updates the lowest response time.
func (w Window) withLowest(milliseconds float64, now clock.Millis) Window {
	if now-w.periodAt >= lowestPeriod {
		w.lowestBefore, w.lowest, w.periodAt = w.lowest, 0, now
	}
	if w.lowest == 0 || milliseconds < w.lowest {
		w.lowest = milliseconds
	}
	return w
}

// maxSize returns the upper bound of the size. To use all slots, the only holder of a server needs
// as many statements in flight as there are slots, plus those in transit to or from the server. The
// lowest response time is the estimate of the time in transit. It is too long rather than too short,
// so that no slot stays unused. While other holders load the server too, the mean is long and the
// bound falls to about the number of slots.
func (w Window) maxSize(l Limits) float64 {
	connections := float64(max(l.Connections, 1))
	if l.Slots <= 0 {
		return connections
	}
	transit := w.lowest
	if w.lowestBefore > 0 {
		transit = min(transit, w.lowestBefore)
	}
	if w.mean <= transit {
		return connections
	}
	inTransit := float64(l.Slots) * transit / (w.mean - transit)
	return min(connections, float64(l.Slots)+transitMargin*inTransit+spare)
}

// WithBusy records that the server refused a statement as busy while others of the holder were
// running. The part is a random number from 0 to 1 that spreads the pauses of the holders.
func (w Window) WithBusy(running int, part float64, now clock.Millis) Window {
	w.size = max(min(w.size, float64(running)), 1)
	if w.busyStreak++; running == 0 && w.busyStreak > 1 {
		// Even one statement at a time is too much: more holders send than the server has slots.
		pause := busyPause << min(w.busyStreak-2, busyDoublings)
		w.pausedUntil = now + pause/2 + clock.Millis(part*float64(pause))
	}
	if now-w.cutAt < busyInterval {
		return w
	}
	w.cutAt = now
	w.size = max(w.size*busyFactor, 1)
	return w
}
