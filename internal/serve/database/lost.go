package database

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

// claimIfDue begins a change of primary when it is this VM's turn.
func (g *Group) claimIfDue(ctx context.Context, start func(func())) {
	now := g.options.Clock.Now()
	g.mu.Lock()
	lost := g.primaryLostLocked(now)
	if !lost {
		g.lostSince = 0
	} else if g.lostSince == 0 {
		g.lostSince = now
		g.options.GossipFunc()
	}
	sight := g.sightLocked(now, lost)
	since, claiming := g.lostSince, g.claiming
	pause := now < g.claimAfter
	g.mu.Unlock()
	if !lost || claiming || pause || g.options.StoppingFunc() {
		return
	}
	delay, turn := sight.ClaimDelay(g.options.Name)
	if !turn || now < since+delay {
		return
	}
	g.mu.Lock()
	g.claiming = true
	g.mu.Unlock()
	start(func() { g.attemptClaim(ctx) })
}

// primaryLostLocked reports whether this VM has lost the primary. It needs the lock.
func (g *Group) primaryLostLocked(now clock.Millis) bool {
	term, leader := g.watch.Leader()
	if term == 0 {
		return false
	}
	if leader == "" {
		return now-g.learnedAt > failover.LostAfter
	}
	p := g.pools[leader]
	switch {
	case p != nil && p.entry().Leaving && g.hasSuccessorLocked(leader) && !g.awaitsReplacementLocked(leader, now):
		return true
	case len(g.pools) < 2:
		return false
	case now-max(g.watch.ProvedAt(), g.learnedAt) > failover.LostAfter:
		// A primary that answers is given time: it may only be busy.
		return p == nil || !p.answeredRecently(now) || now-max(g.watch.ProvedAt(), g.learnedAt) > failover.AnsweringLostAfter
	case p != nil && p.unreachable(now):
		return true
	}
	return g.replicationStalledLocked(now) || g.peerReportsStallLocked(now)
}

// peerReportsStallLocked reports whether another VM sees that the primary can
// acknowledge nothing, and this one has not seen it do so. One VM asks the
// servers for all, so that the others have only its word.
func (g *Group) peerReportsStallLocked(now clock.Millis) bool {
	if now-g.committedAt <= stallTimeout || now < g.ignoreStallUntil || now-g.learnedAt < 2*stallTimeout {
		return false
	}
	term, _ := g.watch.Leader()
	for _, v := range g.votes {
		if v.stalled && v.term == term && now-v.at < voteMaxAge {
			return true
		}
	}
	return false
}

// hasSuccessorLocked reports whether a replica stays that may follow a leaving primary.
func (g *Group) hasSuccessorLocked(leader string) bool {
	for id, p := range g.pools {
		if id != leader && !p.entry().Leaving && !p.unreachable(g.options.Clock.Now()) {
			return true
		}
	}
	return false
}

// awaitsReplacementLocked reports whether the server that takes the place of a leaving
// primary may still be missing in the directory. It receives and acknowledges as soon
// as it runs, so that a change of primary without it could lose what only it has; it
// is waited for while the leaving primary gets work anyway.
func (g *Group) awaitsReplacementLocked(leader string, now clock.Millis) bool {
	remaining := 0
	for _, p := range g.pools {
		if !p.entry().Leaving {
			remaining++
		}
	}
	return remaining < g.fullSize && now-g.leavingSince[leader] < g.options.DrainTimeout*replacementPercent/100
}

// replacementPercent is the part of the time for which a leaving primary gets work, in
// percent, that its replacement is waited for; the rest is for the change itself.
const replacementPercent = 60

// replicationStalledLocked reports whether the replicas have long not received what the
// primary's log has, so that it cannot acknowledge anything.
func (g *Group) replicationStalledLocked(now clock.Millis) bool {
	_, leader := g.watch.Leader()
	reached, ok := g.watch.PositionAt(now - stallTimeout)
	if !ok || now-g.learnedAt < 2*stallTimeout || now < g.ignoreStallUntil || now-g.committedAt <= stallTimeout {
		return false
	}
	reported := false
	for id := range g.pools {
		if id == leader {
			continue
		}
		r, ok := g.received[id]
		if !ok || now-r.at > receivedMaxAge {
			continue
		}
		reported = true
		if r.mark.Covers(reached) || g.marks[id].Covers(reached) {
			return false
		}
	}
	return reported
}

const (
	// stallTimeout is how long every replica may lack what the primary has.
	stallTimeout = clock.Millis(1500)
	// receivedMaxAge is the age up to which a replica's answer counts for that.
	receivedMaxAge = clock.Millis(700)
	// stallPause is the least time between two changes for that reason.
	stallPause = 8 * clock.Second
)

// sightLocked sums up what the VMs see. It needs the lock.
func (g *Group) sightLocked(now clock.Millis, lost bool) failover.LossVotes {
	s := failover.LossVotes{Self: g.options.Self, Alive: g.options.LiveVMsFunc(), KnownVMs: g.options.ExpectedVMCountFunc(), LastHolder: g.claimHolder}
	term, _ := g.watch.Leader()
	for _, vm := range s.Alive {
		v, ok := g.votes[vm]
		if vm == s.Self && lost || ok && v.lost && v.term == term && now-v.at < voteMaxAge {
			s.Lost = append(s.Lost, vm)
		}
	}
	return s
}

// voteMaxAge is how long another VM's word counts, in milliseconds.
const voteMaxAge = clock.Millis(1200)

// vote is what another VM says of a group.
type vote struct {
	term    floor.Term
	lost    bool
	stalled bool
	token   uint64
	at      clock.Millis
}

// receivedPosition is the end of a replica's log as it told at a moment.
type receivedPosition struct {
	mark floor.ReplicationPosition
	at   clock.Millis
}

// recordReceived keeps what a replica told of its log. It needs the lock.
func (g *Group) recordReceived(server string, t statement.ReplicationStatus, now clock.Millis) {
	g.received[server] = receivedPosition{mark: t.Received, at: now}
}
