package primary

import (
	"maps"
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

const (
	// detectTime is how long a primary may be out of touch before it is lost.
	detectTime = clock.Second
	// patienceLimit bounds detectTime when the primary has changed often.
	patienceLimit = 3 * clock.Second
	// changeMemory is how long a change of primary makes the observer patient.
	changeMemory = 60 * clock.Second
	// sealedTime is how long a sealed group waits for the claimant to finish.
	sealedTime = clock.Second
	voteTime   = 600 * clock.Millis(1)
	askPause   = 100 * clock.Millis(1)
	// zonesNeeded is the number of availability zones that must have lost the primary.
	zonesNeeded = 2
)

func (o Observer) withAnswer(e Event, now clock.Millis) Observer {
	old, known := o.views[e.Server]
	if known && e.State.Term < old.state.Term {
		return o
	}
	o.views = maps.Clone(o.views)
	o.views[e.Server] = view{state: e.State, at: now}
	leader := e.State.Leader
	if e.State.Role == RolePrimary {
		leader = e.Server
	}
	return o.learn(e.State.Term, leader, now)
}

func (o Observer) withLife(e Event, now clock.Millis) Observer {
	v, known := o.views[e.Server]
	if !known {
		return o
	}
	v.at = now
	o.views = maps.Clone(o.views)
	o.views[e.Server] = v
	return o
}

// learn takes in a term and its primary, if that is known.
func (o Observer) learn(term floor.Term, leader string, now clock.Millis) Observer {
	if term < o.term || term == o.term && (leader == "" || o.leader != "") {
		return o
	}
	if term > o.term {
		if o.leader != "" {
			o.former = o.leader
		}
		o.term, o.leader = term, ""
	}
	o.learned = now
	if leader == "" {
		return o
	}
	o.leader, o.attempts = leader, 0
	if o.former != "" {
		recent := slices.DeleteFunc(slices.Clone(o.changes), func(c clock.Millis) bool { return now-c > changeMemory })
		o.changes = append(recent, now)
	}
	return o
}

func (o Observer) withVote(e Event, now clock.Millis) Observer {
	o.votes = maps.Clone(o.votes)
	o.votes[e.Voter.VM] = vote{voter: e.Voter, term: e.Term, at: now}
	return o
}

// patience is how long the primary may be out of touch. It doubles with each
// recent change, so that a flapping link does not move the primary to and fro.
func (o Observer) patience(now clock.Millis) clock.Millis {
	p := detectTime
	for _, c := range o.changes {
		if now-c <= changeMemory {
			p = min(2*p, patienceLimit)
		}
	}
	return p
}

// Lost returns the term whose primary this observer has lost, or 0: the primary
// has not answered, or too many replicas are out of touch with it to commit.
func (o Observer) Lost(now clock.Millis) floor.Term {
	if o.leader == "" {
		return 0
	}
	limit := o.patience(now)
	if o.isLeaving(o.leader) && o.hasSuccessor(limit, now) {
		return o.term
	}
	if now-max(o.views[o.leader].at, o.learned) > limit || !o.canCommit(limit, now) {
		return o.term
	}
	return 0
}

func (o Observer) isLeaving(server string) bool { return slices.Contains(o.settings.Leaving, server) }

// hasSuccessor reports whether a majority without the primary answers, of which
// one stays.
func (o Observer) hasSuccessor(limit, now clock.Millis) bool {
	answering, staying := 0, false
	for name, v := range o.views {
		if name == o.leader || now-v.at > limit || v.state.Term != o.term {
			continue
		}
		answering++
		staying = staying || !o.isLeaving(name)
	}
	return staying && answering >= o.majority()
}

// canCommit reports whether a majority may be in touch with the primary. A
// replica that does not answer is given the benefit of the doubt.
func (o Observer) canCommit(limit, now clock.Millis) bool {
	touch := len(o.settings.Servers)
	for name, v := range o.views {
		if name != o.leader && o.outOfTouch(v, limit, now) {
			touch--
		}
	}
	return touch >= o.majority()
}

func (o Observer) outOfTouch(v view, limit, now clock.Millis) bool {
	fresh := now-v.at <= limit && now-o.learned > limit
	return fresh && v.state.Term == o.term && v.state.Leader == o.leader && v.state.Lag > limit
}

// agreed reports whether observers of enough availability zones have lost the primary.
func (o Observer) agreed(now clock.Millis) bool {
	all, lost := map[member.Zone]bool{}, map[member.Zone]bool{o.settings.Self.Zone: true}
	for _, v := range o.voters {
		all[v.Zone] = true
	}
	for _, v := range o.votes {
		if v.term == o.term && now-v.at <= voteTime {
			lost[v.voter.Zone] = true
		}
	}
	return len(lost) >= min(zonesNeeded, max(len(all), 1))
}

// align tells servers of a lower term, or without a primary, whom to follow.
func (o Observer) align(now clock.Millis) (Observer, []Action) {
	if o.leader == "" {
		return o, nil
	}
	var actions []Action
	for _, name := range o.settings.Servers {
		v, known := o.views[name]
		if !known || name == o.leader || v.state.Term == o.term && v.state.Leader == o.leader {
			continue
		}
		if last, ok := o.followed[name]; ok && now-last < followPause {
			continue
		}
		o.followed = maps.Clone(o.followed)
		o.followed[name] = now
		actions = append(actions, Action{Verb: Follow, Server: name, Term: o.term, Leader: o.leader})
	}
	return o, actions
}

// followPause is the pause before a server is told again whom to follow.
const followPause = 200 * clock.Millis(1)
