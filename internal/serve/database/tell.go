package database

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/tenure"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// View returns what to tell other VMs of the group.
func (g *Group) View() inner.GroupView {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Now()
	h := g.watch.Report()
	v := inner.GroupView{Group: g.options.Name, Term: h.Term, Leader: h.Leader, ProofAge: -1, PrimaryLost: g.primaryLostLocked(now)}
	if h.ProvedAt != tenure.DistantPast {
		v.ProofAge = now - h.ProvedAt
	}
	if h.Position > 0 {
		v.Position, v.PositionAge = h.Position, now-h.PositionAt
	}
	v.ReplicationStalled = g.replicationStalledLocked(now)
	v.ReleasedToken = g.releasedToken
	return v
}

// MergeView takes in what another VM tells. Bound turns an age at that VM into a
// moment of this VM's clock; it is nil when that is not known.
func (g *Group) MergeView(vm string, v inner.GroupView, toLocalTime func(clock.Millis) clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Now()
	h := tenure.Report{Term: v.Term, Leader: v.Leader, ProvedAt: tenure.DistantPast}
	if toLocalTime != nil && v.ProofAge >= 0 {
		h.ProvedAt = toLocalTime(v.ProofAge)
	}
	if toLocalTime != nil && v.Position > 0 {
		h.Position, h.PositionAt = v.Position, toLocalTime(v.PositionAge)
	}
	g.votes[vm] = vote{term: v.Term, lost: v.PrimaryLost, stalled: v.ReplicationStalled, token: v.ReleasedToken, at: now}
	w := g.watch.WithReport(h)
	if term, _ := w.Leader(); v.ReleasedToken > g.releasedToken && v.Term == term {
		g.releasedToken = v.ReleasedToken
		w = w.WithRelease(now)
		g.options.GossipFunc()
	}
	g.setWatch(w)
}

// probeRank returns this VM's place among those of its region for asking the group's
// servers.
// It needs no lock.
func (g *Group) probeRank() int {
	return failover.Rank(g.options.Name, g.options.Self, g.options.RegionVMsFunc())
}
