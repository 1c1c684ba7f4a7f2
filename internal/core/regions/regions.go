// Package regions holds the regions that a statement may reach. It addresses data that must
// not leave a jurisdiction: without the constraint a read goes to whichever server is
// cheapest, and through whichever VM holds the connections.
package regions

import (
	"slices"
	"strings"
)

// Allowed is a set of regions. The zero value allows all of them. It is immutable.
type Allowed struct {
	// names is nil if all regions are allowed. The pointer keeps copies of the value small,
	// which are made for each statement.
	names *[]string
}

// Only returns the constraint to the named regions. An empty list allows all regions.
func Only(names []string) Allowed {
	if len(names) == 0 {
		return Allowed{}
	}
	out := slices.Clone(names)
	slices.Sort(out)
	out = slices.Compact(out)
	return Allowed{names: &out}
}

// IsAll reports whether all regions are allowed.
func (a Allowed) IsAll() bool { return a.names == nil }

// Contains reports whether a region is allowed. An empty region, which is that of an unknown
// zone, is allowed only if all are.
func (a Allowed) Contains(region string) bool {
	return a.names == nil || region != "" && slices.Contains(*a.names, region)
}

// Intersect returns the regions that both values allow; there may be none. It allocates only if
// both are constrained.
func (a Allowed) Intersect(b Allowed) Allowed {
	switch {
	case a.names == nil:
		return b
	case b.names == nil || a.names == b.names:
		return a
	}
	both := slices.DeleteFunc(slices.Clone(*a.names), func(n string) bool { return !slices.Contains(*b.names, n) })
	return Allowed{names: &both}
}

// Names returns the allowed regions in order, or nil if all are allowed. The caller must not
// change them.
func (a Allowed) Names() []string {
	if a.names == nil {
		return nil
	}
	return *a.names
}

// Equal reports whether both values allow the same regions.
func (a Allowed) Equal(b Allowed) bool {
	return a.IsAll() == b.IsAll() && slices.Equal(a.Names(), b.Names())
}

// String returns the regions for messages.
func (a Allowed) String() string {
	if a.names == nil {
		return "all"
	}
	return "[" + strings.Join(*a.names, " ") + "]"
}
