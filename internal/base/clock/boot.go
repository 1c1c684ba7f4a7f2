package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns a clock that also counts the time in which the machine is
// suspended, so that nothing that lapsed meanwhile seems valid on waking.
// Timers still fire by the monotonic clock: look at the time again after a wait.
func Boot() Clock {
	c := System()
	start := readBootTime()
	c.NowFunc = func() Millis { return FromDuration(readBootTime() - start) }
	return c
}

func readBootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("the boot clock cannot be read: " + err.Error())
	}
	return time.Duration(t.Nano())
}
