package member

import "slices"

// FanOut is the number of children of a VM in the relay tree of its zone, and
// RootFanOut that of a root, which exchanges messages with the other roots as well.
// 154 VMs of a zone, including its root, are within two steps of the root.
const (
	FanOut     = 16
	RootFanOut = 9
)

// Tree is the relay tree as one VM sees it. Every VM computes the same order of the VMs
// of an availability zone. The first is the zone's root and relays for the next
// RootFanOut VMs; each of the others in turn relays for the next FanOut VMs. Views
// of the tree differ for a while when VMs come and go; a VM whose relay does not
// answer excludes it from its own tree.
type Tree struct {
	namesByZone map[Zone][]string
	zoneByName  map[string]Zone
}

// relayKey is hashed with a VM's name to give its position in the tree.
const relayKey = "relay"

// NewTree builds the tree of the given VMs without those in excluded.
func NewTree(vms []VM, excluded map[string]bool) Tree {
	t := Tree{namesByZone: map[Zone][]string{}, zoneByName: map[string]Zone{}}
	for _, v := range vms {
		if excluded[v.Name] {
			continue
		}
		t.namesByZone[v.Zone] = append(t.namesByZone[v.Zone], v.Name)
		t.zoneByName[v.Name] = v.Zone
	}
	for _, names := range t.namesByZone {
		slices.SortFunc(names, func(a, b string) int { return compareRelayOrder(a, b) })
	}
	return t
}

func compareRelayOrder(a, b string) int {
	x, y := rendezvousScore(a, relayKey), rendezvousScore(b, relayKey)
	switch {
	case x > y:
		return -1
	case x < y:
		return 1
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Parent returns the VM that relays for name, or "" if name is a root. A VM of the
// given zone that is not in the tree is served by the zone's root, or by the first
// root by name if the zone has none, or by none ("") if the tree is empty.
func (t Tree) Parent(name string, zone Zone) string {
	names := t.namesByZone[zone]
	i := slices.Index(names, name)
	switch {
	case i > 0:
		return names[parentIndex(i)]
	case i == 0:
		return ""
	case len(names) > 0:
		return names[0]
	case len(t.namesByZone) > 0:
		return t.Roots()[0]
	}
	return ""
}

// Children returns the VMs that name relays for.
func (t Tree) Children(name string) []string {
	names := t.namesByZone[t.zoneByName[name]]
	i := slices.Index(names, name)
	if i < 0 {
		return nil
	}
	from, count := 1, RootFanOut
	if i > 0 {
		from, count = 1+RootFanOut+FanOut*(i-1), FanOut
	}
	from = min(from, len(names))
	return names[from:min(from+count, len(names))]
}

// parentIndex returns the index in its zone of the VM that relays for the one at
// index i.
func parentIndex(i int) int {
	if i <= RootFanOut {
		return 0
	}
	return 1 + (i-1-RootFanOut)/FanOut
}

// Roots returns the root of each zone, sorted by name.
func (t Tree) Roots() []string {
	out := make([]string, 0, len(t.namesByZone))
	for _, names := range t.namesByZone {
		out = append(out, names[0])
	}
	slices.Sort(out)
	return out
}

// IsRoot reports whether name is the root of its zone.
func (t Tree) IsRoot(name string) bool {
	names := t.namesByZone[t.zoneByName[name]]
	return len(names) > 0 && names[0] == name
}
