package heartbeat

import (
	"maps"
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// OnBeat applies a beat and returns the answer to it. The beat's summary counts only if
// the beat echoes one of the last two answers to its sender: the summary was sent after
// that answer, whose time is known on this VM's clock. A probe is answered, but its
// sender does not become a neighbour.
func (s State) OnBeat(b Beat, now clock.Millis) (State, []Message) {
	s.newestVersion = max(s.newestVersion, b.NewestVersion, b.Subtree.Version)
	s = s.withoutSuspect(b.From)
	if b.Probe {
		answer := s.newAnswer(b, now)
		return s.withRelayTree(), []Message{{To: b.From, Answer: &answer}}
	}
	neighbours := s.children
	if b.FromRoot {
		neighbours = s.roots
	}
	c := neighbours[b.From]
	c.lastReceived, c.suspects, c.lastAnswered = now, b.Suspects, now
	c.minVersion = max(c.minVersion, b.Subtree.Version)
	if at, ok := c.answerTime(b.Echo); ok {
		c = c.withSummary(b.Subtree, at)
	}
	answer := s.newAnswer(b, now)
	c.sentAnswers = [2]sentAnswer{{sequence: answer.Sequence, at: now}, c.sentAnswers[0]}
	if b.FromRoot {
		s = s.withRoot(b.From, c)
	} else {
		s = s.withChild(b.From, c)
	}
	return s.withRelayTree().withMajority(now), []Message{{To: b.From, Answer: &answer}}
}

// answerTime returns when the answer with this sequence number was sent, and false if
// it is unknown.
func (c neighbour) answerTime(sequence uint64) (clock.Millis, bool) {
	for _, a := range c.sentAnswers {
		if sequence != 0 && a.sequence == sequence {
			return a.at, true
		}
	}
	return 0, false
}

// withSummary records a summary that was sent after the time sentAfter, unless a newer
// one is known.
func (c neighbour) withSummary(s Summary, sentAfter clock.Millis) neighbour {
	if s.Version < c.summary.Version || s.Version == c.summary.Version && sentAfter < c.summarySentAfter {
		return c
	}
	c.summary, c.summaryTime, c.summarySentAfter = s, sentAfter-s.Age, sentAfter
	return c
}

// newAnswer returns the answer to a beat. Another root gets the summary and the
// suspects of this zone alone.
func (s State) newAnswer(b Beat, now clock.Millis) Answer {
	a := Answer{
		From: s.self, BeatSequence: b.Sequence, Sequence: b.Sequence, NewestVersion: s.newestVersion, Version: s.confirmed.version,
		Age: now - s.confirmed.at, AcceptedVersion: s.acceptedVersion, ListID: s.listID, Suspects: s.suspectsFor(b.From),
	}
	if !s.isMember(s.self) {
		// A VM outside the member set is not counted, so it cannot confirm a version.
		a.Version = 0
	}
	if b.FromRoot {
		a.ZoneSummary = s.subtreeSummary(now)
		a.Suspects = s.localSuspects()
	}
	return a
}

// suspectsFor returns the suspects to report to another VM: all that this VM knows of,
// except that VM itself.
func (s State) suspectsFor(to string) []string {
	out := slices.Sorted(maps.Keys(s.suspects))
	return slices.DeleteFunc(out, func(name string) bool { return name == to })
}

// OnAnswer applies the answer to one of this VM's beats. If the beat is unknown, as
// for a message of Notices, only the newest and the accepted version count. Ages in the
// answer are subtracted from the time at which the beat was sent. That is before the
// answer was sent, so the results are lower bounds.
func (s State) OnAnswer(a Answer, now clock.Millis) State {
	s.newestVersion = max(s.newestVersion, a.NewestVersion, a.Version)
	s.acceptedVersion = max(s.acceptedVersion, a.AcceptedVersion)
	sent, ok := s.beatTimes[a.BeatSequence]
	if !ok {
		return s
	}
	s = s.withoutSuspect(a.From)
	s.confirmed = s.confirmed.later(confirmation{version: a.Version, at: sent - a.Age})
	if a.From == s.parentName {
		s.parent.lastReceived, s.parent.lastAnswerSequence = now, a.Sequence
		s.relayedSuspects = slices.DeleteFunc(slices.Clone(a.Suspects), func(name string) bool { return name == s.self })
		s.listID = max(s.listID, a.ListID)
		return s.withRelayTree().withMajority(now)
	}
	if s.parentName != "" || !slices.Contains(s.tree().Roots(), a.From) {
		// The answer to a probe, or from a former relay or root.
		return s.withRelayTree()
	}
	r := s.roots[a.From].withSummary(a.ZoneSummary, sent)
	r.lastReceived, r.lastAnswerSequence, r.suspects = now, a.Sequence, a.Suspects
	s.listID = max(s.listID, a.ListID)
	return s.withRoot(a.From, r).withRootSuspects().withRelayTree().withMajority(now)
}

// withRootSuspects collects, at a root, the suspects that the other roots report.
func (s State) withRootSuspects() State {
	out := map[string]bool{}
	for _, r := range s.roots {
		for _, name := range r.suspects {
			out[name] = true
		}
	}
	delete(out, s.self)
	s.relayedSuspects = slices.Sorted(maps.Keys(out))
	return s
}
