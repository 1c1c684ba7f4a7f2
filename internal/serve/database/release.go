package database

import (
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/tenure"
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

// endRelease tells this VM and the others that the claim with the given token has ended
// without ordering a promotion.
func (g *Group) endRelease(token uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.releasedToken == token {
		g.setWatch(g.watch.WithReleaseEnd(g.options.Clock.Now()))
	}
}

// termReleased reports whether all other VMs that send messages, those that are leaving too,
// have released the term that the claim with the given token replaces. It returns false while
// these are fewer than are registered, since one that this VM does not see may still use the
// term. The release of a process counts only if it was known at the time since: one that has
// started later does not know what its VM acknowledged before.
func (g *Group) termReleased(token uint64, since clock.Millis) bool {
	vms := g.options.LiveVMsFunc()
	if g.options.LeavingVMsFunc != nil {
		vms = slices.Concat(vms, g.options.LeavingVMsFunc())
	}
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

// departedEnd returns a position that covers what was acknowledged by processes of VMs that
// have ended, and false if none is known.
func (g *Group) departedEnd() (floor.ReplicationPosition, bool) {
	removedAt := tenure.DistantPast
	if g.options.VMRemovedAtFunc != nil {
		removedAt = g.options.VMRemovedAtFunc()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setWatch(g.watch.WithDeparture(removedAt))
	return g.watch.DepartedEnd()
}

// acknowledgedInTerm returns the furthest position of a term that this VM and those that
// have released it for the claim with the given token, or for an earlier one, have
// acknowledged.
func (g *Group) acknowledgedInTerm(term floor.Term, token uint64) floor.ReplicationPosition {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out floor.ReplicationPosition
	if g.acknowledged.Term == term {
		out = g.acknowledged
	}
	if g.reported.Term == term {
		out = out.Max(g.reported)
	}
	for _, v := range g.votes {
		if v.term == term && v.releasedToken >= token {
			out = out.Max(v.acknowledged)
		}
	}
	return out
}
