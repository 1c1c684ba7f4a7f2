// Package clock provides the time in milliseconds and lets tests replace it.
package clock

import (
	"context"
	"time"
)

// Millis is a point in time or a duration, in milliseconds. A point in time counts
// from the arbitrary start of one process's clock and must never be compared with
// one of another process.
type Millis int64

// DistantPast is earlier than every time of a clock.
const DistantPast Millis = -1 << 40

// Second is the number of milliseconds in one second.
const Second Millis = 1000

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration converts a time.Duration and truncates it to whole milliseconds.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock reads the time and starts timers. Both functions are fields so that tests
// can replace them.
type Clock struct {
	// NowFunc returns the current time.
	NowFunc func() Millis
	// AfterFunc starts a timer. It returns a channel that receives one value when
	// the duration has passed, and a function that stops the timer.
	AfterFunc func(Millis) (<-chan struct{}, func())
}

// Now returns the current time.
func (c Clock) Now() Millis { return c.NowFunc() }

// Sleep waits for the given duration. If the context ends first, it returns the
// context's error at once.
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

// System returns a clock that reads the process's monotonic clock and starts at 0.
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
