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
	// rankPause separates the claims of observers, so that mostly one claims.
	rankPause = 300 * clock.Millis(1)
	// spread is the largest random part of the delay.
	spread = 60
	// attemptPause grows with each failed claim, up to attemptLimit.
	attemptPause = 250 * clock.Millis(1)
	attemptLimit = clock.Second
	// orderTime is how long a claim waits for the table.
	orderTime = 200 * clock.Millis(1)
	// formerPause is the wait before the former primary is asked to seal too.
	formerPause = 300 * clock.Millis(1)
	// stepPause is the pause before an unanswered step is repeated.
	stepPause = 250 * clock.Millis(1)
	// claimTime is how long a claim may last.
	claimTime = 2 * clock.Second
)

type step int

const (
	stepOrder step = iota
	stepSeal
	stepPromote
)

// claim is an attempt to become the one who names the primary of a term. It is
// replaced by a changed copy, never changed.
type claim struct {
	term     floor.Term
	claimant string
	former   string
	step     step
	began    clock.Millis
	entered  clock.Millis
	sent     map[string]clock.Millis
	marks    map[string]floor.ReplicationPosition
	refused  map[string]bool
	target   string
}

func (c claim) in(s step, now clock.Millis) *claim {
	c.step, c.entered, c.sent = s, now, map[string]clock.Millis{}
	return &c
}

func (c claim) withSent(server string, now clock.Millis) *claim {
	c.sent = maps.Clone(c.sent)
	c.sent[server] = now
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

// consider begins a claim when one has been called for long enough.
func (o Observer) consider(now clock.Millis) (Observer, []Action) {
	lost := o.Lost(now) != 0
	leaderless := o.term > 0 && o.leader == "" && now-o.learned > sealedTime
	if o.claim != nil || !lost && !leaderless {
		o.wanting = false
		return o, nil
	}
	var actions []Action
	if lost && now-o.asked >= askPause {
		o.asked = now
		actions = append(actions, Action{Verb: Ask, Term: o.term})
	}
	if lost && !o.agreed(now) {
		o.wanting = false
		return o, actions
	}
	if !o.wanting {
		o.wanting, o.wanted = true, now
	}
	if now < o.wanted+o.delay(now) {
		return o, actions
	}
	o, more := o.begin(now)
	return o, append(actions, more...)
}

// delay orders the observers by rendezvous rank.
func (o Observer) delay(now clock.Millis) clock.Millis {
	rank, own := 0, o.score(o.settings.Self.VM)
	for _, v := range o.rivals(now) {
		if v.VM != o.settings.Self.VM && o.score(v.VM) > own {
			rank++
		}
	}
	jitter := clock.Millis(xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", o.settings.Self.VM, o.settings.Nonce, o.claims)) % spread)
	return clock.Millis(rank)*rankPause + jitter + min(clock.Millis(o.attempts)*attemptPause, attemptLimit)
}

// rivals returns the observers that may claim as well.
func (o Observer) rivals(now clock.Millis) []Voter {
	if o.leader == "" {
		return o.voters
	}
	var out []Voter
	for _, v := range o.votes {
		if v.term == o.term && now-v.at <= voteTime {
			out = append(out, v.voter)
		}
	}
	return out
}

func (o Observer) score(vm string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d/%s", o.settings.Database, o.term, vm))
}

func (o Observer) begin(now clock.Millis) (Observer, []Action) {
	o.claims++
	former := o.leader
	if former == "" {
		former = o.former
	}
	c := claim{
		term: o.term + 1, former: former, began: now,
		claimant: fmt.Sprintf("%s/%s/%d", o.settings.Self.VM, o.settings.Nonce, o.claims),
		marks:    map[string]floor.ReplicationPosition{}, refused: map[string]bool{},
	}
	o.claim, o.wanting = c.in(stepOrder, now), false
	return o, []Action{{Verb: Order, Term: c.term, Claimant: c.claimant}}
}

// abandon gives the claim up; a later one uses a higher term.
func (o Observer) abandon() Observer {
	o.claim = nil
	o.attempts++
	return o
}

func (o Observer) current(e Event) bool { return o.claim != nil && o.claim.claimant == e.Claimant }

func (o Observer) withOrder(e Event, now clock.Millis) Observer {
	if !o.current(e) || o.claim.step != stepOrder {
		return o
	}
	if e.Refused {
		return o.abandon().learn(e.Term, "", now)
	}
	o.claim = o.claim.in(stepSeal, now)
	return o
}

func (o Observer) withSeal(e Event, now clock.Millis) Observer {
	if !o.current(e) || o.claim.step != stepSeal {
		return o
	}
	if e.Refused {
		return o.withRefusal(e, now)
	}
	o.claim = o.claim.withMark(e.Server, e.Mark)
	if len(o.claim.marks) < o.majority() {
		return o
	}
	c := o.claim.in(stepPromote, now)
	c.target = c.highest()
	o.claim = c
	return o
}

// withRefusal gives the claim up only when a later term is known or no majority
// is left, so that two claimants of one term do not stop each other.
func (o Observer) withRefusal(e Event, now clock.Millis) Observer {
	if e.Term > o.claim.term {
		return o.abandon().learn(e.Term, "", now)
	}
	o.claim = o.claim.withRefusal(e.Server)
	if len(o.settings.Servers)-len(o.claim.refused) < o.majority() {
		return o.abandon().learn(max(e.Term, o.term), "", now)
	}
	return o
}

// highest returns the sealed server with the highest mark.
func (c claim) highest() string {
	best := ""
	for _, name := range slices.Sorted(maps.Keys(c.marks)) {
		if best == "" || !c.marks[best].Covers(c.marks[name]) {
			best = name
		}
	}
	return best
}

func (o Observer) withPromotion(e Event, now clock.Millis) Observer {
	if !o.current(e) || o.claim.step != stepPromote {
		return o
	}
	if e.Refused {
		return o.abandon()
	}
	return o.settle(now)
}

// settle ends a claim whose server has become the primary.
func (o Observer) settle(now clock.Millis) Observer {
	c := o.claim
	o.claim, o.unrecorded = nil, c.claimant
	return o.learn(c.term, c.target, now)
}

// advance sends what the claim needs next.
func (o Observer) advance(now clock.Millis) (Observer, []Action) {
	c := o.claim
	switch {
	case c == nil:
		return o, nil
	case o.term == c.term && o.leader != "" && o.leader == c.target:
		return o.settle(now), nil
	case o.term > c.term || o.term == c.term && o.leader != "" || now-c.began > claimTime:
		return o.abandon(), nil
	case c.step == stepOrder && now-c.entered > orderTime:
		o.claim = c.in(stepSeal, now)
		return o.advance(now)
	case c.step == stepSeal:
		return o.seal(now)
	case c.step == stepPromote:
		return o.promote(now)
	}
	return o, nil
}

// seal asks the servers to seal the term, the former primary last: a primary
// that cannot reach its replicas would otherwise be chosen again.
func (o Observer) seal(now clock.Millis) (Observer, []Action) {
	var actions []Action
	for _, name := range o.settings.Servers {
		c := o.claim
		_, sealed := c.marks[name]
		last, sent := c.sent[name]
		if sealed || c.refused[name] || sent && now-last < stepPause || name == c.former && now-c.entered < formerPause {
			continue
		}
		o.claim = c.withSent(name, now)
		actions = append(actions, Action{Verb: Seal, Server: name, Term: c.term, Claimant: c.claimant})
	}
	return o, actions
}

func (o Observer) promote(now clock.Millis) (Observer, []Action) {
	c := o.claim
	if last, sent := c.sent[c.target]; sent && now-last < stepPause {
		return o, nil
	}
	highest := floor.ReplicationPosition{}
	for _, m := range c.marks {
		highest = highest.Max(m)
	}
	o.claim = c.withSent(c.target, now)
	return o, []Action{{
		Verb: Promote, Server: c.target, Term: c.term, Claimant: c.claimant,
		Mark: highest, Chosen: c.marks[c.target],
	}}
}
