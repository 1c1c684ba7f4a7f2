package database

import (
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
)

// failoverServers returns the servers that may have acknowledged commits: those
// listed, and those removed from the directory less than RemovedAfter ago.
func (g *Group) failoverServers(formerPrimary string) map[string]failover.Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Now()
	out := map[string]failover.Server{}
	for id, p := range g.pools {
		out[id] = failover.Server{ID: id, Leaving: p.entry().Leaving, FormerPrimary: id == formerPrimary}
	}
	for id, at := range g.unlistedSince {
		if now-at < failover.RemovedAfter && out[id].ID == "" {
			out[id] = failover.Server{ID: id, Leaving: true, FormerPrimary: id == formerPrimary}
		}
	}
	return out
}

// primaryRecovered reports whether this VM no longer counts the primary as lost.
func (g *Group) primaryRecovered() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.primaryLostLocked(g.options.Clock.Now())
}

// releaseTerm stops the use of the current term, for the claim with the given token.
func (g *Group) releaseTerm(token uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releasedToken = max(g.releasedToken, token)
	g.setWatch(g.watch.WithRelease(g.options.Clock.Now()))
}

// termReleased reports whether all other live VMs have released the term that the
// claim with the given token replaces. It returns false while fewer VMs are live than
// should be running.
func (g *Group) termReleased(token uint64) bool {
	vms := g.options.LiveVMsFunc()
	if len(vms) < g.options.ExpectedVMCountFunc() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, vm := range vms {
		if vm != g.options.Self && g.votes[vm].releasedToken < token {
			return false
		}
	}
	return true
}
