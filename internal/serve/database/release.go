package database

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
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
		out[id] = failover.Server{ID: id, Born: p.entry().Born, Leaving: p.entry().Leaving, FormerPrimary: id == formerPrimary}
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

// isLeaving reports whether the directory lists a server as leaving.
func (g *Group) isLeaving(server string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pools[server]
	return p != nil && p.entry().Leaving
}

// answersRecently reports whether a server has answered this VM within failover.LostAfter.
func (g *Group) answersRecently(server string) bool {
	g.mu.Lock()
	p := g.pools[server]
	g.mu.Unlock()
	return p != nil && p.answeredRecently(g.options.Clock.Now())
}

// endRelease tells this VM and the others that the claims up to the given token have ended,
// and that no order of them to promote a server may take effect.
func (g *Group) endRelease(token uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.releasedToken <= token {
		g.releasedToken = token
		g.setWatch(g.watch.WithReleaseEnd(g.options.Clock.Now()))
	}
}

// termReleased reports whether all other live VMs have released the term that the
// claim with the given token replaces. It returns false while fewer VMs are live than
// should be running, since one that this VM does not see may still use the term. The
// release of a process counts only if it was known at the time since: one that has started
// later does not know what its VM acknowledged before.
func (g *Group) termReleased(token uint64, since clock.Millis) bool {
	vms := g.options.LiveVMsFunc()
	if len(vms) < g.options.ExpectedVMCountFunc() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, vm := range vms {
		if v := g.votes[vm]; vm != g.options.Self && (v.releasedToken < token || v.knownSince > since) {
			return false
		}
	}
	return true
}

// acknowledgedInTerm returns the furthest position of a term that this VM and those that
// have released it for the claim with the given token have acknowledged.
func (g *Group) acknowledgedInTerm(term floor.Term, token uint64) floor.ReplicationPosition {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out floor.ReplicationPosition
	if g.acknowledged.Term == term {
		out = g.acknowledged
	}
	for _, v := range g.votes {
		if v.term == term && v.releasedToken >= token {
			out = out.Max(v.acknowledged)
		}
	}
	return out
}
