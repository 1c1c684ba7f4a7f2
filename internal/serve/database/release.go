package database

import (
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
)

// counted returns the servers that may have acknowledged commits: those listed,
// and those off the directory for less than what makes them gone.
func (g *Group) counted(former string) map[string]failover.Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Now()
	out := map[string]failover.Server{}
	for id, p := range g.pools {
		out[id] = failover.Server{ID: id, Leaving: p.info().Leaving, Former: id == former}
	}
	for id, at := range g.unlisted {
		if now-at < failover.RemovedAfter && out[id].ID == "" {
			out[id] = failover.Server{ID: id, Leaving: true, Former: id == former}
		}
	}
	return out
}

// usable reports whether the primary may be used, at this VM's sight.
func (g *Group) usable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.lostLocked(g.options.Clock.Now())
}

// release gives the present term up for a claim.
func (g *Group) release(token uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.token = max(g.token, token)
	g.put(g.watch.WithRelease(g.options.Clock.Now()))
}

// released reports whether every VM that is known has given up the term that a
// claim replaces.
func (g *Group) released(token uint64) bool {
	vms := g.options.VMsFunc()
	if len(vms) < g.options.KnownFunc() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, vm := range vms {
		if vm != g.options.Self && g.votes[vm].token < token {
			return false
		}
	}
	return true
}
