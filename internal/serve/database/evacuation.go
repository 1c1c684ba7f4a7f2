package database

import (
	"context"
	"slices"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/regions"
)

var (
	// ErrEvacuated means that every server that could run a statement is in an evacuated availability
	// zone.
	ErrEvacuated = errors.New("the availability zone of every server that could run it is evacuated")
	// ErrServerEvacuated means that the availability zone of a server is evacuated; another one may
	// run the statement.
	ErrServerEvacuated = errors.New("the availability zone of the backend server is evacuated")
)

// evacuatedSince returns the time from which the server's zone is evacuated, and false if it is not.
func (p *pool) evacuatedSince() (clock.Millis, bool) {
	f := p.group.options.EvacuatedSinceFunc
	if f == nil {
		return 0, false
	}
	return f(p.entry().Zone)
}

// isEvacuated reports whether the server's zone is evacuated. The server gets no new reads then,
// and is replaced if it is the primary.
func (p *pool) isEvacuated() bool {
	_, evacuated := p.evacuatedSince()
	return evacuated
}

// isBarred reports whether the server may get no statement of a caller at time now, because its zone
// has been evacuated for evacuation.Bounds.Handover or longer.
func (p *pool) isBarred(now clock.Millis) bool {
	since, evacuated := p.evacuatedSince()
	return evacuated && now-since >= p.group.options.Evacuation.Handover
}

// isBarredNow is isBarred at the present time.
func (p *pool) isBarredNow() bool { return p.isBarred(p.group.options.Clock.Now()) }

// checkEvacuation returns an *UnsentError with ErrServerEvacuated if a statement of a caller may not
// be sent to the server at time now. Each VM calls it just before it sends a statement, to the server
// or to the holder, because the evacuation may have begun after the server was chosen.
func (p *pool) checkEvacuation(now clock.Millis) error {
	since, evacuated := p.evacuatedSince()
	if !evacuated {
		return nil
	}
	bounds := p.group.options.Evacuation
	if now-since >= bounds.Handover {
		p.group.options.Counters.evacuationRefusals.Inc()
		return &UnsentError{Cause: ErrServerEvacuated}
	}
	invariant.Check(now-since < bounds.Deadline, invariant.EvacuatedZone,
		"server %s of zone %s would get a statement %d ms after the evacuation", p.entry().ID, p.entry().Zone, now-since)
	return nil
}

// allReachableEvacuatedLocked reports whether servers of the group are in evacuated zones and no other
// one can be reached, so that none may be promoted. The caller holds g.mu.
func (g *Group) allReachableEvacuatedLocked(now clock.Millis) bool {
	evacuated := false
	for _, p := range g.pools {
		switch {
		case p.isEvacuated():
			evacuated = true
		case !p.unreachable(now):
			return false
		}
	}
	return evacuated
}

// primaryRefusalLocked returns why no primary can be used at time now: ErrEvacuated if an evacuation
// leaves no server that could become the primary, ErrServerEvacuated if it bars the present one and
// another may replace it, else ErrNoPrimary. The caller holds g.mu.
func (g *Group) primaryRefusalLocked(now clock.Millis) error {
	_, leader := g.watch.Leader()
	p := g.pools[leader]
	switch {
	case (p == nil || p.unreachable(now)) && g.allReachableEvacuatedLocked(now):
		return ErrEvacuated
	case p == nil || !p.isBarred(now):
		return ErrNoPrimary
	case !g.hasSuccessorLocked(leader):
		return ErrEvacuated
	}
	return ErrServerEvacuated
}

// allAllowedEvacuatedLocked reports whether servers are listed in the allowed regions, and all of
// them are in evacuated zones. The caller holds g.mu.
func (g *Group) allAllowedEvacuatedLocked(allowed regions.Allowed) bool {
	found := false
	for _, p := range g.pools {
		if !allowed.Contains(p.entry().Region) {
			continue
		}
		if !p.isEvacuated() {
			return false
		}
		found = true
	}
	return found
}

// observeEvacuation wakes those waiting for a usable primary when the number of barred servers has
// changed, since awaitPrimary may now refuse them at once.
func (g *Group) observeEvacuation(now clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	barred := 0
	for _, p := range g.pools {
		if p.isBarred(now) {
			barred++
		}
	}
	if barred != g.barredCount {
		g.barredCount = barred
		g.wakeWaitersLocked()
	}
}

// errNoSuccessor means that no server outside the evacuated zones has every commit that is known to be
// acknowledged.
var errNoSuccessor = errors.New("no server outside the evacuated zones has every acknowledged commit")

// checkSuccessor returns errNoSuccessor if the former primary, which runs, is to be replaced because its
// zone is evacuated and not because it leaves, and each sealed server outside such zones lacks what was acknowledged. The group
// then goes on in the old term, where such a server can catch up. Without this check a server of an
// evacuated zone would be promoted in turn.
func (a *claimAttempt) checkSuccessor(ctx context.Context) error {
	servers := a.group.failoverServers(a.formerPrimary)
	former := servers[a.formerPrimary]
	if !a.planned || !former.Evacuated || former.Leaving || a.acquired.Target != "" {
		return nil
	}
	if !a.hasSuccessor(servers) {
		once, cancel := context.WithTimeout(ctx, confirmTimeout.Duration())
		defer cancel()
		a.startSeals(once, servers).Wait()
	}
	if !a.hasSuccessor(servers) {
		return errNoSuccessor
	}
	return nil
}

// hasSuccessor reports whether a sealed server outside evacuated zones has every commit that is known
// to be acknowledged.
func (a *claimAttempt) hasSuccessor(servers map[string]failover.Server) bool {
	acknowledged := a.group.acknowledgedPosition()
	return slices.ContainsFunc(a.currentServers(servers), func(s failover.Server) bool {
		return s.Sealed && !s.Evacuated && s.LogEnd.Covers(acknowledged)
	})
}
