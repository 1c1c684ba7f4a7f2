package heartbeat

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// keptBeats is the number of sent beats whose moments are remembered.
const keptBeats = 32

// Tick lets time pass: it suspects the silent, sends beats that are due, and
// settles what a majority does.
func (n Node) Tick(now clock.Millis) (Node, []Message) {
	n = n.suspectSilent(now).refresh()
	n.ticked = now
	n = n.settle(now)
	if now < n.next || n.set.Version == 0 {
		return n, nil
	}
	n.next = now + Period
	n, beats := n.beat(now)
	n, probes := n.probe(now)
	return n, append(beats, probes...)
}

// beat sends one beat to the relay, or from a root to every other root.
func (n Node) beat(now clock.Millis) (Node, []Message) {
	t := n.tree()
	parent := t.Parent(n.self, n.zone)
	if parent != n.parentOf {
		n.parentOf, n.parent = parent, neighbour{heard: now}
	}
	n = n.withBeat(now)
	if parent != "" {
		b := n.newBeat(now, n.parent.answered, false)
		return n, []Message{{To: parent, Beat: &b}}
	}
	var out []Message
	for _, root := range t.Roots() {
		if root == n.self {
			continue
		}
		b := n.newBeat(now, n.roots[root].answered, true)
		out = append(out, Message{To: root, Beat: &b})
	}
	return n, out
}

// probe asks suspected VMs whether they are there; the longest suspected first.
func (n Node) probe(now clock.Millis) (Node, []Message) {
	if now-n.probed < Probing || len(n.suspected) == 0 {
		return n, nil
	}
	n.probed = now
	names := slices.SortedFunc(maps.Keys(n.suspected), func(a, b string) int {
		if c := cmp.Compare(n.suspected[a], n.suspected[b]); c != 0 {
			return c
		}
		return strings.Compare(a, b)
	})
	names = names[:min(len(names), maxProbes)]
	n.suspected = maps.Clone(n.suspected)
	var out []Message
	for _, name := range names {
		n.suspected[name] = now
		b := n.newBeat(now, 0, false)
		b.Probe = true
		out = append(out, Message{To: name, Beat: &b})
	}
	return n, out
}

func (n Node) withBeat(now clock.Millis) Node {
	n.sent++
	n.beats = maps.Clone(n.beats)
	n.beats[n.sent] = now
	delete(n.beats, n.sent-keptBeats)
	return n
}

func (n Node) newBeat(now clock.Millis, echo uint64, root bool) Beat {
	b := Beat{
		From: n.self, Sent: n.sent, Echo: echo, Newest: n.newest,
		Subtree: n.subtree(now), Suspects: n.localSuspects(), Root: root,
	}
	for _, v := range n.set.Members {
		if v.Name == n.self && v.Address == n.address {
			return b
		}
	}
	b.Address = n.address
	return b
}

// localSuspects is what the node and those it relays for have found.
func (n Node) localSuspects() []string {
	out := map[string]bool{}
	for name := range n.suspected {
		out[name] = true
	}
	for _, c := range n.children {
		for _, name := range c.suspects {
			out[name] = true
		}
	}
	return slices.Sorted(maps.Keys(out))
}

// Notices tells those below, and from a root the other roots, that a later
// version exists, so that they need not wait for their next beat.
func (n Node) Notices() []Message {
	a := Answer{From: n.self, Newest: n.newest, Accepted: n.accepted}
	var out []Message
	for name := range n.children {
		out = append(out, Message{To: name, Answer: &a})
	}
	for name := range n.roots {
		if n.parentOf == "" && name != n.self {
			out = append(out, Message{To: name, Answer: &a})
		}
	}
	slices.SortFunc(out, func(a, b Message) int { return strings.Compare(a.To, b.To) })
	return out
}
