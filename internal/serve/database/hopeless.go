package database

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/fair"
)

const (
	// hopelessMargin is how many times longer than its remaining time the expected wait of a
	// request must be for its refusal. The expected wait is a moving average of a few answers.
	hopelessMargin = 2.0
	// hopelessInterval is the time between two searches, in milliseconds. A search sorts the whole
	// queue, so that it is not done for each waiting request.
	hopelessInterval = clock.Millis(100)
)

// shed refuses a waiting request. The caller holds p.mu.
func (p *pool) shed(item *fair.Item) {
	p.queue.Remove(item)
	w := item.Value.(*waiter)
	w.refusal = ErrPoolTimeout
	w.ready <- nil
}

// shedHopeless refuses the waiting requests that certainly cannot have their turn in time, because
// more urgent ones came or the server became slower. Those that are refused do not count for the
// ones behind them, and the next ones for the server are never refused. The caller holds p.mu.
func (p *pool) shedHopeless() {
	now := p.group.options.Clock.Now()
	if now-p.hopelessAt < hopelessInterval || p.queue.Len() <= p.window.Size() || p.drainTime == 0 {
		return
	}
	p.hopelessAt = now
	ahead, turn := 1, p.turnTime()
	for _, item := range p.queue.Waiting() {
		remaining := float64(item.Value.(*waiter).deadline - now)
		if ahead > p.window.Size() && float64(ahead)*turn > remaining*hopelessMargin {
			p.shed(item)
			p.group.options.Counters.hopelessRequests.Inc()
			continue
		}
		ahead++
	}
}
