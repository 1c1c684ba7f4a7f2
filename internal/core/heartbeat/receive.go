package heartbeat

import (
	"maps"
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// OnBeat takes in a beat and answers it.
func (n Node) OnBeat(b Beat, now clock.Millis) (Node, []Message) {
	n.newest = max(n.newest, b.Newest, b.Subtree.Version)
	n = n.withoutSuspect(b.From)
	if b.Probe {
		answer := n.answer(b, now)
		return n.refresh(), []Message{{To: b.From, Answer: &answer}}
	}
	known := n.children
	if b.Root {
		known = n.roots
	}
	c := known[b.From]
	c.heard, c.suspects, c.told = now, b.Suspects, now
	c.acts = max(c.acts, b.Subtree.Version)
	if at, ok := c.echoed(b.Echo); ok {
		c = c.withSummary(b.Subtree, at)
	}
	answer := n.answer(b, now)
	c.asked = [2]numbered{{number: answer.Number, at: now}, c.asked[0]}
	if b.Root {
		n = n.withRoot(b.From, c)
	} else {
		n = n.withChild(b.From, c)
	}
	return n.refresh().settle(now), []Message{{To: b.From, Answer: &answer}}
}

// echoed returns the moment of the answer that a beat echoes.
func (c neighbour) echoed(number uint64) (clock.Millis, bool) {
	for _, a := range c.asked {
		if number != 0 && a.number == number {
			return a.at, true
		}
	}
	return 0, false
}

// withSummary takes in a summary that was sent after a moment.
func (c neighbour) withSummary(s Summary, sent clock.Millis) neighbour {
	if s.Version < c.summary.Version || s.Version == c.summary.Version && sent < c.proved {
		return c
	}
	c.summary, c.at, c.proved = s, sent-s.Age, sent
	return c
}

func (n Node) answer(b Beat, now clock.Millis) Answer {
	a := Answer{
		From: n.self, Sent: b.Sent, Number: b.Sent, Newest: n.newest, Version: n.confirmed.version,
		Age: now - n.confirmed.at, Accepted: n.accepted, List: n.list, Suspects: n.answerSuspects(b.From),
	}
	if !n.isMember(n.self) {
		// Nobody counts what a VM outside the set answers for.
		a.Version = 0
	}
	if b.Root {
		a.Zone = n.subtree(now)
		a.Suspects = n.localSuspects()
	}
	return a
}

// answerSuspects is every suspicion that the node has heard of, for those below it.
func (n Node) answerSuspects(to string) []string {
	out := slices.Sorted(maps.Keys(n.skipped))
	return slices.DeleteFunc(out, func(name string) bool { return name == to })
}

// OnAnswer takes in the answer to one of the node's beats.
func (n Node) OnAnswer(a Answer, now clock.Millis) Node {
	n.newest = max(n.newest, a.Newest, a.Version)
	n.accepted = max(n.accepted, a.Accepted)
	sent, ok := n.beats[a.Sent]
	if !ok {
		return n
	}
	n = n.withoutSuspect(a.From)
	n.confirmed = n.confirmed.later(confirmation{version: a.Version, at: sent - a.Age})
	if a.From == n.parentOf {
		n.parent.heard, n.parent.answered = now, a.Number
		n.relayed = slices.DeleteFunc(slices.Clone(a.Suspects), func(name string) bool { return name == n.self })
		n.list = max(n.list, a.List)
		return n.refresh().settle(now)
	}
	if n.parentOf != "" || !slices.Contains(n.tree().Roots(), a.From) {
		return n.refresh()
	}
	r := n.roots[a.From].withSummary(a.Zone, sent)
	r.heard, r.answered, r.suspects = now, a.Number, a.Suspects
	n.list = max(n.list, a.List)
	return n.withRoot(a.From, r).relayRoots().refresh().settle(now)
}

// relayRoots gathers, at a root, what the other roots suspect.
func (n Node) relayRoots() Node {
	out := map[string]bool{}
	for _, r := range n.roots {
		for _, name := range r.suspects {
			out[name] = true
		}
	}
	delete(out, n.self)
	n.relayed = slices.Sorted(maps.Keys(out))
	return n
}
