package database

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// Cold is what the configuration and the directory report of a server's cold starts.
type Cold struct {
	// Limited is set if there is a limit for cold servers. The other fields are used only then.
	Limited bool
	// Until is the time until which the server is cold by the directory.
	Until clock.Millis
	// ReadAt is the time at which the directory was read.
	ReadAt clock.Millis
	// StartTime is how long a server stays cold after its start, in milliseconds, or 0 if that
	// is not configured.
	StartTime clock.Millis
}

// registrationDelay is how long after its return a server may not have updated its row in the
// directory, in milliseconds. Servers write their row every 1.2 s.
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

// coldShare returns how many statements this VM may send in any second, and whether they are limited
// because the server is cold or may be. The caller holds p.mu.
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

// coldShareOf is coldShare for a statement on an open connection. A connection that was opened before
// the server stopped answering leads to the same process, which has not started anew. The caller holds
// p.mu.
func (p *pool) coldShareOf(pc *PooledConn, now clock.Millis) (int, bool) {
	share, limited := p.coldShare(now)
	if limited && p.slow.gone && pc.openedAt < p.slow.goneAt && now >= p.group.options.ColdFunc(p.entry()).Until {
		return 0, false
	}
	return share, limited
}

// mayBeCold reports whether the server may have started anew since the directory was read: it does
// not answer, or has begun to answer again since. The caller holds p.mu.
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

// trySend counts a statement and returns true if it may be sent now. Otherwise it revokes the grant
// and returns the pause until the next call, or 0 if this VM has no share.
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

// refreshDirectoryIfDue reads the directory once after the return of a server that may have started
// anew, registrationDelay later, when the server has written its row.
func (g *Group) refreshDirectoryIfDue(ctx context.Context, start func(func())) {
	now := g.options.Clock.Now()
	g.mu.Lock()
	due := false
	for _, p := range g.pools {
		due = p.requestsRefresh(now) || due
	}
	g.mu.Unlock()
	if due {
		start(func() { _ = g.options.RefreshDirectoryFunc(ctx) })
	}
}

// requestsRefresh reports whether the directory is to be read because of this server. It returns true
// at most once for each return of the server.
func (p *pool) requestsRefresh(now clock.Millis) bool {
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
