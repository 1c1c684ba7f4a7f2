// Package floor defines replication positions in a database group and their order. The
// floor of a session is the lowest position that it may read at.
package floor

import "fmt"

// Term numbers the primaries of a group; it grows by at least one with each change
// of primary.
type Term uint64

// Position is a log position in one group, in log records.
type Position uint64

// ReplicationPosition is a state of a group: a log position and the term in which it
// was written.
type ReplicationPosition struct {
	Term     Term     `cbor:"term" json:"term"`
	Position Position `cbor:"position" json:"position"`
}

// Covers reports whether a server at p has every change up to o. A later term
// begins with everything acknowledged in the earlier ones, so terms compare first.
func (p ReplicationPosition) Covers(o ReplicationPosition) bool {
	if p.Term != o.Term {
		return p.Term > o.Term
	}
	return p.Position >= o.Position
}

// Max returns the later of the two positions.
func (p ReplicationPosition) Max(o ReplicationPosition) ReplicationPosition {
	if p.Covers(o) {
		return p
	}
	return o
}

// IsZero reports whether p is zero, which every position covers.
func (p ReplicationPosition) IsZero() bool { return p == ReplicationPosition{} }

// String formats p as term/position.
func (p ReplicationPosition) String() string { return fmt.Sprintf("%d/%d", p.Term, p.Position) }
