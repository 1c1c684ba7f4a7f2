package gossip

import "github.com/sycamoredoor/sycamoredoor/internal/proto/inner"

// fixedFieldsSize is an upper bound of the encoded size of a message without its texts,
// usages and views, in bytes.
const fixedFieldsSize = 120

// splitMessage splits a message of this VM by its views and usages, so that each part fits
// into a datagram: there may be any number of groups and accounts. Only the first part has
// the hash of the directory, and reserved bytes left free.
func (m *Mesh) splitMessage(g inner.Gossip, reserved int) []inner.Gossip {
	self := m.options.Self
	budget := m.options.MaxDatagram - fixedFieldsSize - len(self.Name) - len(self.Address) - len(self.Zone) - len(self.Region)
	part := g
	part.Views, part.Usages = nil, nil
	var out []inner.Gossip
	left := budget - reserved
	// reserve begins a new part if an item of this size does not fit into the present one.
	reserve := func(size int) {
		if size > left && len(part.Views)+len(part.Usages) > 0 {
			out = append(out, part)
			part, left = inner.Gossip{Version: g.Version, VersionAge: g.VersionAge, Scope: g.Scope, Covered: g.Covered, Known: g.Known}, budget
		}
		left -= size
	}
	for _, v := range g.Views {
		reserve(viewSize(v))
		part.Views = append(part.Views, v)
	}
	for _, u := range g.Usages {
		reserve(usageSize(u))
		part.Usages = append(part.Usages, u)
	}
	return append(out, part)
}

// viewSize returns the encoded size of a view in bytes, or slightly more.
func viewSize(v inner.GroupView) int {
	const arrayAndFlags = 4
	return arrayAndFlags + textSize(v.Group) + uintSize(uint64(v.Term)) + textSize(v.Leader) + intSize(int64(v.ProofAge)) +
		uintSize(uint64(v.PositionTerm)) + uintSize(uint64(v.Position)) + intSize(int64(v.PositionAge)) + uintSize(v.ReleasedToken) +
		uintSize(uint64(v.AcknowledgedTerm)) + uintSize(uint64(v.Acknowledged))
}

// usageSize returns the encoded size of a usage in bytes, or slightly more.
func usageSize(u inner.Usage) int {
	const arrayAndFloats = 1 + 2*5
	return arrayAndFloats + textSize(u.Account) + uintSize(u.Spent)
}

// textSize returns the encoded size of a text of at most 65,535 bytes.
func textSize(s string) int { return uintSize(uint64(len(s))) + len(s) }

// intSize returns the encoded size of a number, which CBOR stores as the number itself or as
// -1 minus it.
func intSize(n int64) int {
	if n < 0 {
		n = -1 - n
	}
	return uintSize(uint64(n))
}

// uintSize returns the encoded size of an unsigned number.
func uintSize(n uint64) int {
	switch {
	case n < 24:
		return 1
	case n <= 0xff:
		return 2
	case n <= 0xffff:
		return 3
	case n <= 0xffffffff:
		return 5
	}
	return 9
}
