package heartbeat

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

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
// node that has just started under a member's name may have given its word before.
func (n Node) answersForEarlier(now clock.Millis) bool {
	if !n.fresh && now-n.started < Valid+Drift {
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
