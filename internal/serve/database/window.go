package database

import (
	"math/rand/v2"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// The window limits the statements in flight to a server. It grows with answers and
// shrinks when the server is busy, so that the VMs share the server's slots without
// coordination.
const (
	// busyPause is the mean pause after a second busy answer in a row while the VM has
	// nothing else running, in milliseconds. It doubles with each further one, at most
	// busyDoublings times.
	busyPause     = clock.Millis(10)
	busyDoublings = 4
	// windowGrowth is how much the window grows over a number of answers equal to its
	// size.
	windowGrowth = 0.5
	// initialWindow is the initial size, or the VM's part of initialInFlight if that
	// is less: the VMs that hold connections to a server share initialInFlight.
	initialWindow   = 3.0
	initialInFlight = 27.0
	minWindow       = 1
	// windowCutFactor is the factor of the reduction below the number of statements
	// running.
	windowCutFactor = 0.7
	// minCutInterval is the least time between two such reductions, in milliseconds.
	minCutInterval = clock.Millis(100)
)

// startStatement counts a statement; granted is set for the first one after the grant
// of its connection.
func (p *pool) startStatement(granted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
	if granted {
		p.granted--
	}
}

// shrinkWindow reduces the window after a busy answer to the number of statements
// running, and at most once per minCutInterval further by windowCutFactor, so that other
// VMs get a share. The caller holds p.mu.
func (p *pool) shrinkWindow(now clock.Millis) {
	p.window = max(min(p.window, float64(p.running)), minWindow)
	if p.busyStreak++; p.running == 0 && p.busyStreak > 1 {
		// Even one statement at a time is too much: more VMs send to the server than
		// it has slots.
		pause := busyPause << min(p.busyStreak-2, busyDoublings)
		p.pausedUntil = now + pause/2 + clock.Millis(rand.Int64N(int64(pause)))
	}
	if now-p.windowCutAt < minCutInterval {
		return
	}
	p.windowCutAt = now
	p.window = max(p.window*windowCutFactor, minWindow)
}
