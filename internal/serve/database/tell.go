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
	v := inner.View{Group: g.options.Name, Term: h.Term, Leader: h.Leader, Proved: -1, Lost: g.lostLocked(now)}
	if h.ProvedAt != tenure.DistantPast {
		v.Proved = now - h.ProvedAt
	}
	if h.Position > 0 {
		v.Log, v.At = h.Position, now-h.PositionAt
	}
	v.Stuck = g.stuckLocked(now)
	v.Token = g.token
	return v
}

// Hear takes in what another VM tells. Bound turns an age at that VM into a
// moment of this VM's clock; it is nil when that is not known.
func (g *Group) Hear(vm string, v inner.View, bound func(clock.Millis) clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Now()
	h := tenure.Report{Term: v.Term, Leader: v.Leader, ProvedAt: tenure.DistantPast}
	if bound != nil && v.Proved >= 0 {
		h.ProvedAt = bound(v.Proved)
	}
	if bound != nil && v.Log > 0 {
		h.Position, h.PositionAt = v.Log, bound(v.At)
	}
	g.votes[vm] = vote{term: v.Term, lost: v.Lost, stuck: v.Stuck, token: v.Token, at: now}
	w := g.watch.WithReport(h)
	if term, _ := w.Leader(); v.Token > g.token && v.Term == term {
		g.token = v.Token
		w = w.WithRelease(now)
		g.options.NudgeFunc()
	}
	g.put(w)
}

// rank returns this VM's place among those of its region for asking the group's
// servers.
// It needs no lock.
func (g *Group) rank() int {
	return failover.Rank(g.options.Name, g.options.Self, g.options.NearFunc())
}
