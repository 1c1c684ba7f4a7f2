package database

import (
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

// failoverServers returns the servers whose logs may contain acknowledged commits:
// those that the directory lists, and those removed from it less than
// failover.RemovedAfter ago. A former primary that is not known to be among these counts as removed when
// this VM began to serve the group, also if its ID is not known ("").
//
// A former primary that has started anew, and has not led since, is a replica like any other: its log holds
// what it reports.
func (g *Group) failoverServers(formerPrimary string) map[string]failover.Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Now()
	out := map[string]failover.Server{}
	for id, p := range g.pools {
		out[id] = failover.Server{ID: id, Born: p.entry().Born, Leaving: p.entry().Leaving, LeavingSince: g.leavingSince[id], Evacuated: p.isEvacuated(), FormerPrimary: id == formerPrimary && !g.hasRestartedLocked(id)}
	}
	for id, at := range g.unlistedSince {
		if now-at < failover.RemovedAfter && out[id].ID == "" {
			out[id] = failover.Server{ID: id, Leaving: true, FormerPrimary: id == formerPrimary}
		}
	}
	if _, known := out[formerPrimary]; !known && now-g.createdAt < failover.RemovedAfter {
		out[formerPrimary] = failover.Server{ID: formerPrimary, Leaving: true, FormerPrimary: true}
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
	g.observeReleaseLocked()
}

// isLeavingOrEvacuated reports whether the directory lists a server as leaving, or in an evacuated
// zone.
func (g *Group) isLeavingOrEvacuated(server string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pools[server]
	return p != nil && (p.entry().Leaving || p.isEvacuated())
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
		g.options.Log.Info("release of the term ended", "group", g.options.Name, "token", token)
	}
}

// termReleased reports whether all other VMs that send messages, those that are leaving too,
// have released the term that the claim with the given token replaces. It returns false while
// these are fewer than are registered, since one that this VM does not see may still use the
// term. A release counts only while it is in force, and if its process was known at the time
// since: one that has started later does not know what its VM acknowledged before.
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
		if v := g.votes[vm]; vm != g.options.Self && (v.releasedToken < token || v.releaseEnded || v.knownSince > since) {
			return false
		}
	}
	return true
}

// acknowledgedPosition returns the furthest position that this VM and the others have reported
// as acknowledged. It may be of an earlier term than the present one, in which nothing may have
// been acknowledged yet.
func (g *Group) acknowledgedPosition() floor.ReplicationPosition {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.acknowledged.Max(g.reported)
}

// checkLogLocked asserts that the log of a server that leads a later term has every commit of
// which this VM knows that it was acknowledged. Commits that it lacks are lost for good, so no
// later promotion can wait for them: they are forgotten. The caller holds g.mu.
func (g *Group) checkLogLocked(server string, status statement.ReplicationStatus) {
	if !status.Primary {
		return
	}
	for _, p := range []*floor.ReplicationPosition{&g.acknowledged, &g.reported} {
		if p.Term < status.Term && !status.Received.Covers(*p) {
			g.reportLostLocked(server, status, *p)
			g.lostTerm, g.lostAfter = status.Term, status.Received
			*p = floor.ReplicationPosition{}
		}
	}
}

// isLostLocked reports whether an acknowledged position is known to be lost. The caller holds
// g.mu.
func (g *Group) isLostLocked(p floor.ReplicationPosition) bool {
	return p.Term < g.lostTerm && !g.lostAfter.Covers(p)
}

// reportLostLocked logs and counts acknowledged commits that the present primary lacks. The
// caller holds g.mu.
func (g *Group) reportLostLocked(server string, status statement.ReplicationStatus, acknowledged floor.ReplicationPosition) {
	g.options.Log.Error("the primary lacks acknowledged commits", "group", g.options.Name, "server", server, "term", status.Term, "log_end", status.Received, "acknowledged", acknowledged)
	invariant.Check(false, invariant.CurrentPrimary, "backend server %s leads term %d at %s, but %s was acknowledged", server, status.Term, status.Received, acknowledged)
}
