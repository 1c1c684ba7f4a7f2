package database

import (
	"slices"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/slowstart"
)

// slowStart is the state of a pool for a server that has started or failed.
type slowStart struct {
	ramp  slowstart.Ramp
	quota slowstart.Quota
	// gone is set when the server stops answering, at goneAt, and stays set while it may have
	// started anew; returnedAt is the time of its first answer after that. A later read of the
	// directory, or an answer on an older connection, resolves that.
	gone       bool
	goneAt     clock.Millis
	returnedAt clock.Millis
	// refreshedFor is the returnedAt for which the directory was read.
	refreshedFor clock.Millis
	// coldSince is the time since which the server is known as cold, or 0, and coldSent the
	// number of statements sent since.
	coldSince clock.Millis
	coldSent  int
}

// maySend reports whether another statement may be granted. The caller holds p.mu.
func (p *pool) maySend() bool {
	now := p.group.options.Clock.Now()
	if !p.slow.ramp.MaySend(p.running+p.granted, now) {
		return false
	}
	share, limited := p.coldShare(now)
	return !limited || p.slow.quota.MaySend(share, now)
}

// isSlowed reports whether a read should preferably go to another server, because a slow start would
// delay or refuse it here. The caller holds p.mu.
func (p *pool) isSlowed() bool {
	now := p.group.options.Clock.Now()
	if !p.slow.ramp.MaySend(p.running+p.granted+p.queue.Len(), now) {
		return true
	}
	share, limited := p.coldShare(now)
	return limited && !p.slow.quota.MaySend(share-p.queue.Len(), now)
}

// refuseSlow returns the error of slowRefusal, and counts it. The caller holds p.mu.
func (p *pool) refuseSlow(wait clock.Millis) error {
	err := p.slowRefusal(wait)
	switch {
	case errors.Is(err, ErrUnreachable):
		p.group.options.Counters.slowRefusals[refusedDown].Inc()
	case err != nil:
		p.group.options.Counters.slowRefusals[refusedCold].Inc()
	}
	return err
}

// slowRefusal returns an error for a statement that certainly cannot be sent within wait milliseconds,
// or nil: ErrUnreachable while the server does not answer and the next attempt is not due, or
// errColdLimit. The caller holds p.mu.
func (p *pool) slowRefusal(wait clock.Millis) error {
	now := p.group.options.Clock.Now()
	if p.slow.ramp.Down() && p.running+p.granted == 0 && !p.slow.ramp.MaySend(0, now) {
		return ErrUnreachable
	}
	share, limited := p.coldShare(now)
	if !limited {
		return nil
	}
	if expected, ok := p.slow.quota.ExpectedWait(share, p.queue.Len(), now); !ok || expected > wait {
		return errColdLimit
	}
	return nil
}

// reserveSend counts a statement that is granted. The caller holds p.mu.
func (p *pool) reserveSend() {
	p.slow.quota = p.slow.quota.WithReserved()
	p.slow.ramp = p.slow.ramp.WithSent(p.group.options.Clock.Now())
}

// setRamp replaces the ramp, logs the begin and the end of a slow start, and refuses the waiting
// requests when the server does not answer. The caller holds p.mu.
func (p *pool) setRamp(next slowstart.Ramp, now clock.Millis) {
	before := p.slow.ramp
	p.slow.ramp = next
	switch {
	case next.Down() && !p.closed:
		if !p.slow.gone {
			p.slow.gone, p.slow.goneAt = true, now
		}
		p.refuseWaiting()
	case before.Down():
		p.slow.returnedAt = now
	}
	o := p.group.options
	switch {
	case before.Open() && !next.Open():
		o.Counters.slowStarts[next.Reason()].Inc()
		o.Log.Info("slow start begins", "group", o.Name, "server", p.entry().ID, "reason", next.Reason(),
			"baseline_ms", next.Baseline(), "window", p.window.Size())
	case !before.Open() && next.Open():
		f := before.Figures(now)
		o.Log.Info("slow start ended", "group", o.Name, "server", p.entry().ID, "reason", before.Reason(), "took", f.Took,
			"answers", f.Answers+1, "answer_ms", f.ResponseTime, "baseline_ms", f.Baseline, "window", p.window.Size())
	}
}

// recordProcess records an answer on a connection whose opening began at openedAt. If that was before
// the server stopped answering, the server is the same process and has not started anew.
func (p *pool) recordProcess(openedAt clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.slow.gone && openedAt < p.slow.goneAt {
		p.slow.gone = false
	}
}

// refuseWaiting refuses the requests in the queue, since the server does not answer. Their callers
// then look for another server or primary. The caller holds p.mu.
func (p *pool) refuseWaiting() {
	for item := p.queue.Pop(); item != nil; item = p.queue.Pop() {
		w := item.Value.(*waiter)
		w.refusal = ErrUnreachable
		w.ready <- nil
	}
	p.drainTime, p.drainedAt = 0, 0
}

// MarkRecovering begins a slow start of a server that gets statements again after a time without any,
// such as when the evacuation of its zone ends. It does nothing for a server that is not listed.
func (g *Group) MarkRecovering(server string) {
	g.mu.Lock()
	p := g.pools[server]
	g.mu.Unlock()
	if p == nil {
		return
	}
	p.beginSlowStart(slowstart.Resumed, 0)
}

// beginSlowStart begins a slow start. baseline is the expected response time in milliseconds to use
// if the pool has none, or 0.
func (p *pool) beginSlowStart(reason slowstart.Reason, baseline float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.group.options.Clock.Now()
	p.setRamp(p.slow.ramp.WithBaseline(baseline).WithBegin(reason, now), now)
}

// beginSlowStartLocked begins the slow start of a server with a new pool p. former is the pool of its
// previous process, or nil, and isNew is set if the server was listed after this VM had started. The
// caller holds g.mu.
func (g *Group) beginSlowStartLocked(p, former *pool, isNew bool) {
	switch {
	case former != nil:
		p.beginSlowStart(slowstart.Restarted, former.baseline())
	case isNew:
		p.beginSlowStart(slowstart.Listed, g.replicaBaselineLocked())
	}
}

// baseline returns the response time that is expected of the server in milliseconds, or 0.
func (p *pool) baseline() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slow.ramp.Baseline()
}

// replicaBaselineLocked returns the median of the response times that are expected of the replicas,
// in milliseconds, or 0 if none is known. That of the primary is left out, because writes wait for
// replicas. The caller holds g.mu.
func (g *Group) replicaBaselineLocked() float64 {
	_, leader := g.watch.Leader()
	var known []float64
	for id, p := range g.pools {
		if b := p.baseline(); b > 0 && id != leader {
			known = append(known, b)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}
