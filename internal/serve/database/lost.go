package database

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

// consider begins a change of primary when it is this VM's turn.
func (g *Group) consider(ctx context.Context, start func(func())) {
	now := g.options.Clock.Now()
	g.mu.Lock()
	lost := g.lostLocked(now)
	if !lost {
		g.lostSince = 0
	} else if g.lostSince == 0 {
		g.lostSince = now
		g.options.NudgeFunc()
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
	start(func() { g.attempt(ctx) })
}

// lostLocked reports whether this VM has lost the primary. It needs the lock.
func (g *Group) lostLocked(now clock.Millis) bool {
	term, leader := g.watch.Leader()
	if term == 0 {
		return false
	}
	if leader == "" {
		return now-g.learned > failover.LostAfter
	}
	p := g.pools[leader]
	switch {
	case p != nil && p.info().Leaving && g.successorLocked(leader) && !g.awaitsServerLocked(leader, now):
		return true
	case len(g.pools) < 2:
		return false
	case now-max(g.watch.ProvedAt(), g.learned) > failover.LostAfter:
		// A primary that answers is given time: it may only be busy.
		return p == nil || !p.answers(now) || now-max(g.watch.ProvedAt(), g.learned) > failover.AnsweringLostAfter
	case p != nil && p.unreachable(now):
		return true
	}
	return g.stuckLocked(now) || g.heardStuckLocked(now)
}

// heardStuckLocked reports whether another VM sees that the primary can
// acknowledge nothing, and this one has not seen it do so. One VM asks the
// servers for all, so that the others have only its word.
func (g *Group) heardStuckLocked(now clock.Millis) bool {
	if now-g.committed <= stuckAfter || now < g.stuckUntil || now-g.learned < 2*stuckAfter {
		return false
	}
	term, _ := g.watch.Leader()
	for _, v := range g.votes {
		if v.stuck && v.term == term && now-v.at < voteTime {
			return true
		}
	}
	return false
}

// successorLocked reports whether a replica stays that may follow a leaving primary.
func (g *Group) successorLocked(leader string) bool {
	for id, p := range g.pools {
		if id != leader && !p.info().Leaving && !p.unreachable(g.options.Clock.Now()) {
			return true
		}
	}
	return false
}

// awaitsServerLocked reports whether the server that takes the place of a leaving
// primary may still be missing in the directory. It receives and acknowledges as soon
// as it runs, so that a change of primary without it could lose what only it has; it
// is waited for while the leaving primary gets work anyway.
func (g *Group) awaitsServerLocked(leader string, now clock.Millis) bool {
	staying := 0
	for _, p := range g.pools {
		if !p.info().Leaving {
			staying++
		}
	}
	return staying < g.staying && now-g.leaving[leader] < g.options.Leave*replacementPart/100
}

// replacementPart is the part of the time for which a leaving primary gets work, in
// percent, that its replacement is waited for; the rest is for the change itself.
const replacementPart = 60

// stuckLocked reports whether the replicas have long not received what the
// primary's log has, so that it cannot acknowledge anything.
func (g *Group) stuckLocked(now clock.Millis) bool {
	_, leader := g.watch.Leader()
	reached, ok := g.watch.PositionAt(now - stuckAfter)
	if !ok || now-g.learned < 2*stuckAfter || now < g.stuckUntil || now-g.committed <= stuckAfter {
		return false
	}
	fresh := false
	for id := range g.pools {
		if id == leader {
			continue
		}
		r, ok := g.received[id]
		if !ok || now-r.at > receivedFresh {
			continue
		}
		fresh = true
		if r.mark.Covers(reached) || g.marks[id].Covers(reached) {
			return false
		}
	}
	return fresh
}

const (
	// stuckAfter is how long every replica may lack what the primary has.
	stuckAfter = clock.Millis(1500)
	// receivedFresh is the age up to which a replica's answer counts for that.
	receivedFresh = clock.Millis(700)
	// stuckPause is the least time between two changes for that reason.
	stuckPause = 8 * clock.Second
)

// sightLocked sums up what the VMs see. It needs the lock.
func (g *Group) sightLocked(now clock.Millis, lost bool) failover.LossVotes {
	s := failover.LossVotes{Self: g.options.Self, Alive: g.options.VMsFunc(), KnownVMs: g.options.KnownFunc(), LastHolder: g.holder}
	term, _ := g.watch.Leader()
	for _, vm := range s.Alive {
		v, ok := g.votes[vm]
		if vm == s.Self && lost || ok && v.lost && v.term == term && now-v.at < voteTime {
			s.Lost = append(s.Lost, vm)
		}
	}
	return s
}

// voteTime is how long another VM's word counts, in milliseconds.
const voteTime = clock.Millis(1200)

// vote is what another VM says of a group.
type vote struct {
	term  floor.Term
	lost  bool
	stuck bool
	token uint64
	at    clock.Millis
}

// received is the end of a replica's log as it told at a moment.
type received struct {
	mark floor.ReplicationPosition
	at   clock.Millis
}

// noteReceived keeps what a replica told of its log. It needs the lock.
func (g *Group) noteReceived(server string, t statement.ReplicationStatus, now clock.Millis) {
	g.received[server] = received{mark: t.Received, at: now}
}
