package oracle

import (
	"sync"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// FailoverGap measures the longest time without an acknowledged write that ends after
// the primary was taken away.
type FailoverGap struct {
	mu          sync.Mutex
	primaryLost bool
	lastWrite   time.Time
	longest     time.Duration
}

// PrimaryLost notes that the primary is taken away.
func (g *FailoverGap) PrimaryLost() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.primaryLost = true
}

// RecordWrite notes a write that was acknowledged.
func (g *FailoverGap) RecordWrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.primaryLost && !g.lastWrite.IsZero() {
		g.longest = max(g.longest, now.Sub(g.lastWrite))
	}
	g.lastWrite = now
}

// Length returns the gap in milliseconds. A change of which no acknowledged write
// saw the end counts as lasting until now.
func (g *FailoverGap) Length() clock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.primaryLost {
		return 0
	}
	return clock.FromDuration(max(g.longest, time.Since(g.lastWrite)))
}
