package freshness

import (
	"math"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

const (
	// turnSpread is the time over which the turns of the VMs spread, in milliseconds.
	turnSpread = clock.Second
	// minRetryPause and maxRetryPause bound the pause of a follower after a failed call of the
	// store, in milliseconds.
	minRetryPause = clock.Millis(300)
	maxRetryPause = clock.Millis(2400)
)

// Follower decides when a VM that other VMs keep up to date reads the store itself: when its copy
// is too old, since then none of those VMs reaches the store. It is immutable.
type Follower struct {
	bounds Bounds
	// draw is a number from 0 to below 1 that differs from VM to VM.
	draw float64
	// readsUntil is the time until which the VM reads the store.
	readsUntil clock.Millis
	// retryPause is the pause after the next failed call, and retryAt the time before which no
	// call is made after the last one.
	retryPause clock.Millis
	retryAt    clock.Millis
}

// NewFollower returns a follower that does not read the store. Its turn depends on the draw.
func NewFollower(b Bounds, draw float64) Follower {
	return Follower{bounds: b, draw: draw, readsUntil: clock.DistantPast, retryPause: minRetryPause, retryAt: clock.DistantPast}
}

// WithAge records the age of the copy at time now in an installation of so many VMs. Each VM has
// a turn; the number of VMs whose turn has come doubles in equal steps over turnSpread. If one of
// the first reaches the store, its report spares the later ones their call; if most VMs do not
// reach it, every VM has tried by the end of turnSpread.
func (w Follower) WithAge(age clock.Millis, vms int, now clock.Millis) Follower {
	switch {
	case age < w.bounds.MaxAge:
		w.retryPause = minRetryPause
	case age >= w.bounds.MaxAge+w.turn(vms):
		w.readsUntil = now + w.bounds.Takeover
	}
	return w
}

// turn returns how much older than MaxAge the copy must be, in milliseconds.
func (w Follower) turn(vms int) clock.Millis {
	share := math.Log2(1+w.draw*float64(vms)) / math.Log2(1+float64(max(vms, 1)))
	return clock.Millis(share * float64(turnSpread))
}

// Reads reports whether the VM reads the store at time now.
func (w Follower) Reads(now clock.Millis) bool { return now <= w.readsUntil }

// MayCall reports whether enough time has passed at time now since the last failed call.
func (w Follower) MayCall(now clock.Millis) bool { return now >= w.retryAt }

// WithFailure records a failed call at time now. The VM reads the store no longer, unless its copy
// is still too old after a pause, which doubles with each failure.
func (w Follower) WithFailure(now clock.Millis) Follower {
	w.readsUntil, w.retryAt = clock.DistantPast, now+w.retryPause
	w.retryPause = min(2*w.retryPause, maxRetryPause)
	return w
}

// WithSuccess records that the store answered a call.
func (w Follower) WithSuccess() Follower {
	w.retryPause, w.retryAt = minRetryPause, clock.DistantPast
	return w
}
