package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns a clock based on CLOCK_BOOTTIME, which also counts the time that the
// machine is suspended. A lease that expired during a suspension is therefore seen
// as expired on resume. Timers still use the monotonic clock, which stops during a
// suspension: callers must read the time again after a wait.
func Boot() Clock {
	c := System()
	start := readBootTime()
	c.NowFunc = func() Millis { return FromDuration(readBootTime() - start) }
	return c
}

func readBootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
