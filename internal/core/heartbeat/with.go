package heartbeat

import (
	"maps"
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// WithSet gives the node a version and its members, as read from the store or
// fetched from another VM. A version that is not later changes nothing.
func (n Node) WithSet(s Set, now clock.Millis) (Node, []Message) {
	if s.Version <= n.set.Version {
		return n, nil
	}
	if n.set.Version == 0 {
		n.fresh = !contains(s.Members, n.self) && !contains(s.Old, n.self)
	}
	n.set = s
	n.newest = max(n.newest, s.Version)
	n.majority = confirmation{version: s.Version, at: Never}
	if !n.isMember(n.self) {
		n.confirmed = confirmation{at: Never}
	}
	n.next = now
	return n.refresh().Tick(now)
}

// WithStore takes in a read of the store that began at a moment: the version
// that it named was the newest then, and the list of VMs has the given identity.
// Only members take it as a confirmation; others depend on their relay, which
// answers for them.
func (n Node) WithStore(version uint64, began clock.Millis) Node {
	n.newest = max(n.newest, version)
	if version == n.newest && n.isMember(n.self) {
		n.confirmed = n.confirmed.later(confirmation{version: version, at: began})
	}
	return n
}

// WithList takes in the platform's list of VMs and its identity.
func (n Node) WithList(names []string, identity uint64, now clock.Millis) Node {
	n.list = max(n.list, identity)
	missing := map[string]clock.Millis{}
	for _, set := range [][]member.VM{n.set.Members, n.set.Old} {
		for _, v := range set {
			if slices.Contains(names, v.Name) || v.Name == n.self {
				continue
			}
			missing[v.Name] = now
			if since, ok := n.missing[v.Name]; ok {
				missing[v.Name] = since
			}
		}
	}
	n.missing = missing
	return n
}

// later returns the confirmation of the later version, or of the later moment.
func (c confirmation) later(o confirmation) confirmation {
	if o.version > c.version || o.version == c.version && o.at > c.at {
		return o
	}
	return c
}

func (n Node) withChild(name string, c neighbour) Node {
	n.children = maps.Clone(n.children)
	n.children[name] = c
	return n
}

func (n Node) withRoot(name string, r neighbour) Node {
	n.roots = maps.Clone(n.roots)
	n.roots[name] = r
	return n
}

func (n Node) withSuspect(name string, now clock.Millis) Node {
	if _, known := n.suspected[name]; known {
		return n
	}
	n.suspected = maps.Clone(n.suspected)
	n.suspected[name] = now
	return n
}

// withoutSuspect ends a suspicion; a root that was suspected gets a new start.
func (n Node) withoutSuspect(name string) Node {
	if _, ok := n.suspected[name]; !ok {
		return n
	}
	n.suspected = maps.Clone(n.suspected)
	delete(n.suspected, name)
	n.roots = maps.Clone(n.roots)
	delete(n.roots, name)
	return n
}
