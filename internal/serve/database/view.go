package database

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/tenure"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// View returns what to tell other VMs of the group.
func (g *Group) View() inner.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Now()
	h := g.watch.Report()
	v := inner.View{Group: g.options.Name, Term: h.Term, Leader: h.Leader, Proved: -1, Lost: g.primaryLostLocked(now)}
	if h.ProvedAt != tenure.DistantPast {
		v.Proved = now - h.ProvedAt
	}
	if h.Position > 0 {
		v.Log, v.At = h.Position, now-h.PositionAt
	}
	v.Stuck = g.replicationStalledLocked(now)
	v.Token = g.releasedToken
	return v
}

// MergeView takes in what another VM tells. Bound turns an age at that VM into a
// moment of this VM's clock; it is nil when that is not known.
func (g *Group) MergeView(vm string, v inner.View, toLocalTime func(clock.Millis) clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Now()
	h := tenure.Report{Term: v.Term, Leader: v.Leader, ProvedAt: tenure.DistantPast}
	if toLocalTime != nil && v.Proved >= 0 {
		h.ProvedAt = toLocalTime(v.Proved)
	}
	if toLocalTime != nil && v.Log > 0 {
		h.Position, h.PositionAt = v.Log, toLocalTime(v.At)
	}
	g.votes[vm] = vote{term: v.Term, lost: v.Lost, stalled: v.Stuck, token: v.Token, at: now}
	w := g.watch.WithReport(h)
	if term, _ := w.Leader(); v.Token > g.releasedToken && v.Term == term {
		g.releasedToken = v.Token
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
