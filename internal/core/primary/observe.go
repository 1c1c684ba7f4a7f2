package primary

import (
	"maps"
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

const (
	// baseDetectionTimeout is how long a primary may be silent, or out of touch with
	// its replicas, before it counts as lost.
	baseDetectionTimeout = clock.Second
	// maxDetectionTimeout bounds the timeout when the primary has changed often.
	maxDetectionTimeout = 3 * clock.Second
	// changeWindow is how long a change of primary lengthens the detection timeout.
	changeWindow = 60 * clock.Second
	// leaderlessTimeout is how long a sealed group waits for its claimant to finish.
	leaderlessTimeout = clock.Second
	// voteLifetime is how long a vote of another observer counts.
	voteLifetime = 600 * clock.Millis(1)
	// voteRequestInterval is the time between two requests for votes.
	voteRequestInterval = 100 * clock.Millis(1)
	// minLostZones is the number of availability zones whose observers must have lost
	// the primary.
	minLostZones = 2
)

// withAnswer records the state that a server reported, and its term and primary. A
// state with an earlier term than the server's last one is out of date and ignored.
func (o Observer) withAnswer(e Event, now clock.Millis) Observer {
	previous, known := o.answers[e.Server]
	if known && e.State.Term < previous.state.Term {
		return o
	}
	o.answers = maps.Clone(o.answers)
	o.answers[e.Server] = answer{state: e.State, at: now}
	leader := e.State.Leader
	if e.State.Role == RolePrimary {
		leader = e.Server
	}
	return o.withTerm(e.State.Term, leader, now)
}

// withReachable counts the last state that a server reported, if any, as reported now.
func (o Observer) withReachable(e Event, now clock.Millis) Observer {
	v, known := o.answers[e.Server]
	if !known {
		return o
	}
	v.at = now
	o.answers = maps.Clone(o.answers)
	o.answers[e.Server] = v
	return o
}

// withTerm records a term, and its primary unless leader is "". An earlier term, or a
// second primary of the same term, changes nothing.
func (o Observer) withTerm(term floor.Term, leader string, now clock.Millis) Observer {
	if term < o.term || term == o.term && (leader == "" || o.leader != "") {
		return o
	}
	if term > o.term {
		if o.leader != "" {
			o.formerLeader = o.leader
		}
		o.term, o.leader = term, ""
	}
	o.learnedAt = now
	if leader == "" {
		return o
	}
	o.leader, o.failedClaims = leader, 0
	if o.formerLeader != "" {
		recent := slices.DeleteFunc(slices.Clone(o.changeTimes), func(c clock.Millis) bool { return now-c > changeWindow })
		o.changeTimes = append(recent, now)
	}
	return o
}

func (o Observer) withVote(e Event, now clock.Millis) Observer {
	o.votes = maps.Clone(o.votes)
	o.votes[e.Voter.VM] = vote{voter: e.Voter, term: e.Term, at: now}
	return o
}

// detectionTimeout returns how long the primary may be out of touch. It doubles with
// each recent change, so that a flapping link does not move the primary back and
// forth.
func (o Observer) detectionTimeout(now clock.Millis) clock.Millis {
	timeout := baseDetectionTimeout
	for _, c := range o.changeTimes {
		if now-c <= changeWindow {
			timeout = min(2*timeout, maxDetectionTimeout)
		}
	}
	return timeout
}

// LostTerm returns the term whose primary this observer has lost, or 0. The primary
// is lost if it has not answered, if too many replicas are out of touch with it for a
// commit, or if it is leaving and another server can take over.
func (o Observer) LostTerm(now clock.Millis) floor.Term {
	if o.leader == "" {
		return 0
	}
	timeout := o.detectionTimeout(now)
	if o.isLeaving(o.leader) && o.hasSuccessor(timeout, now) {
		return o.term
	}
	if now-max(o.answers[o.leader].at, o.learnedAt) > timeout || !o.canCommit(timeout, now) {
		return o.term
	}
	return 0
}

func (o Observer) isLeaving(server string) bool { return slices.Contains(o.settings.Leaving, server) }

// hasSuccessor reports whether enough servers besides the primary answer to form a
// majority, and at least one of them is not leaving.
func (o Observer) hasSuccessor(timeout, now clock.Millis) bool {
	answering, staying := 0, false
	for name, v := range o.answers {
		if name == o.leader || now-v.at > timeout || v.state.Term != o.term {
			continue
		}
		answering++
		staying = staying || !o.isLeaving(name)
	}
	return staying && answering >= o.majority()
}

// canCommit reports whether a majority may be in touch with the primary. A replica
// that does not answer counts as being in touch, since it may be only this observer
// that cannot reach it.
func (o Observer) canCommit(timeout, now clock.Millis) bool {
	connected := len(o.settings.Servers)
	for name, v := range o.answers {
		if name != o.leader && o.isDisconnected(v, timeout, now) {
			connected--
		}
	}
	return connected >= o.majority()
}

// isDisconnected reports whether a replica that answers has been out of touch with the
// current primary for longer than the timeout. It returns false until the primary has
// been known for that long.
func (o Observer) isDisconnected(v answer, timeout, now clock.Millis) bool {
	fresh := now-v.at <= timeout && now-o.learnedAt > timeout
	return fresh && v.state.Term == o.term && v.state.Leader == o.leader && v.state.ContactAge > timeout
}

// zonesAgree reports whether observers in enough availability zones have lost the
// primary. It counts the zone of this observer, so it is only for an observer that has
// lost the primary itself.
func (o Observer) zonesAgree(now clock.Millis) bool {
	allZones, lostZones := map[member.Zone]bool{}, map[member.Zone]bool{o.settings.Self.Zone: true}
	for _, v := range o.voters {
		allZones[v.Zone] = true
	}
	for _, v := range o.votes {
		if v.term == o.term && now-v.at <= voteLifetime {
			lostZones[v.voter.Zone] = true
		}
	}
	return len(lostZones) >= min(minLostZones, max(len(allZones), 1))
}

// redirectFollowers returns a Follow action for each server that last reported an
// earlier term, no primary or another one, unless one was sent less than
// followRetryInterval ago.
func (o Observer) redirectFollowers(now clock.Millis) (Observer, []Action) {
	if o.leader == "" {
		return o, nil
	}
	var actions []Action
	for _, name := range o.settings.Servers {
		v, known := o.answers[name]
		if !known || name == o.leader || v.state.Term == o.term && v.state.Leader == o.leader {
			continue
		}
		if lastSent, ok := o.followSentAt[name]; ok && now-lastSent < followRetryInterval {
			continue
		}
		o.followSentAt = maps.Clone(o.followSentAt)
		o.followSentAt[name] = now
		actions = append(actions, Action{Kind: Follow, Server: name, Term: o.term, Leader: o.leader})
	}
	return o, actions
}

// followRetryInterval is the time after which a server is told again which primary to
// follow.
const followRetryInterval = 200 * clock.Millis(1)
