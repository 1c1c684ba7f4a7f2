package primary

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

const (
	// rankDelay separates the claims of observers, so that mostly one claims.
	rankDelay = 300 * clock.Millis(1)
	// maxJitter is the largest random part of the delay.
	maxJitter = 60
	// retryBackoff grows with each failed claim, up to attemptLimit.
	retryBackoff    = 250 * clock.Millis(1)
	maxRetryBackoff = clock.Second
	// recordTimeout is how long a claim waits for the table.
	recordTimeout = 200 * clock.Millis(1)
	// formerSealDelay is the wait before the former primary is asked to seal too.
	formerSealDelay = 300 * clock.Millis(1)
	// stepRetryInterval is the pause before an unanswered step is repeated.
	stepRetryInterval = 250 * clock.Millis(1)
	// claimTimeout is how long a claim may last.
	claimTimeout = 2 * clock.Second
)

type step int

const (
	stepRecord step = iota
	stepSeal
	stepPromote
)

// claim is an attempt to become the one who names the primary of a term. It is
// replaced by a changed copy, never changed.
type claim struct {
	term         floor.Term
	claimant     string
	formerLeader string
	step         step
	began        clock.Millis
	stepBegan    clock.Millis
	sentAt       map[string]clock.Millis
	marks        map[string]floor.ReplicationPosition
	refused      map[string]bool
	target       string
}

func (c claim) withStep(s step, now clock.Millis) *claim {
	c.step, c.stepBegan, c.sentAt = s, now, map[string]clock.Millis{}
	return &c
}

func (c claim) withSent(server string, now clock.Millis) *claim {
	c.sentAt = maps.Clone(c.sentAt)
	c.sentAt[server] = now
	return &c
}

func (c claim) withMark(server string, m floor.ReplicationPosition) *claim {
	c.marks = maps.Clone(c.marks)
	c.marks[server] = m
	return &c
}

func (c claim) withRefusal(server string) *claim {
	c.refused = maps.Clone(c.refused)
	c.refused[server] = true
	return &c
}

// considerClaim begins a claim when one has been called for long enough.
func (o Observer) considerClaim(now clock.Millis) (Observer, []Action) {
	lost := o.LostTerm(now) != 0
	leaderless := o.term > 0 && o.leader == "" && now-o.learnedAt > leaderlessTimeout
	if o.claim != nil || !lost && !leaderless {
		o.claimWanted = false
		return o, nil
	}
	var actions []Action
	if lost && now-o.votesRequestedAt >= voteRequestInterval {
		o.votesRequestedAt = now
		actions = append(actions, Action{Kind: RequestVotes, Term: o.term})
	}
	if lost && !o.zonesAgree(now) {
		o.claimWanted = false
		return o, actions
	}
	if !o.claimWanted {
		o.claimWanted, o.claimWantedSince = true, now
	}
	if now < o.claimWantedSince+o.claimDelay(now) {
		return o, actions
	}
	o, more := o.beginClaim(now)
	return o, append(actions, more...)
}

// claimDelay orders the observers by rendezvous rank.
func (o Observer) claimDelay(now clock.Millis) clock.Millis {
	rank, own := 0, o.rankScore(o.settings.Self.VM)
	for _, v := range o.rivals(now) {
		if v.VM != o.settings.Self.VM && o.rankScore(v.VM) > own {
			rank++
		}
	}
	jitter := clock.Millis(xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", o.settings.Self.VM, o.settings.Nonce, o.claimCount)) % maxJitter)
	return clock.Millis(rank)*rankDelay + jitter + min(clock.Millis(o.failedClaims)*retryBackoff, maxRetryBackoff)
}

// rivals returns the observers that may claim as well.
func (o Observer) rivals(now clock.Millis) []Voter {
	if o.leader == "" {
		return o.voters
	}
	var out []Voter
	for _, v := range o.votes {
		if v.term == o.term && now-v.at <= voteLifetime {
			out = append(out, v.voter)
		}
	}
	return out
}

func (o Observer) rankScore(vm string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d/%s", o.settings.Database, o.term, vm))
}

func (o Observer) beginClaim(now clock.Millis) (Observer, []Action) {
	o.claimCount++
	former := o.leader
	if former == "" {
		former = o.formerLeader
	}
	c := claim{
		term: o.term + 1, formerLeader: former, began: now,
		claimant: fmt.Sprintf("%s/%s/%d", o.settings.Self.VM, o.settings.Nonce, o.claimCount),
		marks:    map[string]floor.ReplicationPosition{}, refused: map[string]bool{},
	}
	o.claim, o.claimWanted = c.withStep(stepRecord, now), false
	return o, []Action{{Kind: RecordClaim, Term: c.term, Claimant: c.claimant}}
}

// abandonClaim gives the claim up; a later one uses a higher term.
func (o Observer) abandonClaim() Observer {
	o.claim = nil
	o.failedClaims++
	return o
}

func (o Observer) isCurrentClaim(e Event) bool {
	return o.claim != nil && o.claim.claimant == e.Claimant
}

func (o Observer) withClaimRecorded(e Event, now clock.Millis) Observer {
	if !o.isCurrentClaim(e) || o.claim.step != stepRecord {
		return o
	}
	if e.Refused {
		return o.abandonClaim().withTerm(e.Term, "", now)
	}
	o.claim = o.claim.withStep(stepSeal, now)
	return o
}

func (o Observer) withSeal(e Event, now clock.Millis) Observer {
	if !o.isCurrentClaim(e) || o.claim.step != stepSeal {
		return o
	}
	if e.Refused {
		return o.withRefusal(e, now)
	}
	o.claim = o.claim.withMark(e.Server, e.Position)
	if len(o.claim.marks) < o.majority() {
		return o
	}
	c := o.claim.withStep(stepPromote, now)
	c.target = c.highestServer()
	o.claim = c
	return o
}

// withRefusal gives the claim up only when a later term is known or no majority
// is left, so that two claimants of one term do not stop each other.
func (o Observer) withRefusal(e Event, now clock.Millis) Observer {
	if e.Term > o.claim.term {
		return o.abandonClaim().withTerm(e.Term, "", now)
	}
	o.claim = o.claim.withRefusal(e.Server)
	if len(o.settings.Servers)-len(o.claim.refused) < o.majority() {
		return o.abandonClaim().withTerm(max(e.Term, o.term), "", now)
	}
	return o
}

// highestServer returns the sealed server with the highest mark.
func (c claim) highestServer() string {
	best := ""
	for _, name := range slices.Sorted(maps.Keys(c.marks)) {
		if best == "" || !c.marks[best].Covers(c.marks[name]) {
			best = name
		}
	}
	return best
}

func (o Observer) withPromotion(e Event, now clock.Millis) Observer {
	if !o.isCurrentClaim(e) || o.claim.step != stepPromote {
		return o
	}
	if e.Refused {
		return o.abandonClaim()
	}
	return o.completeClaim(now)
}

// completeClaim ends a claim whose server has become the primary.
func (o Observer) completeClaim(now clock.Millis) Observer {
	c := o.claim
	o.claim, o.unrecordedClaimant = nil, c.claimant
	return o.withTerm(c.term, c.target, now)
}

// advanceClaim sends what the claim needs next.
func (o Observer) advanceClaim(now clock.Millis) (Observer, []Action) {
	c := o.claim
	switch {
	case c == nil:
		return o, nil
	case o.term == c.term && o.leader != "" && o.leader == c.target:
		return o.completeClaim(now), nil
	case o.term > c.term || o.term == c.term && o.leader != "" || now-c.began > claimTimeout:
		return o.abandonClaim(), nil
	case c.step == stepRecord && now-c.stepBegan > recordTimeout:
		o.claim = c.withStep(stepSeal, now)
		return o.advanceClaim(now)
	case c.step == stepSeal:
		return o.sealServers(now)
	case c.step == stepPromote:
		return o.promoteTarget(now)
	}
	return o, nil
}

// sealServers asks the servers to seal the term, the former primary last: a primary
// that cannot reach its replicas would otherwise be chosen again.
func (o Observer) sealServers(now clock.Millis) (Observer, []Action) {
	var actions []Action
	for _, name := range o.settings.Servers {
		c := o.claim
		_, sealed := c.marks[name]
		last, sent := c.sentAt[name]
		if sealed || c.refused[name] || sent && now-last < stepRetryInterval || name == c.formerLeader && now-c.stepBegan < formerSealDelay {
			continue
		}
		o.claim = c.withSent(name, now)
		actions = append(actions, Action{Kind: Seal, Server: name, Term: c.term, Claimant: c.claimant})
	}
	return o, actions
}

func (o Observer) promoteTarget(now clock.Millis) (Observer, []Action) {
	c := o.claim
	if last, sent := c.sentAt[c.target]; sent && now-last < stepRetryInterval {
		return o, nil
	}
	highest := floor.ReplicationPosition{}
	for _, m := range c.marks {
		highest = highest.Max(m)
	}
	o.claim = c.withSent(c.target, now)
	return o, []Action{{
		Kind: Promote, Server: c.target, Term: c.term, Claimant: c.claimant,
		HighestPosition: highest, TargetPosition: c.marks[c.target],
	}}
}
