package database

import (
	"context"
	"slices"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/slowstart"
)

// Cold is what the operators and the directory state of a server's cold starts.
type Cold struct {
	// Limited is set if there is a limit for cold servers. The other fields are used only then.
	Limited bool
	// Until is the time until which the directory says that the server is cold.
	Until clock.Millis
	// ReadAt is the time at which the directory was read.
	ReadAt clock.Millis
	// StartTime is how long a server stays cold after its start, in milliseconds, or 0 if that
	// is not stated.
	StartTime clock.Millis
}

// registrationDelay is how long after its return the row of a server in the directory may be that
// of before, in milliseconds. Servers write it every 1.2 s.
const registrationDelay = clock.Millis(1500)

// errColdLimit means that this VM's share of the limit of a cold server is used up for as long as
// the statement may wait. It is an ErrPoolTimeout.
var errColdLimit error = coldLimitError{}

// coldLimitError is the type of errColdLimit.
type coldLimitError struct{}

// Error implements error.
func (coldLimitError) Error() string {
	return "the backend server has just started, and the limit of statements to it is used up"
}

// Is reports that it is an ErrPoolTimeout.
func (coldLimitError) Is(target error) bool { return errors.Is(ErrPoolTimeout, target) }

// slowStart is the state of a pool for a server that has started or failed.
type slowStart struct {
	ramp  slowstart.Ramp
	quota slowstart.Quota
	// gone is set once the server did not answer, first at goneAt; returnedAt is the time of its
	// first answer after that. Until a later read of the directory it may have started anew.
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

// coldShare returns how many statements this VM may send in any second, and whether that is
// limited, since the server is cold or may be. The caller holds p.mu.
func (p *pool) coldShare(now clock.Millis) (int, bool) {
	o := p.group.options
	if o.ColdFunc == nil {
		return 0, false
	}
	c := o.ColdFunc(p.entry())
	if !c.Limited || now >= c.Until && !p.mayBeCold(c, now) {
		return 0, false
	}
	return o.ColdShareFunc(p.entry()), true
}

// coldShareOf is coldShare for a statement on an open connection. One that was opened before the
// server did not answer leads to the process of then, which has not started anew. The caller holds
// p.mu.
func (p *pool) coldShareOf(pc *PooledConn, now clock.Millis) (int, bool) {
	share, limited := p.coldShare(now)
	if limited && p.slow.gone && pc.openedAt < p.slow.goneAt && now >= p.group.options.ColdFunc(p.entry()).Until {
		return 0, false
	}
	return share, limited
}

// mayBeCold reports whether the server may have started anew since the directory was read: it does
// not answer, or has answered again after that. The caller holds p.mu.
func (p *pool) mayBeCold(c Cold, now clock.Millis) bool {
	switch {
	case !p.slow.gone:
		return false
	case p.slow.ramp.Down():
		return true
	case c.StartTime > 0 && now >= p.slow.returnedAt+c.StartTime:
		return false
	}
	return c.ReadAt < p.slow.returnedAt+registrationDelay
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

// isCrowded reports whether a read should rather go to another server, since it would wait or be
// refused here. The caller holds p.mu.
func (p *pool) isCrowded() bool {
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

// slowRefusal returns an error for a statement that is known not to be sent within wait
// milliseconds: ErrUnreachable while the server does not answer and none is sent as an attempt, or
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

// ownID is the ID of the proxy's own statements.
const ownID = "-"

// awaitSend waits until a statement on an acquired connection may be sent, and counts it. It
// returns false if the limit of a cold server does not allow it before the deadline.
func (p *pool) awaitSend(pc *PooledConn, r Request, deadline clock.Millis) bool {
	if r.ID == ownID {
		p.returnReserved(pc)
		return true
	}
	c := p.group.options.Clock
	for {
		pause, ok := p.trySend(pc)
		if ok {
			return true
		}
		if pause == 0 || c.Now()+pause >= deadline || c.Sleep(context.Background(), pause) != nil {
			p.group.options.Counters.slowRefusals[refusedCold].Inc()
			return false
		}
	}
}

// returnReserved takes back what reserveSend counted for a connection.
func (p *pool) returnReserved(pc *PooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pc.granted {
		p.slow.quota = p.slow.quota.WithReturned()
	}
}

// trySend counts a statement if it may be sent now. Otherwise it returns the pause until the next
// call, or 0 if this VM has no share. A grant that is not enough is taken back.
func (p *pool) trySend(pc *PooledConn) (clock.Millis, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.group.options.Clock.Now()
	if pc.granted {
		p.slow.quota = p.slow.quota.WithReturned()
	}
	share, limited := p.coldShareOf(pc, now)
	switch {
	case !limited:
		return 0, true
	case p.slow.quota.MaySend(share, now):
		p.slow.quota = p.slow.quota.WithSent(now)
		p.slow.coldSent++
		p.group.options.Counters.coldStatements.Inc()
		return 0, true
	}
	if pc.granted {
		pc.granted = false
		p.granted--
	}
	if share == 0 {
		return 0, false
	}
	return recheckPause, false
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
		o.Log.Info("slow start begins", "group", o.Name, "server", p.entry().ID, "reason", next.Reason(), "baseline_ms", next.Baseline(), "window", p.window.Size())
	case !before.Open() && next.Open():
		f := before.Figures(now)
		o.Log.Info("slow start ended", "group", o.Name, "server", p.entry().ID, "reason", before.Reason(), "took", f.Took, "answers", f.Answers+1, "answer_ms", f.ResponseTime, "baseline_ms", f.Baseline, "window", p.window.Size())
	}
}

// recordProcess records an answer on a connection whose opening began at openedAt. If that was before
// the server did not answer, it is the same process and has not started anew.
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

// logCold logs when the server becomes cold and when it is warm. The caller holds p.mu.
func (p *pool) logCold(now clock.Millis) {
	share, cold := p.coldShare(now)
	o := p.group.options
	switch {
	case cold && p.slow.coldSince == 0:
		p.slow.coldSince, p.slow.coldSent = now, 0
		o.Log.Info("backend server is cold", "group", o.Name, "server", p.entry().ID, "cold_left", p.entry().ColdLeft, "gone", p.slow.gone, "share", share)
	case !cold && p.slow.coldSince != 0:
		o.Log.Info("backend server is warm", "group", o.Name, "server", p.entry().ID, "took", now-p.slow.coldSince, "sent", p.slow.coldSent)
		p.slow.coldSince = 0
	}
	if p.slow.gone && !cold && !p.slow.ramp.Down() {
		p.slow.gone = false
	}
}

// MarkRecovering begins a slow start of a server that gets statements again after it had none, as
// when the evacuation of its zone is cancelled. It does nothing for a server that is not listed.
func (g *Group) MarkRecovering(server string) {
	g.mu.Lock()
	p := g.pools[server]
	g.mu.Unlock()
	if p == nil {
		return
	}
	p.beginSlowStart(slowstart.Resumed, 0)
}

// beginSlowStart begins a slow start. baseline is the expected response time in milliseconds if the
// pool knows none, or 0.
func (p *pool) beginSlowStart(reason slowstart.Reason, baseline float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.group.options.Clock.Now()
	p.setRamp(p.slow.ramp.WithBaseline(baseline).WithBegin(reason, now), now)
}

// beginSlowStartLocked begins the slow start of a server with a new pool: former is its pool before
// it started anew, or nil, and isNew is set if it was listed after this VM had started. The caller
// holds g.mu.
func (g *Group) beginSlowStartLocked(p, former *pool, isNew bool) {
	switch {
	case former != nil:
		p.beginSlowStart(slowstart.Restarted, former.baseline())
	case isNew:
		p.beginSlowStart(slowstart.Listed, g.replicaBaselineLocked())
	}
}

// baseline returns the response time that is expected of the server, or 0.
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

// refreshDirectoryIfDue reads the directory once after the return of a server that may have started
// anew, as soon as the server must have written its row.
func (g *Group) refreshDirectoryIfDue(ctx context.Context, start func(func())) {
	now := g.options.Clock.Now()
	g.mu.Lock()
	due := false
	for _, p := range g.pools {
		due = p.takeRefresh(now) || due
	}
	g.mu.Unlock()
	if due {
		start(func() { _ = g.options.RefreshDirectoryFunc(ctx) })
	}
}

// takeRefresh reports whether the directory is to be read because of this server, once for each
// return.
func (p *pool) takeRefresh(now clock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &p.slow
	if p.group.options.ColdFunc == nil || !s.gone || s.ramp.Down() || s.refreshedFor == s.returnedAt || now < s.returnedAt+registrationDelay {
		return false
	}
	c := p.group.options.ColdFunc(p.entry())
	s.refreshedFor = s.returnedAt
	return c.Limited && c.ReadAt < s.returnedAt+registrationDelay
}
