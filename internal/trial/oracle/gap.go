package oracle

import (
	"sync"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// Gap measures the longest time without an acknowledged write that ends after
// the primary was taken away.
type Gap struct {
	mu      sync.Mutex
	begun   bool
	last    time.Time
	longest time.Duration
}

// Begin notes that the primary is taken away.
func (p *Gap) Begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun = true
}

// Acknowledged notes a write that was acknowledged.
func (p *Gap) Acknowledged() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.begun && !p.last.IsZero() {
		p.longest = max(p.longest, now.Sub(p.last))
	}
	p.last = now
}

// Length returns the gap in milliseconds. A change of which no acknowledged write
// saw the end counts as lasting until now.
func (p *Gap) Length() clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.begun {
		return 0
	}
	return clock.FromDuration(max(p.longest, time.Since(p.last)))
}
