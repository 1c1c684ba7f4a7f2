package database

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/core/tenure"
)

// claimIfDue starts a change of primary if this VM and a majority of the live VMs have
// lost the primary and this VM's claim delay has passed.
func (g *Group) claimIfDue(ctx context.Context, start func(func())) {
	now := g.options.Clock.Now()
	awaitsClaims := g.awaitsClaims(now)
	g.mu.Lock()
	if !g.primaryLostLocked(now) {
		g.lostSince = 0
		g.mu.Unlock()
		return
	}
	if g.lostSince == 0 {
		g.lostSince = now
		g.options.GossipFunc()
	}
	since, claiming := g.lostSince, g.claiming
	paused := now < g.claimAfter || g.onlyUnaskedLocked(now) || g.allReachableEvacuatedLocked(now)
	if claiming || paused || awaitsClaims || g.options.StoppingFunc() {
		g.mu.Unlock()
		return
	}
	votes := g.lossVotesLocked(now)
	g.mu.Unlock()
	delay, mayClaim := votes.ClaimDelay(g.options.Name)
	if !mayClaim || now < since+delay {
		return
	}
	g.mu.Lock()
	g.claiming = true
	g.options.Counters.claims.Inc()
	g.mu.Unlock()
	start(func() { g.attemptClaim(ctx) })
}

// primaryLostLocked reports whether this VM counts the primary as lost: it is unknown
// although the term is known, is leaving or evacuated and can be replaced, has no recent proof,
// cannot be reached, or its replication is stalled. The caller holds g.mu.
func (g *Group) primaryLostLocked(now clock.Millis) bool {
	term, leader := g.watch.Leader()
	if term == 0 {
		return false
	}
	if leader == "" {
		return now-g.leaderChangedAt > failover.LostAfter
	}
	p := g.pools[leader]
	switch {
	case p != nil && p.entry().Leaving && g.hasSuccessorLocked(leader) && !g.awaitsReplacementLocked(leader, now):
		return true
	case p != nil && p.isEvacuated() && g.hasSuccessorLocked(leader):
		return true
	case len(g.pools) < 2:
		return false
	case now-g.leaderKnownAtLocked() > failover.LostAfter:
		// A primary that answers gets more time, as it may only be busy.
		return p == nil || !p.answeredRecently(now) || now-g.leaderKnownAtLocked() > g.answeringLostAfterLocked(now)
	case p != nil && p.unreachable(now):
		return true
	}
	return g.replicationStalledLocked(now) || g.peerReportsStallLocked(now)
}

// leaderKnownAtLocked returns the time of the last proof of the leader, or at which it became
// known if that is later. The caller holds g.mu.
func (g *Group) leaderKnownAtLocked() clock.Millis {
	return max(g.watch.ProvedAt(), g.leaderChangedAt)
}

// onlyUnaskedLocked reports whether this VM counts a listed primary as lost only because it lacks a
// proof, and has not queried the primary itself since the last one: proofs of other VMs may be
// late. The caller holds g.mu.
func (g *Group) onlyUnaskedLocked(now clock.Millis) bool {
	_, leader := g.watch.Leader()
	p := g.pools[leader]
	if p == nil || p.entry().Leaving || p.isEvacuated() || p.unreachable(now) || g.replicationStalledLocked(now) || g.peerReportsStallLocked(now) {
		return false
	}
	return g.leaderAskedAt <= g.leaderKnownAtLocked() || now-g.leaderAskedAt < askedTime
}

// askedTime is how long a claimant waits for the answer of a primary without a proof, in
// milliseconds.
const askedTime = clock.Millis(200)

// answeringLostAfterLocked returns the age of the last proof at which a primary that answers
// counts as lost. While a replica is too new to count for a proof, there may be none because
// of that alone. The caller holds g.mu.
func (g *Group) answeringLostAfterLocked(now clock.Millis) clock.Millis {
	_, leader := g.watch.Leader()
	for id, p := range g.pools {
		if id != leader && now-p.listedAt < tenure.WitnessDelay+tenure.Lease {
			return failover.AnsweringLostAfter + tenure.WitnessDelay
		}
	}
	return failover.AnsweringLostAfter
}

// peerReportsStallLocked reports whether another VM reports stalled replication while
// this VM has seen no recent commit. Usually only one VM of a region probes the servers,
// so the others depend on its report. The caller holds g.mu.
func (g *Group) peerReportsStallLocked(now clock.Millis) bool {
	if now-g.committedAt <= stallTimeout || now < g.ignoreStallUntil || now-g.leaderChangedAt < 2*stallTimeout {
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

// hasSuccessorLocked reports whether a reachable replica that is neither leaving nor
// evacuated can replace a leaving or evacuated primary. The caller holds g.mu.
func (g *Group) hasSuccessorLocked(leader string) bool {
	for id, p := range g.pools {
		if id != leader && !p.entry().Leaving && !p.isEvacuated() && !p.unreachable(g.options.Clock.Now()) {
			return true
		}
	}
	return false
}

// awaitsReplacementLocked reports whether the server that replaces a leaving primary
// may still be missing from the directory. The replacement receives and acknowledges
// commits as soon as it runs, so a change of primary that does not know it could lose
// commits that only it has. Waiting costs nothing, since the leaving primary still
// gets work. The caller holds g.mu.
func (g *Group) awaitsReplacementLocked(leader string, now clock.Millis) bool {
	remaining := 0
	for _, p := range g.pools {
		if !p.entry().Leaving {
			remaining++
		}
	}
	return remaining < g.fullSize && g.mayRetryReplacementLocked(leader, now)
}

// replacementPercent is the percentage of DrainTimeout spent waiting for the
// replacement of a leaving primary; the rest is left for the change itself.
const replacementPercent = 60

// replicationStalledLocked reports whether no replica has received the position that the
// primary's log had reached stallTimeout ago, so that the primary can acknowledge
// nothing. The caller holds g.mu.
func (g *Group) replicationStalledLocked(now clock.Millis) bool {
	_, leader := g.watch.Leader()
	primaryPosition, ok := g.watch.PositionAt(now - stallTimeout)
	if !ok || now-g.leaderChangedAt < 2*stallTimeout || now < g.ignoreStallUntil || now-g.committedAt <= stallTimeout {
		return false
	}
	reported := false
	for id := range g.pools {
		if id == leader {
			continue
		}
		r, ok := g.receivedPositions[id]
		if !ok || now-r.at > receivedMaxAge {
			continue
		}
		reported = true
		if r.position.Covers(primaryPosition) || g.positions[id].Covers(primaryPosition) {
			return false
		}
	}
	return reported
}

const (
	// stallTimeout is how long every replica may lack a position of the primary's
	// log.
	stallTimeout = clock.Millis(1500)
	// receivedMaxAge is the age up to which a replica's reported position counts.
	receivedMaxAge = clock.Millis(700)
	// stallPause is how long stalled replication is ignored after a change of primary.
	stallPause = 8 * clock.Second
)

// lossVotesLocked returns which live VMs have lost the primary, by their votes, when this
// one has. The caller holds g.mu.
func (g *Group) lossVotesLocked(now clock.Millis) failover.LossVotes {
	s := failover.LossVotes{
		Self: g.options.Self, Alive: g.options.LiveVMsFunc(), Candidates: g.options.CandidatesFunc(),
		KnownVMs: g.options.ExpectedVMCountFunc(), LastHolder: g.lastHolder,
	}
	term, leader := g.watch.Leader()
	_, known := g.watch.ServersDepartedEnd()
	s.LogUnknown = leader != "" && !known
	for _, vm := range s.Alive {
		v, ok := g.votes[vm]
		if vm == s.Self || ok && v.lost && v.term == term && now-v.at < voteMaxAge {
			s.Lost = append(s.Lost, vm)
		}
	}
	return s
}

// voteMaxAge is how long a report of another VM counts, in milliseconds.
const voteMaxAge = clock.Millis(1200)

// vote is another VM's report on a group.
type vote struct {
	// term is the term to which the report applies.
	term floor.Term
	// lost is set if the VM has lost the primary, stalled if it sees replication
	// stalled.
	lost    bool
	stalled bool
	// releasedToken is the token of the last claim for which the VM released the term,
	// releaseEnded is set once that release is not in force any more.
	releasedToken uint64
	releaseEnded  bool
	// acknowledged is the furthest position that the process acknowledged to a caller.
	acknowledged floor.ReplicationPosition
	// process identifies the VM's process, and knownSince is the time of its first report.
	process    uint64
	knownSince clock.Millis
	// at is the time at which the report was received.
	at clock.Millis
}

// receivedPosition is the log position that a server reported, with the time of the
// report.
type receivedPosition struct {
	position floor.ReplicationPosition
	at       clock.Millis
}

// recordReceived records the log position that a server reported. The caller holds
// g.mu.
func (g *Group) recordReceived(server string, status statement.ReplicationStatus, now clock.Millis) {
	g.receivedPositions[server] = receivedPosition{position: status.Received, at: now}
}
