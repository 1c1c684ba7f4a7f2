package oracle

import (
	"sync"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// FailoverGap measures the longest time between two consecutive acknowledged
// writes of which the second came after the primary was lost. Its zero value is
// ready for use, also from several goroutines.
type FailoverGap struct {
	mu          sync.Mutex
	primaryLost bool
	lastWrite   time.Time
	longest     time.Duration
}

// RecordPrimaryLoss records that a fault takes the primary away now.
func (g *FailoverGap) RecordPrimaryLoss() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.primaryLost = true
}

// RecordWrite records that a write was acknowledged now.
func (g *FailoverGap) RecordWrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.primaryLost && !g.lastWrite.IsZero() {
		g.longest = max(g.longest, now.Sub(g.lastWrite))
	}
	g.lastWrite = now
}

// Length returns the gap in milliseconds, or 0 if the primary was never lost. The
// time since the last acknowledged write counts as well, since no write closes the
// gap of a failover that has not ended.
func (g *FailoverGap) Length() clock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.primaryLost {
		return 0
	}
	return clock.FromDuration(max(g.longest, time.Since(g.lastWrite)))
}
