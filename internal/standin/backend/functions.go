package backend

import (
	"strconv"
	"strings"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

var stateColumns = []string{"term", "role", "leader", "logterm", "logposition", "term_applied", "position_applied", "lag", "contact"}

// groupState answers what the platform's function group_state answers.
func (c *session) groupState([]string) (result, error) {
	s := c.server
	applied, last := s.appliedMark(), s.lastMark()
	now := s.group.options.Clock.Now()
	lag, contact := now-s.level, now-s.touched
	row := []string{
		number(uint64(s.term)), string(s.role), s.leader,
		number(uint64(last.Term)), number(uint64(last.Position)),
		number(uint64(applied.Term)), number(uint64(applied.Position)), strconv.FormatInt(int64(lag), 10), strconv.FormatInt(int64(contact), 10),
	}
	return result{columns: stateColumns, rows: [][]string{row}, tag: "SELECT 1"}, nil
}

func number(n uint64) string { return strconv.FormatUint(n, 10) }

func termOf(s string) floor.Term {
	n, _ := strconv.ParseUint(s, 10, 64)
	return floor.Term(n)
}

// groupSeal moves the server to a new term for one claimant. From then on it
// takes no replication, commit or seal of a lower term.
func (c *session) groupSeal(args []string) (result, error) {
	s, term, claimant := c.server, termOf(args[0]), args[1]
	if term < s.term || term == s.term && s.claimant != claimant {
		return result{}, &sqlError{code: "55000", message: "term " + number(uint64(s.term)) + " is sealed for " + strconv.Quote(s.claimant)}
	}
	if term > s.term {
		s.demote(c)
		s.term, s.claimant, s.role, s.leader = term, claimant, roleSealed, ""
		s.group.changed.Broadcast()
	}
	return one("mark", s.lastMark().String()), nil
}

// groupPromote makes the server the primary of the term that it was sealed for.
func (c *session) groupPromote(args []string) (result, error) {
	s, term, claimant := c.server, termOf(args[0]), args[1]
	if s.term != term || s.claimant != claimant {
		return result{}, &sqlError{code: "55000", message: "the server is not sealed for this claimant and term"}
	}
	if s.role != rolePrimary {
		s.role, s.leader = rolePrimary, s.name
		s.startTerm()
		s.group.replicate()
	}
	return one("mark", s.lastMark().String()), nil
}

// groupFollow makes the server a replica of the primary of a term.
func (c *session) groupFollow(args []string) (result, error) {
	s, term, leader := c.server, termOf(args[0]), args[1]
	if term < s.term || leader == s.name || s.role == rolePrimary && term == s.term {
		return result{}, &sqlError{code: "55000", message: "the server is at term " + number(uint64(s.term))}
	}
	s.demote(c)
	s.term, s.leader, s.role = term, leader, roleReplica
	s.group.replicate()
	return one("mark", s.lastMark().String()), nil
}

func (c *session) advisoryLock(args []string) (result, error) {
	key, _ := strconv.ParseInt(args[0], 10, 64)
	owner := c.server.advisory[key]
	if owner != nil && owner != c {
		return one("pg_try_advisory_lock", "f"), nil
	}
	c.server.advisory[key] = c
	return one("pg_try_advisory_lock", "t"), nil
}

func (c *session) advisoryUnlock([]string) (result, error) {
	c.dropAdvisory()
	return one("pg_advisory_unlock_all", ""), nil
}

func (c *session) dropAdvisory() {
	for k, owner := range c.server.advisory {
		if owner == c {
			delete(c.server.advisory, k)
		}
	}
}

func (c *session) advisoryHolder(args []string) (result, error) {
	key, _ := strconv.ParseInt(args[0], 10, 64)
	if owner := c.server.advisory[key]; owner != nil {
		return one("pid", number(uint64(owner.pid))), nil
	}
	return result{columns: []string{"pid"}, tag: "SELECT 0"}, nil
}

func (c *session) applicationName(args []string) (result, error) {
	pid, _ := strconv.ParseUint(args[0], 10, 32)
	if other := c.server.sessions[uint32(pid)]; other != nil {
		return one("application_name", other.startup["application_name"]), nil
	}
	return result{columns: []string{"application_name"}, tag: "SELECT 0"}, nil
}

func (c *session) terminate(args []string) (result, error) {
	pid, _ := strconv.ParseUint(args[0], 10, 32)
	other := c.server.sessions[uint32(pid)]
	if other == nil {
		return one("pg_terminate_backend", "f"), nil
	}
	other.kill()
	return one("pg_terminate_backend", "t"), nil
}

func (c *session) terminateNamed(args []string) (result, error) {
	n := 0
	for _, other := range c.server.sessions {
		if other != c && other.settings["application_name"] == args[0] {
			other.kill()
			n++
		}
	}
	return one("count", strconv.Itoa(n)), nil
}

func (c *session) set(args []string) (result, error) {
	c.settings[strings.ToLower(args[0])] = args[1]
	return result{tag: "SET"}, nil
}

func (c *session) reset(args []string) (result, error) {
	delete(c.settings, strings.ToLower(args[0]))
	return result{tag: "RESET"}, nil
}

func (c *session) resetAll([]string) (result, error) {
	c.settings = c.startSettings()
	return result{tag: "RESET"}, nil
}

func (c *session) show(args []string) (result, error) {
	return one(args[0], c.settings[strings.ToLower(args[0])]), nil
}

func (c *session) discardAll([]string) (result, error) {
	c.settings = c.startSettings()
	c.prepared = map[string]prepared{}
	c.dropAdvisory()
	return result{tag: "DISCARD ALL"}, nil
}

func (c *session) deallocateAll([]string) (result, error) {
	c.prepared = map[string]prepared{}
	return result{tag: "DEALLOCATE ALL"}, nil
}
