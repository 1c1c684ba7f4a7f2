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
	// initialWindow is its first size, unless firstInFlight for all VMs is less.
	initialWindow   = 3.0
	initialInFlight = 27.0
	minWindow       = 1
	windowCutFactor = 0.7
	// minCutInterval is the least time between two cuts, in milliseconds.
	minCutInterval = clock.Millis(100)
)

// startStatement counts a statement; first is set for the first one of a connection that
// was given out.
func (p *pool) startStatement(granted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
	if granted {
		p.granted--
	}
}

// shrinkWindow makes the window smaller, since the server is busy: to what it does run,
// and now and then below that, so that other VMs get a part. It needs the lock.
func (p *pool) shrinkWindow(now clock.Millis) {
	p.window = max(min(p.window, float64(p.running)), minWindow)
	if p.busyStreak++; p.running == 0 && p.busyStreak > 1 {
		// One at a time is still too much for the server: the VMs are more than its room.
		pause := busyPause << min(p.busyStreak-2, busyDoublings)
		p.pausedUntil = now + pause/2 + clock.Millis(rand.Int64N(int64(pause)))
	}
	if now-p.windowCutAt < minCutInterval {
		return
	}
	p.windowCutAt = now
	p.window = max(p.window*windowCutFactor, minWindow)
}
