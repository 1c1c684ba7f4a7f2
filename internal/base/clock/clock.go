// Package clock gives the time in milliseconds and lets tests replace it.
package clock

import (
	"context"
	"time"
)

// Millis is a moment or a length of time in milliseconds. A moment counts from
// an arbitrary start of the process's monotonic clock, so moments of two
// processes are never compared.
type Millis int64

// Second is the number of milliseconds in one second.
const Second Millis = 1000

// Duration converts m for the standard library.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration converts a length of the standard library, rounding down.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock tells the time and waits. Both seams are fields so that a test can
// drive time by hand.
type Clock struct {
	// NowFunc returns the current moment.
	NowFunc func() Millis
	// AfterFunc returns a channel that receives once the length has passed, and
	// a function that releases the timer.
	AfterFunc func(Millis) (<-chan struct{}, func())
}

// Now returns the current moment.
func (c Clock) Now() Millis { return c.NowFunc() }

// Sleep waits for the given length and returns early with the context's error.
func (c Clock) Sleep(ctx context.Context, m Millis) error {
	fired, stop := c.AfterFunc(m)
	defer stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-fired:
		return nil
	}
}

// System returns the process's monotonic clock.
func System() Clock {
	start := time.Now()
	return Clock{
		NowFunc: func() Millis { return FromDuration(time.Since(start)) },
		AfterFunc: func(m Millis) (<-chan struct{}, func()) {
			fired := make(chan struct{}, 1)
			t := time.AfterFunc(m.Duration(), func() { fired <- struct{}{} })
			return fired, func() { t.Stop() }
		},
	}
}
