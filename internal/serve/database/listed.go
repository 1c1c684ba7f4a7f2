package database

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/tenure"
)

// Update replaces the group's servers by those that the directory lists. A server
// whose address or Born has changed gets a new pool.
func (g *Group) Update(servers []Server) {
	listed := map[string]bool{}
	g.mu.Lock()
	// A VM that has just started cannot distinguish new servers, and servers that start with it
	// are listed within seconds.
	starting := g.options.Clock.Now()-g.createdAt < tenure.WitnessDelay
	var closing []*pool
	for _, s := range servers {
		listed[s.ID] = true
		_, relisted := g.unlistedSince[s.ID]
		delete(g.unlistedSince, s.ID)
		g.recordBornLocked(s)
		if _, known := g.leavingSince[s.ID]; s.Leaving && !known {
			g.leavingSince[s.ID] = g.options.Clock.Now()
		}
		if !s.Leaving {
			delete(g.leavingSince, s.ID)
		}
		p := g.pools[s.ID]
		former := p
		if p != nil && (p.entry().Address != s.Address || p.entry().Born != s.Born) {
			closing = append(closing, p)
			p = nil
			g.forgetPositionsLocked(s.ID)
			g.recordDepartureLocked(s.ID)
		}
		if p == nil {
			g.pools[s.ID] = newPool(g, s)
			g.beginSlowStartLocked(g.pools[s.ID], former, relisted || !starting)
			if !starting {
				g.watch = g.watch.WithListed(s.ID, g.options.Clock.Now())
			}
			if _, leader := g.watch.Leader(); s.ID == leader {
				g.wakeWaitersLocked()
			}
			g.options.Log.Info("backend server listed", "group", g.options.Name, "server", s.ID, "zone", s.Zone, "leaving", s.Leaving)
			continue
		}
		if p.entry().Leaving != s.Leaving {
			g.options.Log.Info("backend server changed", "group", g.options.Name, "server", s.ID, "leaving", s.Leaving)
		}
		p.server.Store(&s)
	}
	closing = append(closing, g.removeUnlistedLocked(listed)...)
	g.updateFullSize()
	g.mu.Unlock()
	for _, p := range closing {
		p.close()
	}
}

// removeUnlistedLocked removes the servers that are not listed, and returns their pools, which the
// caller closes. The caller holds g.mu.
func (g *Group) removeUnlistedLocked(listed map[string]bool) []*pool {
	var removed []*pool
	for id, p := range g.pools {
		if listed[id] {
			continue
		}
		delete(g.pools, id)
		g.forgetPositionsLocked(id)
		g.unlistedSince[id] = g.options.Clock.Now()
		g.watch = g.watch.WithUnlisted(id)
		g.recordDepartureLocked(id)
		removed = append(removed, p)
		g.options.Log.Info("backend server unlisted", "group", g.options.Name, "server", id)
	}
	return removed
}

// recordDepartureLocked records that a server has left the group or started anew, unless it is the primary: a
// commit of the present term that only servers which have left had besides the primary is covered by
// what the primary's log had reached before. The caller holds g.mu.
func (g *Group) recordDepartureLocked(server string) {
	if _, leader := g.watch.Leader(); server != leader {
		g.watch = g.watch.WithServerDeparture(g.options.Clock.Now())
	}
}

// recordBornLocked records the start of a listed server. The caller holds g.mu.
func (g *Group) recordBornLocked(s Server) {
	if old, known := g.born[s.ID]; known && old != s.Born {
		g.restartedIn[s.ID], _ = g.watch.Leader()
	}
	g.born[s.ID] = s.Born
}

// hasRestarted reports whether a server has started anew in the present term, and has not
// reported itself as primary since.
func (g *Group) hasRestarted(server string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hasRestartedLocked(server)
}

// hasRestartedLocked is hasRestarted for a caller that holds g.mu.
func (g *Group) hasRestartedLocked(server string) bool {
	term, _ := g.watch.Leader()
	restartedIn, ok := g.restartedIn[server]
	return ok && restartedIn == term
}

// forgetPositionsLocked forgets how far a server's log reached, which may start anew. The
// caller holds g.mu.
func (g *Group) forgetPositionsLocked(server string) {
	delete(g.positions, server)
	delete(g.positionSeenAt, server)
	delete(g.receivedPositions, server)
}

// updateFullSize sets fullSize, unless a server is leaving or was just listed: a new
// server may be the replacement for one about to leave. The caller holds g.mu.
func (g *Group) updateFullSize() {
	now := g.options.Clock.Now()
	for _, p := range g.pools {
		if p.entry().Leaving || g.fullSize > 0 && now-p.listedAt < establishedAfter {
			return
		}
	}
	g.fullSize = len(g.pools)
}

// establishedAfter is how long a server must be listed to count towards the full size
// of the group, in milliseconds.
const establishedAfter = 10 * clock.Second
