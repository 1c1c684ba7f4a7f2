package database

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/tenure"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// View returns this VM's view of the group, to be sent to other VMs.
func (g *Group) View() inner.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Now()
	report := g.watch.Report()
	v := inner.View{Group: g.options.Name, Term: report.Term, Leader: report.Leader, Proved: -1, Lost: g.primaryLostLocked(now)}
	if report.ProvedAt != tenure.DistantPast {
		v.Proved = now - report.ProvedAt
	}
	if report.Position > 0 {
		v.Log, v.At = report.Position, now-report.PositionAt
	}
	v.Stuck = g.replicationStalledLocked(now)
	v.Token = g.releasedToken
	return v
}

// MergeView records the view of another VM. toLocalTime converts an age at that VM to
// a time of this VM's clock that is not later than the true one; it is nil if that is
// unknown.
func (g *Group) MergeView(vm string, v inner.View, toLocalTime func(clock.Millis) clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Now()
	report := tenure.Report{Term: v.Term, Leader: v.Leader, ProvedAt: tenure.DistantPast}
	if toLocalTime != nil && v.Proved >= 0 {
		report.ProvedAt = toLocalTime(v.Proved)
	}
	if toLocalTime != nil && v.Log > 0 {
		report.Position, report.PositionAt = v.Log, toLocalTime(v.At)
	}
	g.votes[vm] = vote{term: v.Term, lost: v.Lost, stalled: v.Stuck, token: v.Token, at: now}
	w := g.watch.WithReport(report)
	if term, _ := w.Leader(); v.Token > g.releasedToken && v.Term == term {
		g.releasedToken = v.Token
		w = w.WithRelease(now)
		g.options.GossipFunc()
	}
	g.setWatch(w)
}

// probeRank returns this VM's rank among the VMs of its region for probing the
// group's servers. It needs no lock.
func (g *Group) probeRank() int {
	return failover.Rank(g.options.Name, g.options.Self, g.options.RegionVMsFunc())
}
