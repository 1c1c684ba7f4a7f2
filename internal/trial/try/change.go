package try

import (
	"context"
	"sync"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/standin/backend"
)

const (
	// healPause is how long the former primary stays isolated after the change.
	healPause = 500 * clock.Millis(1)
	pollPause = 5 * clock.Millis(1)
)

// changePrimary isolates the primary of the first database in the middle of the
// load, and ends the isolation once there is another.
func (t *trial) changePrimary(ctx context.Context) {
	if !t.at(ctx, changeTenth) {
		return
	}
	g := t.system.Groups[database]
	old := g.Primary()
	t.gap.begin()
	isolate(g, old, true)
	defer isolate(g, old, false)
	for g.Primary() == old {
		if t.clock.Sleep(ctx, pollPause) != nil {
			return
		}
	}
	_ = t.clock.Sleep(ctx, healPause)
}

// isolate cuts a server off from its callers and from the rest of its group.
func isolate(g *backend.Group, s *backend.Server, isolated bool) {
	s.SetFrozen(isolated)
	for _, o := range g.Servers() {
		if o != s {
			g.Cut(s.Name(), o.Name(), isolated)
		}
	}
}

// gap measures the longest time without an acknowledged write that ends after
// the primary was taken away.
type gap struct {
	mu      sync.Mutex
	begun   bool
	last    time.Time
	longest time.Duration
}

func (p *gap) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun = true
}

func (p *gap) acknowledged() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.begun && !p.last.IsZero() {
		p.longest = max(p.longest, now.Sub(p.last))
	}
	p.last = now
}

// length returns the gap in milliseconds. A change of which no acknowledged write
// saw the end counts as lasting until now.
func (p *gap) length() clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.begun {
		return 0
	}
	return clock.Of(max(p.longest, time.Since(p.last)))
}
