// Package floor holds the order of changes in a database group and the lowest
// state that a session may read.
package floor

import "fmt"

// Term counts the primaries of a group; it grows by at least one with each change of primary.
type Term uint64

// Position is a place in the log of one group, in log records.
type Position uint64

// ReplicationPosition is a state of a group: the position and the term in which it was written.
type ReplicationPosition struct {
	Term     Term     `cbor:"term" json:"term"`
	Position Position `cbor:"position" json:"position"`
}

// Covers reports whether a server at m has everything up to o. A later term
// begins with everything acknowledged in the earlier ones, so terms compare first.
func (m ReplicationPosition) Covers(o ReplicationPosition) bool {
	if m.Term != o.Term {
		return m.Term > o.Term
	}
	return m.Position >= o.Position
}

// Max returns the later of the two marks.
func (m ReplicationPosition) Max(o ReplicationPosition) ReplicationPosition {
	if m.Covers(o) {
		return m
	}
	return o
}

// IsZero reports whether m asks for nothing.
func (m ReplicationPosition) IsZero() bool { return m == ReplicationPosition{} }

// String formats m as term/position.
func (m ReplicationPosition) String() string { return fmt.Sprintf("%d/%d", m.Term, m.Position) }
