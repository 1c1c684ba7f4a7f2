package heartbeat

import (
	"maps"
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

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
