package heartbeat

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
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

// subtree sums up the node and those it relays for, as far as they act on the
// node's version and their word is fresh.
func (n Node) subtree(now clock.Millis) Summary {
	s := Summary{Version: n.set.Version}
	if n.newest > n.set.Version || n.set.Version == 0 {
		return s
	}
	s.Members, s.Old = newBits(n.set.Members, n.self), newBits(n.set.Old, n.self)
	s.Pending = n.answersForEarlier(now)
	for _, c := range n.children {
		s = s.plus(c, now)
	}
	return s
}

// answersForEarlier reports whether a VM that is no member, such as one that has
// just started, may still act on an earlier version on the word of this node. A
// node that has just started may have given its word before.
func (n Node) answersForEarlier(now clock.Millis) bool {
	if now-n.started < Valid+Drift {
		return true
	}
	for name, c := range n.children {
		if !n.isMember(name) && c.acts < n.set.Version && now-c.told < Valid+Drift {
			return true
		}
	}
	return false
}

// plus adds what a neighbour has said, if it is about the same version and fresh.
func (s Summary) plus(c neighbour, now clock.Millis) Summary {
	if c.summary.Version != s.Version || now-c.proved > Fresh {
		return s
	}
	s.Members = s.Members.or(c.summary.Members)
	s.Old = s.Old.or(c.summary.Old)
	s.Pending = s.Pending || c.summary.Pending
	s.Age = max(s.Age, now-c.at)
	return s
}

// settle finds, at a root, whether a majority acts on the version, which
// confirms it, and whether it is accepted.
func (n Node) settle(now clock.Millis) Node {
	if n.set.Version == 0 || n.newest > n.set.Version || !n.IsRoot() {
		return n
	}
	s := n.subtree(now)
	for _, r := range n.roots {
		s = s.plus(r, now)
	}
	if isMajority(s.Members.count(), n.set.Members) && (len(n.set.Old) == 0 || isMajority(s.Old.count(), n.set.Old)) {
		n.confirmed = n.confirmed.later(confirmation{version: s.Version, at: now - s.Age})
	}
	return n.accept(s, now)
}

// accept settles whether anybody may still act on an earlier version. VMs that
// the platform has taken off its list act on nothing; they count here, but never
// for a confirmation, since they may have known of a later version.
func (n Node) accept(s Summary, now clock.Millis) Node {
	members, old := n.ended(s.Members, n.set.Members, now), n.ended(s.Old, n.set.Old, now)
	if !isMajority(members, n.set.Members) || len(n.set.Old) > 0 && !isMajority(old, n.set.Old) {
		return n
	}
	if n.majority.version != s.Version || n.majority.at == Never {
		n.majority = confirmation{version: s.Version, at: now}
	}
	everyone := !s.Pending && members >= len(n.set.Members) && old >= len(n.set.Old)
	if everyone || n.set.First || now-n.majority.at >= Valid+Drift {
		n.accepted = max(n.accepted, s.Version)
	}
	return n
}

func isMajority(n int, set []member.VM) bool { return n > len(set)/2 }

// ended counts the members of a set that act on the version or, as the
// platform's list tells, have ended.
func (n Node) ended(acting Bits, set []member.VM, now clock.Millis) int {
	out := 0
	for i, v := range set {
		if acting.has(i) || n.Ended(v.Name, now) {
			out++
		}
	}
	return out
}

// Ended reports whether a member has been off the platform's list for so long
// that it acts on nothing any more.
func (n Node) Ended(name string, now clock.Millis) bool {
	since, missing := n.missing[name]
	return missing && now-since >= Gone
}

// suspectSilent suspects a relay that does not answer and children that no
// longer beat, and forgets old suspicions.
func (n Node) suspectSilent(now clock.Millis) Node {
	if now-n.ticked > Silent {
		return n.excuse(now)
	}
	if n.parentOf != "" && now-n.parent.heard > Silent {
		n = n.withSuspect(n.parentOf, now)
		n.next = now
	}
	if n.IsRoot() {
		n = n.suspectRoots(now)
	}
	n = n.dropSilent(now)
	for name := range n.suspected {
		if !n.isMember(name) {
			n = n.withoutSuspect(name)
		}
	}
	return n
}

// excuse gives everybody a new start after the node itself was paused.
func (n Node) excuse(now clock.Millis) Node {
	n.parent.heard = now
	for name, c := range n.children {
		c.heard = now
		n = n.withChild(name, c)
	}
	for name, r := range n.roots {
		r.heard = now
		n = n.withRoot(name, r)
	}
	return n
}

func (n Node) suspectRoots(now clock.Millis) Node {
	for _, root := range n.tree().Roots() {
		r, known := n.roots[root]
		switch {
		case root == n.self:
		case !known:
			n = n.withRoot(root, neighbour{heard: now, at: Never})
		case now-r.heard > Silent:
			n = n.withSuspect(root, now)
		}
	}
	return n
}

// dropSilent forgets children that no longer beat and suspects those that ought to.
func (n Node) dropSilent(now clock.Millis) Node {
	expected := n.tree().Children(n.self)
	for name, c := range n.children {
		if now-c.heard <= Silent || !n.isMember(name) && now-c.told < Valid+Drift {
			continue
		}
		n.children = maps.Clone(n.children)
		delete(n.children, name)
		if slices.Contains(expected, name) {
			n = n.withSuspect(name, now)
		}
	}
	return n
}
