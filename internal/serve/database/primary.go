package database

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
)

// ErrNoPrimary means that no server may be used as the primary now.
var ErrNoPrimary = errors.New("the database group has no confirmed primary now")

// AcquirePrimary returns a connection to the primary. It waits at most wait milliseconds, without
// the time to open the connection. The error is ErrNoPrimary, ErrEvacuated, ErrServerEvacuated, a
// *RegionError if the allowed regions permit no connection, or an error of the pool. ErrEvacuated and
// the *RegionError come without a wait.
//
// If another VM holds the connection, that one checks its lease, and this VM needs none.
func (g *Group) AcquirePrimary(ctx context.Context, r Requester, wait clock.Millis) (*PooledConn, error) {
	c := g.options.Clock
	deadline := c.Now() + wait
	if err := g.checkPrimaryRegion(r.Regions); err != nil {
		return nil, err
	}
	p, err := g.awaitPrimary(ctx, deadline, false)
	if err != nil {
		return nil, err
	}
	if !r.Regions.Contains(p.entry().Region) {
		return nil, ErrPrimaryNotAllowed
	}
	request := ConnRequest{Group: g.options.Name, Server: p.entry(), Requester: r, Primary: true, Wait: deadline - c.Now()}
	if pc, err := g.remoteConn(ctx, p, request); pc != nil || err != nil {
		return pc, err
	}
	if p, err = g.awaitPrimary(ctx, deadline, true); err != nil {
		return nil, err
	}
	if !r.Regions.Contains(p.entry().Region) {
		return nil, ErrPrimaryNotAllowed
	}
	pc, err := g.acquireOwn(ctx, p, r, deadline-c.Now())
	if err != nil {
		return nil, err
	}
	if !g.isConfirmedPrimary(p) {
		pc.Release()
		return nil, ErrNoPrimary
	}
	pc.primary = true
	invariant.Check(!g.drainSlackExceeded(p.entry().ID), invariant.LeavingServer, "server %s would get new work after its drain timeout", p.entry().ID)
	return pc, nil
}

// pastDrainLocked reports whether a server has been leaving for so long that it gets
// no new work, even as the primary. The caller holds g.mu.
func (g *Group) pastDrainLocked(server string, now clock.Millis) bool {
	since, leaving := g.leavingSince[server]
	return leaving && g.options.DrainTimeout > 0 && now-since >= g.options.DrainTimeout
}

// drainSlackExceeded reports whether a server's drain timeout passed more than
// drainSlack ago. The slack allows for the time between the choice of the server and
// this check.
func (g *Group) drainSlackExceeded(server string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pastDrainLocked(server, g.options.Clock.Now()-drainSlack)
}

// drainSlack is the time allowed between the choice of a leaving server and the check
// of its drain timeout, in milliseconds.
const drainSlack = 2 * clock.Second

// isConfirmedPrimary reports whether a pool's server may be used as the primary now:
// its lease is valid, its drain timeout has not passed and no evacuation bars it.
func (g *Group) isConfirmedPrimary(p *pool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, leader := g.watch.Leader()
	now := g.options.Clock.Now()
	return leader == p.entry().ID && g.watch.LeaseValid(now) && !g.pastDrainLocked(leader, now) && !p.isBarred(now)
}

// awaitPrimary waits until the group has a usable primary. If there is none by the deadline, it
// returns ErrNoPrimary, or ErrServerEvacuated if an evacuation bars the present one. It returns
// ErrEvacuated at once if an evacuation leaves no server that could become the primary, and
// ErrNoPrimary when the context ends. Without needsLease the primary need only be known, unless a
// holder has denied it since the last proof.
func (g *Group) awaitPrimary(ctx context.Context, deadline clock.Millis, needsLease bool) (*pool, error) {
	for {
		g.mu.Lock()
		now := g.options.Clock.Now()
		p, usable := g.usablePrimaryLocked(now, needsLease)
		ready := g.primaryReady
		refusal := g.primaryRefusalLocked(now)
		g.mu.Unlock()
		if usable {
			return p, nil
		}
		if errors.Is(refusal, ErrEvacuated) || now >= deadline {
			return nil, refusal
		}
		fired, stop := g.options.Clock.AfterFunc(deadline - now)
		select {
		case <-ready:
		case <-fired:
		case <-ctx.Done():
		}
		stop()
		if ctx.Err() != nil {
			return nil, ErrNoPrimary
		}
	}
}

// usablePrimaryLocked returns the pool of the known primary and reports whether it may be
// used; see awaitPrimary. The caller holds g.mu.
func (g *Group) usablePrimaryLocked(now clock.Millis, needsLease bool) (*pool, bool) {
	_, leader := g.watch.Leader()
	p := g.pools[leader]
	if p == nil || g.pastDrainLocked(leader, now) || p.isBarred(now) {
		return nil, false
	}
	doubted := g.leaderDoubtedAt >= g.watch.ProvedAt() && g.leaderDoubtedAt != clock.DistantPast
	return p, g.watch.LeaseValid(now) && !doubted || !needsLease && !doubted
}

// doubtPrimary records that a holder has denied that a server is the confirmed primary.
func (g *Group) doubtPrimary(server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, leader := g.watch.Leader(); leader == server {
		g.leaderDoubtedAt = g.options.Clock.Now()
	}
}

// awaitConfirmed waits until a server is confirmed as the primary. It returns ErrNoPrimary
// if another one leads, the deadline passes or the context ends.
func (g *Group) awaitConfirmed(ctx context.Context, p *pool, deadline clock.Millis) error {
	confirmed, err := g.awaitPrimary(ctx, deadline, true)
	if err == nil && confirmed != p {
		return ErrNoPrimary
	}
	return err
}
