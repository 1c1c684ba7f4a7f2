package database

import (
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/tenure"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// View returns this VM's view of the group, to be sent to other VMs. Its ages are in
// milliseconds; ProofAge is -1 without a proof.
func (g *Group) View() inner.GroupView {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Now()
	report := g.watch.Report()
	v := inner.GroupView{Group: g.options.Name, Term: report.Term, Leader: report.Leader, ProofAge: -1, PrimaryLost: g.primaryLostLocked(now)}
	if report.ProvedAt != clock.DistantPast {
		v.ProofAge = now - report.ProvedAt
	}
	if !report.Position.IsZero() {
		v.PositionTerm, v.Position, v.PositionAge = report.Position.Term, report.Position.Position, now-report.PositionAt
	}
	v.ReplicationStalled = g.replicationStalledLocked(now)
	v.ReleasedToken, v.ReleaseEnded = g.releasedToken, !g.watch.Released(now)
	acknowledged := g.acknowledged.Max(g.reported)
	v.AcknowledgedTerm, v.Acknowledged = acknowledged.Term, acknowledged.Position
	return v
}

// Sender identifies the VM that sent a view: its name, and a number that differs at each
// start of its process.
type Sender struct {
	VM      string
	Process uint64
}

// MergeView records the view of another VM. If that VM has released the current term for
// a claim and this VM has not, this VM releases it too. toLocalTime converts an age at
// that VM, in milliseconds, to a time of this VM's clock that is not later than the true
// one; it is nil if no such bound is known.
func (g *Group) MergeView(from Sender, v inner.GroupView, toLocalTime func(clock.Millis) clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Now()
	report := tenure.Report{Term: v.Term, Leader: v.Leader, ProvedAt: clock.DistantPast}
	if toLocalTime != nil && v.ProofAge >= 0 {
		report.ProvedAt = toLocalTime(v.ProofAge)
	}
	if toLocalTime != nil && v.PositionTerm > 0 {
		report.Position = floor.ReplicationPosition{Term: v.PositionTerm, Position: v.Position}
		report.PositionAt = toLocalTime(v.PositionAge)
	}
	w := g.watch
	if g.votes[from.VM].process != from.Process {
		// The VM may have restarted.
		w = w.WithDeparture(now)
	}
	g.votes[from.VM] = g.nextVote(from, v, now)
	if reported := g.votes[from.VM].acknowledged; !g.isLostLocked(reported) {
		g.reported = g.reported.Max(reported)
	}
	w = w.WithReport(report)
	switch term, _ := w.Leader(); {
	case v.ReleasedToken > g.releasedToken && v.Term == term:
		g.releasedToken = v.ReleasedToken
		if v.ReleaseEnded {
			w = w.WithReleaseEnd(now)
			break
		}
		w = w.WithRelease(now)
		g.observeReleaseLocked()
		g.options.GossipFunc()
	case v.ReleasedToken == g.releasedToken && v.Term == term && v.ReleaseEnded && w.Released(now):
		w = w.WithReleaseEnd(now)
		g.options.Log.Info("release of the term ended", "group", g.options.Name, "token", v.ReleasedToken)
		g.options.GossipFunc()
	}
	g.setWatch(w)
}

// nextVote returns the report of another VM that replaces the last one. The caller holds
// g.mu.
func (g *Group) nextVote(from Sender, v inner.GroupView, now clock.Millis) vote {
	next := vote{
		term: v.Term, lost: v.PrimaryLost, stalled: v.ReplicationStalled, releasedToken: v.ReleasedToken, releaseEnded: v.ReleaseEnded, at: now,
		process: from.Process, knownSince: now,
	}
	if v.Acknowledged > 0 {
		next.acknowledged = floor.ReplicationPosition{Term: v.AcknowledgedTerm, Position: v.Acknowledged}
	}
	if last, ok := g.votes[from.VM]; ok && last.process == from.Process {
		next.knownSince = last.knownSince
	}
	return next
}

// probeRank returns this VM's rank among those that probe the group's servers, and false if
// it is none of them. It does not use g.mu.
func (g *Group) probeRank() (int, bool) {
	vms := g.options.ProbersFunc()
	return failover.Rank(g.options.Name, g.options.Self, vms), len(vms) == 0 || slices.Contains(vms, g.options.Self)
}
