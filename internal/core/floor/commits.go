package floor

import "maps"

// Commits holds the position of a session's last commit in each database group. Every group
// has its own log, so positions of different groups cannot be compared. The zero value has
// no commit. It is immutable.
type Commits struct {
	byGroup map[string]ReplicationPosition
}

// With records a commit at position p of a group's log.
func (c Commits) With(group string, p ReplicationPosition) Commits {
	out := maps.Clone(c.byGroup)
	if out == nil {
		out = map[string]ReplicationPosition{}
	}
	out[group] = out[group].Max(p)
	return Commits{byGroup: out}
}

// In returns the position of the last commit in a group, or a zero position if there is none.
func (c Commits) In(group string) ReplicationPosition { return c.byGroup[group] }
