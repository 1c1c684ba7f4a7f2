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
	// rankDelay is the delay per rank between the claims of observers, so that
	// usually only one claims.
	rankDelay = 300 * clock.Millis(1)
	// maxJitter bounds the jitter of the delay, in milliseconds.
	maxJitter = 60
	// retryBackoff is added to the delay for each failed claim, up to
	// maxRetryBackoff.
	retryBackoff    = 250 * clock.Millis(1)
	maxRetryBackoff = clock.Second
	// recordTimeout is how long a claim waits to be recorded in the platform's table;
	// then it goes on unrecorded.
	recordTimeout = 200 * clock.Millis(1)
	// formerSealDelay is the wait before the former primary is asked to seal too.
	formerSealDelay = 300 * clock.Millis(1)
	// stepRetryInterval is the time after which an unanswered step is repeated.
	stepRetryInterval = 250 * clock.Millis(1)
	// claimTimeout bounds the duration of a claim.
	claimTimeout = 2 * clock.Second
)

// step is a step of a claim; they follow in this order.
type step int

const (
	stepRecord step = iota
	stepSeal
	stepPromote
)

// claim is an attempt to become the claimant that chooses the primary of a term. It
// is immutable.
type claim struct {
	term          floor.Term
	claimant      string
	formerLeader  string
	step          step
	startedAt     clock.Millis
	stepStartedAt clock.Millis
	// sentAt holds, by server, when the action of the current step was last sent.
	sentAt map[string]clock.Millis
	// positions holds the end of the log of each sealed server, and refused the servers
	// that refused to be sealed.
	positions map[string]floor.ReplicationPosition
	refused   map[string]bool
	// target is the server to promote.
	target string
}

func (c claim) withStep(s step, now clock.Millis) *claim {
	c.step, c.stepStartedAt, c.sentAt = s, now, map[string]clock.Millis{}
	return &c
}

func (c claim) withSent(server string, now clock.Millis) *claim {
	c.sentAt = maps.Clone(c.sentAt)
	c.sentAt[server] = now
	return &c
}

func (c claim) withPosition(server string, position floor.ReplicationPosition) *claim {
	c.positions = maps.Clone(c.positions)
	c.positions[server] = position
	return &c
}

func (c claim) withRefusal(server string) *claim {
	c.refused = maps.Clone(c.refused)
	c.refused[server] = true
	return &c
}

// considerClaim begins a claim once a reason for one has lasted for claimDelay: the
// primary is lost and enough zones agree, or no primary has been known for
// leaderlessTimeout. While the primary is lost it also requests votes.
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

// claimDelay returns how long this observer waits before it claims: by its rendezvous
// rank among its rivals, with jitter and a backoff after failed claims.
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

// rivals returns the observers that may claim as well: those that have lost the
// primary, or all while no primary is known.
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
		term: o.term + 1, formerLeader: former, startedAt: now,
		claimant:  fmt.Sprintf("%s/%s/%d", o.settings.Self.VM, o.settings.Nonce, o.claimCount),
		positions: map[string]floor.ReplicationPosition{}, refused: map[string]bool{},
	}
	o.claim, o.claimWanted = c.withStep(stepRecord, now), false
	return o, []Action{{Kind: RecordClaim, Term: c.term, Claimant: c.claimant}}
}

// abandonClaim ends the claim without a result. A later claim may have the same term,
// but has another claimant.
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

// withSeal applies the answer to a seal. Once a majority is sealed, the claim goes on to
// promote the sealed server with the highest position.
func (o Observer) withSeal(e Event, now clock.Millis) Observer {
	if !o.isCurrentClaim(e) || o.claim.step != stepSeal {
		return o
	}
	if e.Refused {
		return o.withRefusal(e, now)
	}
	o.claim = o.claim.withPosition(e.Server, e.Position)
	if len(o.claim.positions) < o.majority() {
		return o
	}
	c := o.claim.withStep(stepPromote, now)
	c.target = c.highestServer()
	o.claim = c
	return o
}

// withRefusal abandons the claim only when a later term is known or no majority is
// left, so that two claimants of one term do not stop each other.
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

// highestServer returns the sealed server with the highest position.
func (c claim) highestServer() string {
	best := ""
	for _, name := range slices.Sorted(maps.Keys(c.positions)) {
		if best == "" || !c.positions[best].Covers(c.positions[name]) {
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

// advanceClaim returns the actions that the claim needs next, or ends the claim if it
// has succeeded, timed out, or been overtaken by another.
func (o Observer) advanceClaim(now clock.Millis) (Observer, []Action) {
	c := o.claim
	switch {
	case c == nil:
		return o, nil
	case o.term == c.term && o.leader != "" && o.leader == c.target:
		return o.completeClaim(now), nil
	case o.term > c.term || o.term == c.term && o.leader != "" || now-c.startedAt > claimTimeout:
		return o.abandonClaim(), nil
	case c.step == stepRecord && now-c.stepStartedAt > recordTimeout:
		o.claim = c.withStep(stepSeal, now)
		return o.advanceClaim(now)
	case c.step == stepSeal:
		return o.sealServers(now)
	case c.step == stepPromote:
		return o.promoteTarget(now)
	}
	return o, nil
}

// sealServers asks the servers to seal the term, the former primary last: otherwise a
// primary that cannot reach its replicas would be chosen again.
func (o Observer) sealServers(now clock.Millis) (Observer, []Action) {
	var actions []Action
	for _, name := range o.settings.Servers {
		c := o.claim
		_, sealed := c.positions[name]
		lastSent, sent := c.sentAt[name]
		if sealed || c.refused[name] || sent && now-lastSent < stepRetryInterval || name == c.formerLeader && now-c.stepStartedAt < formerSealDelay {
			continue
		}
		o.claim = c.withSent(name, now)
		actions = append(actions, Action{Kind: Seal, Server: name, Term: c.term, Claimant: c.claimant})
	}
	return o, actions
}

func (o Observer) promoteTarget(now clock.Millis) (Observer, []Action) {
	c := o.claim
	if lastSent, sent := c.sentAt[c.target]; sent && now-lastSent < stepRetryInterval {
		return o, nil
	}
	highest := floor.ReplicationPosition{}
	for _, m := range c.positions {
		highest = highest.Max(m)
	}
	o.claim = c.withSent(c.target, now)
	return o, []Action{{
		Kind: Promote, Server: c.target, Term: c.term, Claimant: c.claimant,
		HighestPosition: highest, TargetPosition: c.positions[c.target],
	}}
}
