package database

import (
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
)

// failoverServers returns the servers whose logs may contain acknowledged commits:
// those that the directory lists, and those removed from it less than
// failover.RemovedAfter ago.
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

// releaseTerm makes this VM give up the current term and the use of its primary, for
// the claim with the given token.
func (g *Group) releaseTerm(token uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releasedToken = max(g.releasedToken, token)
	g.setWatch(g.watch.WithRelease(g.options.Clock.Now()))
}

// termReleased reports whether all other live VMs have released the term that the
// claim with the given token replaces. It returns false while fewer VMs are live than
// should be running, since one that this VM does not see may still use the term.
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
