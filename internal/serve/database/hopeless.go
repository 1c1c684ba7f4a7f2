package database

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/fair"
)

const (
	// hopelessMargin is the factor by which the expected wait of a request must exceed its
	// remaining time for it to be refused. It allows for the error of the expected wait, which
	// rests on a moving average of a few answers.
	hopelessMargin = 2.0
	// hopelessInterval is the time between two searches, in milliseconds. A search sorts the whole
	// queue, which is too much to do for each waiting request.
	hopelessInterval = clock.Millis(100)
)

// shed refuses a waiting request. The caller holds p.mu.
func (p *pool) shed(item *fair.Item) {
	p.queue.Remove(item)
	w := item.Value.(*waiter)
	w.refusal = ErrPoolTimeout
	w.ready <- nil
}

// shedHopeless refuses the waiting requests that cannot be granted before their deadline, because more
// urgent ones came or the server became slower. Refused requests do not count towards the wait of
// the ones behind them. As many requests as fit into the window are never refused. The caller holds
// p.mu.
func (p *pool) shedHopeless() {
	now := p.group.options.Clock.Now()
	if now-p.hopelessAt < hopelessInterval || p.queue.Len() <= p.window.Size() || p.drainTime == 0 {
		return
	}
	p.hopelessAt = now
	ahead, interval := 1, p.grantInterval()
	for _, item := range p.queue.Waiting() {
		remaining := float64(item.Value.(*waiter).deadline - now)
		if ahead > p.window.Size() && float64(ahead)*interval > remaining*hopelessMargin {
			p.shed(item)
			p.group.options.Counters.hopelessRequests.Inc()
			continue
		}
		ahead++
	}
}
