package database

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/core/tenure"
)

const (
	// probeTimeout bounds a question about the tenure, in milliseconds.
	probeTimeout = clock.Millis(700)
	// probePause is the least pause between two questions to one server.
	probePause = clock.Millis(150)
	// probeAccount is the account that connections for questions are opened for.
	probeAccount = "sycamoredoor"
)

// Tick asks servers for their tenure when the proof of the primary grows old,
// and has a lost primary replaced. It returns at once.
func (g *Group) Tick(ctx context.Context, start func(func())) {
	now := g.options.Clock.Now()
	for _, p := range g.poolsToProbe(now) {
		start(func() { g.probe(ctx, p) })
	}
	g.claimIfDue(ctx, start)
	g.trim(now)
}

// trim closes connections that are not needed.
func (g *Group) trim(now clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.pools {
		p.trim(now)
	}
}

const (
	// rankPause is how much older a proof must be for the next VM in rank to ask.
	rankPause = clock.Millis(120)
	// maxRank is the rank from which all VMs ask alike.
	maxRank = 3
	// maxStartRank is the same while no primary is known: VMs that start together
	// would otherwise take the connections of a server for their questions.
	maxStartRank = 8
)

// poolsToProbe returns the servers to ask now: the primary and a replica while the proof
// is merely old, all when it is over.
func (g *Group) poolsToProbe(now clock.Millis) []*pool {
	ownRank := g.probeRank()
	rank := min(ownRank, maxRank)
	g.mu.Lock()
	defer g.mu.Unlock()
	_, leader := g.watch.Leader()
	age := now - g.watch.ProvedAt()
	if leader == "" && now-g.createdAt < clock.Millis(min(ownRank, maxStartRank))*rankPause {
		return nil
	}
	if leader != "" && age < tenure.RenewAfter+clock.Millis(rank)*rankPause {
		return nil
	}
	all := leader == "" || age >= tenure.Lease*3/4
	var out []*pool
	for id, p := range g.pools {
		if last, ok := g.probedAt[id]; ok && now-last < probePause || !all && id != leader && !g.isPreferredReplica(p) {
			continue
		}
		g.probedAt[id] = now
		out = append(out, p)
	}
	return out
}

// isPreferredReplica reports whether a server is the first replica to ask: one of the own
// region that answered last, if there is one.
func (g *Group) isPreferredReplica(p *pool) bool {
	_, leader := g.watch.Leader()
	best := ""
	var bestAt clock.Millis
	for id, o := range g.pools {
		if id == leader {
			continue
		}
		at := g.received[id].at
		if o.entry().Region == g.options.Region {
			at += regionBonus
		}
		if best == "" || at > bestAt || at == bestAt && id < best {
			best, bestAt = id, at
		}
	}
	return best == p.entry().ID
}

// regionBonus is how much older an answer from the own region may be, in milliseconds.
const regionBonus = clock.Second

// probe asks one server.
func (g *Group) probe(ctx context.Context, p *pool) {
	g.options.Counters.probes.Inc()
	sent := g.options.Clock.Now()
	t, err := g.RunCommand(ctx, p.entry().ID, QueryStatus, 0)
	if err != nil {
		g.options.Log.Debug("probe failed", "group", g.options.Name, "server", p.entry().ID, "err", err)
		return
	}
	g.recordStatus(p.entry().ID, t, sent)
}

func (g *Group) recordStatus(server string, t statement.ReplicationStatus, sent clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Now()
	proved := g.watch.ProvedAt()
	g.recordReceived(server, t, now)
	g.setWatch(g.watch.WithStatus(server, t, sent))
	if g.watch.ProvedAt() > proved {
		g.options.RegionGossipFunc()
	}
}

// RunCommand gives an order of a claimant to a server, or asks for its tenure.
func (g *Group) RunCommand(ctx context.Context, server string, o Command, term floor.Term) (statement.ReplicationStatus, error) {
	g.mu.Lock()
	p := g.pools[server]
	g.mu.Unlock()
	if p == nil {
		return statement.ReplicationStatus{}, ErrUnlisted
	}
	h, err := p.controlConn(ctx)
	if err != nil {
		return statement.ReplicationStatus{}, err
	}
	defer h.Release()
	return h.RunCommand(o, term, probeTimeout)
}

// controlConn returns a connection for a question or an order: any idle one, since
// these run for no account, or a new one. It does not stand in line, and may go
// one over the share.
func (p *pool) controlConn(ctx context.Context) (*PooledConn, error) {
	p.mu.Lock()
	now := p.group.options.Clock.Now()
	switch n := len(p.idle); {
	case p.closed:
		p.mu.Unlock()
		return nil, ErrUnlisted
	case n > 0:
		h := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return h, nil
	case p.open > p.maxConns() || now < p.connLimitUntil:
		p.mu.Unlock()
		return nil, ErrTooManyConnections
	}
	p.open++
	p.mu.Unlock()
	return p.dial(ctx, &PooledConn{pool: p}, probeAccount)
}
