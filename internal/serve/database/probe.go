package database

import (
	"context"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/core/tenure"
)

const (
	// probeTimeout bounds a status query or command, in milliseconds.
	probeTimeout = clock.Millis(700)
	// probePause is the least time between two probes of one server.
	probePause = clock.Millis(150)
	// probeAccount is the account for which connections for probes and commands are
	// opened.
	probeAccount = "sycamoredoor"
)

// Tick probes servers when the proof of the primary needs renewal, replaces a lost
// primary, and closes unneeded idle connections. It runs probes and claims with start,
// and does not wait for them.
func (g *Group) Tick(ctx context.Context, start func(func())) {
	now := g.options.Clock.Now()
	g.observeEvacuation(now)
	if !g.isSettled(now) {
		g.trim(now)
		return
	}
	for _, p := range g.poolsToProbe(now) {
		start(func() { g.probe(ctx, p) })
	}
	g.claimIfDue(ctx, start)
	g.refreshDirectoryIfDue(ctx, start)
	g.trim(now)
}

// isSettled reports whether this VM knows which VMs there are, and records since when.
func (g *Group) isSettled(now clock.Millis) bool {
	g.mu.Lock()
	settled := g.settledAt > 0
	g.mu.Unlock()
	if settled {
		return true
	}
	if g.options.SettledFunc != nil && !g.options.SettledFunc() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settledAt = now
	return true
}

// trim closes idle connections that are not needed.
func (g *Group) trim(now clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.pools {
		p.trim(now)
	}
}

const (
	// rankPause is how much older the proof must be for the VM of the next rank to
	// probe.
	rankPause = clock.Millis(120)
	// maxRank caps the rank: VMs of this and higher ranks probe at the same age.
	maxRank = 3
	// relayedProbers is the number of VMs that renew a proof in turn while relays are used,
	// and relayedReserveAge the age of a proof, in milliseconds, at which the others probe.
	// A proof takes up to 400 ms from a prober through a relay to another VM of the zone, so
	// that with pauses of rankPause each of them would probe before it learns of the others.
	relayedProbers    = 2
	relayedReserveAge = clock.Millis(880)
	// maxStartRank replaces maxRank while no primary is known: VMs that start
	// together would otherwise use up a server's connections with their probes.
	maxStartRank = 8
)

// poolsToProbe returns the servers to probe now: the primary and one replica if the
// proof needs renewal, all servers if no primary is known or the proof has expired or
// is about to.
func (g *Group) poolsToProbe(now clock.Millis) []*pool {
	g.mu.Lock()
	_, leader := g.watch.Leader()
	isFresh := leader != "" && now-g.watch.ProvedAt() < tenure.RenewAfter
	g.mu.Unlock()
	if isFresh {
		return nil
	}
	ownRank, probes := g.probeRank()
	if !probes {
		return nil
	}
	renewAge := g.renewAge(ownRank)
	g.mu.Lock()
	defer g.mu.Unlock()
	_, leader = g.watch.Leader()
	age := now - g.watch.ProvedAt()
	if leader == "" && now-g.settledAt < clock.Millis(min(ownRank, maxStartRank))*rankPause {
		return nil
	}
	if leader != "" && age < renewAge {
		return nil
	}
	reason := probeRenewal
	switch {
	case leader == "":
		reason = probeNoPrimary
	case age >= tenure.Lease*3/4:
		reason = probeExpiring
	}
	all := reason != probeRenewal
	var out []*pool
	for id, p := range g.pools {
		if last, ok := g.probedAt[id]; ok && now-last < probePause || !all && id != leader && !g.isPreferredReplica(p) {
			continue
		}
		g.probedAt[id] = now
		if id == leader && g.leaderAskedAt <= g.leaderKnownAtLocked() {
			g.leaderAskedAt = now
		}
		g.options.Counters.probeReasons[reason].Inc()
		out = append(out, p)
	}
	return out
}

// renewAge returns the age of the last proof, in milliseconds, at which a VM of this rank probes.
func (g *Group) renewAge(rank int) clock.Millis {
	if rank >= relayedProbers && g.options.UsesRelaysFunc != nil && g.options.UsesRelaysFunc() {
		return relayedReserveAge
	}
	return tenure.RenewAfter + clock.Millis(min(rank, maxRank))*rankPause
}

// isPreferredReplica reports whether a server is the replica to probe first: the one
// that answered last, with a bonus for the VM's region. The caller holds g.mu.
func (g *Group) isPreferredReplica(p *pool) bool {
	_, leader := g.watch.Leader()
	best := ""
	var bestAt clock.Millis
	for id, o := range g.pools {
		if id == leader {
			continue
		}
		at := g.receivedPositions[id].at
		if o.entry().Region == g.options.Region {
			at += regionBonus
		}
		if best == "" || at > bestAt || at == bestAt && id < best {
			best, bestAt = id, at
		}
	}
	return best == p.entry().ID
}

// regionBonus is how much older the answer of a replica in the VM's own region may be
// for it to be preferred, in milliseconds.
const regionBonus = clock.Second

// probe queries the status of one server, and makes one that leads an earlier term step down.
func (g *Group) probe(ctx context.Context, p *pool) {
	g.options.Counters.probes.Inc()
	sent := g.options.Clock.Now()
	status, err := g.RunCommand(ctx, p.entry().ID, QueryStatus, 0)
	if err != nil {
		g.options.Log.Debug("probe failed", "group", g.options.Name, "server", p.entry().ID, "err", err)
		return
	}
	g.recordStatus(p.entry().ID, status, sent)
	g.stepDownEarlier(ctx, p.entry().ID, status)
}

// recordStatus records a server's answer to a status query or command, and gossips a
// newer proof to the region. sent is the time at which the query or command was sent,
// or clock.DistantPast if the answer must not count as a proof.
func (g *Group) recordStatus(server string, status statement.ReplicationStatus, sent clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Now()
	oldProvedAt := g.watch.ProvedAt()
	g.recordReceived(server, status, now)
	g.checkLogLocked(server, status)
	if status.Primary {
		delete(g.restartedIn, server)
	}
	g.setWatch(g.watch.WithStatus(server, status, sent))
	if g.watch.ProvedAt() > oldProvedAt {
		g.options.RegionGossipFunc()
	}
}

// RunCommand runs a claimant's command or a status query at a server. It returns an
// error of the pool if there was no connection, and a *RefusalError if the server
// refused.
func (g *Group) RunCommand(ctx context.Context, server string, c Command, term floor.Term) (statement.ReplicationStatus, error) {
	pc, err := g.commandConn(ctx, server)
	if err != nil {
		return statement.ReplicationStatus{}, err
	}
	defer pc.Release()
	return pc.RunCommand(c, term, commandTimeout(ctx))
}

// commandConn returns a connection for a command or probe at a server, or an error of the
// pool.
func (g *Group) commandConn(ctx context.Context, server string) (*PooledConn, error) {
	g.mu.Lock()
	p := g.pools[server]
	g.mu.Unlock()
	if p == nil {
		return nil, ErrUnknownServer
	}
	return p.controlConn(ctx)
}

// commandTimeout returns the bound on a command in milliseconds: probeTimeout, or what is
// left until the context ends if that is less.
func commandTimeout(ctx context.Context) clock.Millis {
	end, ok := ctx.Deadline()
	if !ok {
		return probeTimeout
	}
	return min(probeTimeout, max(clock.Millis(time.Until(end)/time.Millisecond), 1))
}

// controlConn returns a connection for a probe or command: any idle one, since these
// run for no account, or a new one. It bypasses the queue, and may exceed the maximum
// number of connections by one.
func (p *pool) controlConn(ctx context.Context) (*PooledConn, error) {
	p.mu.Lock()
	now := p.group.options.Clock.Now()
	switch n := len(p.idle); {
	case p.closed:
		p.mu.Unlock()
		return nil, ErrUnknownServer
	case n > 0:
		pc := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return pc, nil
	case p.open > p.maxConns() || now < p.connLimitUntil:
		p.mu.Unlock()
		return nil, ErrTooManyConnections
	}
	pc := p.reserve()
	p.mu.Unlock()
	return p.dial(ctx, pc, probeAccount, dialForControl)
}
