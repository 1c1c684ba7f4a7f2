package database

import (
	"math/rand/v2"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// The window grows with answers and shrinks when the server is busy, so that the VMs
// share the slots without speaking of it.
const (
	// busyPause is the mean pause after a refusal to a VM that had nothing else
	// running, in milliseconds; it doubles with each further one, so many times.
	busyPause     = clock.Millis(10)
	busyDoublings = 4
	// windowGrowth is how much it grows in as many answers as it holds.
	windowGrowth = 0.5
	// firstWindow is its first size, unless firstInFlight for all VMs is less.
	firstWindow   = 3.0
	firstInFlight = 27.0
	leastWindow   = 1
	windowCut     = 0.7
	// cutPause is the least time between two cuts, in milliseconds.
	cutPause = clock.Millis(100)
)

// begin counts a statement; first is set for the first one of a connection that
// was given out.
func (p *pool) begin(first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
	if first {
		p.granted--
	}
}

// shrink makes the window smaller, since the server is busy: to what it does run,
// and now and then below that, so that other VMs get a part. It needs the lock.
func (p *pool) shrink(now clock.Millis) {
	p.window = max(min(p.window, float64(p.running)), leastWindow)
	if p.refusals++; p.running == 0 && p.refusals > 1 {
		// One at a time is still too much for the server: the VMs are more than its room.
		length := busyPause << min(p.refusals-2, busyDoublings)
		p.paused = now + length/2 + clock.Millis(rand.Int64N(int64(length)))
	}
	if now-p.cut < cutPause {
		return
	}
	p.cut = now
	p.window = max(p.window*windowCut, leastWindow)
}
