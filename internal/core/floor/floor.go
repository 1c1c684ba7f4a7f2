// Package floor holds the order of changes in a database group and the lowest
// state that a session may read.
package floor

import "fmt"

// Term counts the primaries of a group; it grows by at least one with each change of primary.
type Term uint64

// Position is a place in the log of one group, in log records.
type Position uint64

// Mark is a state of a group: the position and the term in which it was written.
type Mark struct {
	Term     Term     `cbor:"term" json:"term"`
	Position Position `cbor:"position" json:"position"`
}

// Covers reports whether a server at m has everything up to o. A later term
// begins with everything acknowledged in the earlier ones, so terms compare first.
func (m Mark) Covers(o Mark) bool {
	if m.Term != o.Term {
		return m.Term > o.Term
	}
	return m.Position >= o.Position
}

// Max returns the later of the two marks.
func (m Mark) Max(o Mark) Mark {
	if m.Covers(o) {
		return m
	}
	return o
}

// IsZero reports whether m asks for nothing.
func (m Mark) IsZero() bool { return m == Mark{} }

// String formats m as term/position.
func (m Mark) String() string { return fmt.Sprintf("%d/%d", m.Term, m.Position) }
