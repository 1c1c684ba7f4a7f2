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
func (p *FailoverGap) PrimaryLost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.primaryLost = true
}

// RecordWrite notes a write that was acknowledged.
func (p *FailoverGap) RecordWrite() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.primaryLost && !p.lastWrite.IsZero() {
		p.longest = max(p.longest, now.Sub(p.lastWrite))
	}
	p.lastWrite = now
}

// Length returns the gap in milliseconds. A change of which no acknowledged write
// saw the end counts as lasting until now.
func (p *FailoverGap) Length() clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.primaryLost {
		return 0
	}
	return clock.FromDuration(max(p.longest, time.Since(p.lastWrite)))
}
