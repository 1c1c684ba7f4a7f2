package heartbeat

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// maxBeatTimes is the number of sent beats whose times are kept.
const maxBeatTimes = 32

// Tick handles the passage of time: it suspects silent VMs, checks what a majority
// acts on, and returns the beats and probes that are due.
func (s State) Tick(now clock.Millis) (State, []Message) {
	s = s.suspectSilent(now).withRelayTree()
	s.lastTick = now
	s = s.withMajority(now)
	if now < s.nextBeat || s.memberSet.Version == 0 {
		return s, nil
	}
	s.nextBeat = now + BeatInterval
	s, beats := s.sendBeats(now)
	s, probes := s.sendProbes(now)
	return s, append(beats, probes...)
}

// sendBeats returns a beat to the relay, or at a root one to every other root. The
// timeout of a new relay starts now.
func (s State) sendBeats(now clock.Millis) (State, []Message) {
	t := s.tree()
	parent := t.Parent(s.self, s.zone)
	if parent != s.parentName {
		s.parentName, s.parent = parent, neighbour{lastReceived: now}
	}
	s = s.withBeatSent(now)
	if parent != "" {
		b := s.newBeat(now, s.parent.lastAnswerSequence, false)
		return s, []Message{{To: parent, Beat: &b}}
	}
	var out []Message
	for _, root := range t.Roots() {
		if root == s.self {
			continue
		}
		b := s.newBeat(now, s.roots[root].lastAnswerSequence, true)
		out = append(out, Message{To: root, Beat: &b})
	}
	return s, out
}

// sendProbes asks suspected VMs whether they answer, those probed longest ago first.
// Probes have the sequence number of the beats that sendBeats returned at the same time.
func (s State) sendProbes(now clock.Millis) (State, []Message) {
	if now-s.lastProbe < ProbeInterval || len(s.suspectedAt) == 0 {
		return s, nil
	}
	s.lastProbe = now
	names := slices.SortedFunc(maps.Keys(s.suspectedAt), func(a, b string) int {
		if c := cmp.Compare(s.suspectedAt[a], s.suspectedAt[b]); c != 0 {
			return c
		}
		return strings.Compare(a, b)
	})
	names = names[:min(len(names), maxProbes)]
	s.suspectedAt = maps.Clone(s.suspectedAt)
	var out []Message
	for _, name := range names {
		s.suspectedAt[name] = now
		b := s.newBeat(now, 0, false)
		b.Probe = true
		out = append(out, Message{To: name, Beat: &b})
	}
	return s, out
}

// withBeatSent assigns the next sequence number to the beats and probes sent now, and
// records the time for OnAnswer.
func (s State) withBeatSent(now clock.Millis) State {
	s.beatSequence++
	s.beatTimes = maps.Clone(s.beatTimes)
	s.beatTimes[s.beatSequence] = now
	delete(s.beatTimes, s.beatSequence-maxBeatTimes)
	return s
}

// newBeat returns a beat that echoes the given sequence number of an answer.
func (s State) newBeat(now clock.Millis, echo uint64, fromRoot bool) Beat {
	b := Beat{
		From: s.self, Sequence: s.beatSequence, Echo: echo, NewestVersion: s.newestVersion,
		Subtree: s.subtreeSummary(now), Suspects: s.localSuspects(), FromRoot: fromRoot,
	}
	for _, v := range s.memberSet.Members {
		if v.Name == s.self && v.Address == s.address {
			return b
		}
	}
	b.Address = s.address
	return b
}

// localSuspects returns the VMs that this VM, or a VM it relays for, suspects.
func (s State) localSuspects() []string {
	out := map[string]bool{}
	for name := range s.suspectedAt {
		out[name] = true
	}
	for _, c := range s.children {
		for _, name := range c.suspects {
			out[name] = true
		}
	}
	return slices.Sorted(maps.Keys(out))
}

// Notices returns messages that announce the newest and the accepted version to the
// children, and at a root to the other roots, so that they need not wait for the answer
// to their next beat.
func (s State) Notices() []Message {
	a := Answer{From: s.self, NewestVersion: s.newestVersion, AcceptedVersion: s.acceptedVersion}
	var out []Message
	for name := range s.children {
		out = append(out, Message{To: name, Answer: &a})
	}
	for name := range s.roots {
		if s.parentName == "" && name != s.self {
			out = append(out, Message{To: name, Answer: &a})
		}
	}
	slices.SortFunc(out, func(a, b Message) int { return strings.Compare(a.To, b.To) })
	return out
}
