package backend

import (
	"strconv"
	"strings"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// stateColumns are the columns of group_state. proto/backend.ParseState reads them
// by position, so their order must stay.
var stateColumns = []string{"term", "role", "leader", "logterm", "logposition", "term_applied", "position_applied", "lag", "contact"}

// groupState runs group_state, which reports the server's role, term and
// positions. The columns lag and contact are the times since caughtUpTime and
// contactTime, in milliseconds.
func (c *session) groupState([]string) (result, error) {
	s := c.server
	applied, last := s.appliedPosition(), s.lastPosition()
	now := s.group.options.Clock.Now()
	lag, contact := now-s.caughtUpTime, now-s.contactTime
	row := []string{
		formatUint(uint64(s.term)), string(s.role), s.leader,
		formatUint(uint64(last.Term)), formatUint(uint64(last.Position)),
		formatUint(uint64(applied.Term)), formatUint(uint64(applied.Position)), strconv.FormatInt(int64(lag), 10), strconv.FormatInt(int64(contact), 10),
	}
	return result{columns: stateColumns, rows: [][]string{row}, commandTag: "SELECT 1"}, nil
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

// parseTerm parses a term. It returns 0 if s is not a number.
func parseTerm(s string) floor.Term {
	n, _ := strconv.ParseUint(s, 10, 64)
	return floor.Term(n)
}

// groupSeal moves the server to a new term, in which only one claimant can promote it.
// args holds the term and the claimant. From then on the server accepts no replication,
// commit or seal of a lower term, and no seal of the same term for another claimant.
// The answer is the position of the last record in the log: the claimant promotes the
// server with the highest one. A seal repeated by the same claimant changes nothing.
func (c *session) groupSeal(args []string) (result, error) {
	s, term, claimant := c.server, parseTerm(args[0]), args[1]
	if term < s.term || term == s.term && s.claimant != claimant {
		return result{}, &sqlError{code: "55000", message: "term " + formatUint(uint64(s.term)) + " is sealed for " + strconv.Quote(s.claimant)}
	}
	if term > s.term {
		s.terminateWriters(c)
		s.term, s.claimant, s.role, s.leader = term, claimant, roleSealed, ""
		s.group.changed.Broadcast()
	}
	return singleRow("mark", s.lastPosition().String()), nil
}

// groupPromote makes the server the primary of the term that it was sealed for. args
// holds the term and the claimant. It fails if the server was sealed for another
// claimant or its term is another one, and changes nothing if it is the primary already.
func (c *session) groupPromote(args []string) (result, error) {
	s, term, claimant := c.server, parseTerm(args[0]), args[1]
	if s.term != term || s.claimant != claimant {
		return result{}, &sqlError{code: "55000", message: "the server is not sealed for this claimant and term"}
	}
	if s.role != rolePrimary {
		s.role, s.leader = rolePrimary, s.name
		s.startTerm()
		s.group.replicate()
	}
	return singleRow("mark", s.lastPosition().String()), nil
}

// groupFollow makes the server a replica of the primary of a term. args holds the
// term and the primary's name. It fails for a lower term than the server's, on the named
// server itself and on a primary of the same term.
func (c *session) groupFollow(args []string) (result, error) {
	s, term, leader := c.server, parseTerm(args[0]), args[1]
	if term < s.term || leader == s.name || s.role == rolePrimary && term == s.term {
		return result{}, &sqlError{code: "55000", message: "the server is at term " + formatUint(uint64(s.term))}
	}
	s.terminateWriters(c)
	s.term, s.leader, s.role = term, leader, roleReplica
	s.group.replicate()
	return singleRow("mark", s.lastPosition().String()), nil
}

func (c *session) tryAdvisoryLock(args []string) (result, error) {
	key, _ := strconv.ParseInt(args[0], 10, 64)
	owner := c.server.advisoryLocks[key]
	if owner != nil && owner != c {
		return singleRow("pg_try_advisory_lock", "f"), nil
	}
	c.server.advisoryLocks[key] = c
	return singleRow("pg_try_advisory_lock", "t"), nil
}

func (c *session) unlockAllAdvisory([]string) (result, error) {
	c.releaseAdvisoryLocks()
	return singleRow("pg_advisory_unlock_all", ""), nil
}

func (c *session) releaseAdvisoryLocks() {
	for k, owner := range c.server.advisoryLocks {
		if owner == c {
			delete(c.server.advisoryLocks, k)
		}
	}
}

// advisoryLockOwner returns the process ID of the session that holds a lock, or no row.
func (c *session) advisoryLockOwner(args []string) (result, error) {
	key, _ := strconv.ParseInt(args[0], 10, 64)
	if owner := c.server.advisoryLocks[key]; owner != nil {
		return singleRow("pid", formatUint(uint64(owner.pid))), nil
	}
	return result{columns: []string{"pid"}, commandTag: "SELECT 0"}, nil
}

// applicationName returns the application_name in the startup message of the session
// whose process ID is args[0], or no row.
func (c *session) applicationName(args []string) (result, error) {
	pid, _ := strconv.ParseUint(args[0], 10, 32)
	if other := c.server.sessions[uint32(pid)]; other != nil {
		return singleRow("application_name", other.startupParameters["application_name"]), nil
	}
	return result{columns: []string{"application_name"}, commandTag: "SELECT 0"}, nil
}

func (c *session) terminateBackend(args []string) (result, error) {
	pid, _ := strconv.ParseUint(args[0], 10, 32)
	other := c.server.sessions[uint32(pid)]
	if other == nil {
		return singleRow("pg_terminate_backend", "f"), nil
	}
	other.terminateSession()
	return singleRow("pg_terminate_backend", "t"), nil
}

// terminateByApplicationName terminates every other session whose application_name
// is args[0] and returns their number.
func (c *session) terminateByApplicationName(args []string) (result, error) {
	n := 0
	for _, other := range c.server.sessions {
		if other != c && other.settings["application_name"] == args[0] {
			other.terminateSession()
			n++
		}
	}
	return singleRow("count", strconv.Itoa(n)), nil
}

func (c *session) set(args []string) (result, error) {
	c.settings[strings.ToLower(args[0])] = args[1]
	return result{commandTag: "SET"}, nil
}

func (c *session) reset(args []string) (result, error) {
	delete(c.settings, strings.ToLower(args[0]))
	return result{commandTag: "RESET"}, nil
}

func (c *session) resetAll([]string) (result, error) {
	c.settings = c.initialSettings()
	return result{commandTag: "RESET"}, nil
}

func (c *session) show(args []string) (result, error) {
	return singleRow(args[0], c.settings[strings.ToLower(args[0])]), nil
}

func (c *session) discardAll([]string) (result, error) {
	c.settings = c.initialSettings()
	c.preparedStatements = map[string]preparedStatement{}
	c.releaseAdvisoryLocks()
	return result{commandTag: "DISCARD ALL"}, nil
}

func (c *session) deallocateAll([]string) (result, error) {
	c.preparedStatements = map[string]preparedStatement{}
	return result{commandTag: "DEALLOCATE ALL"}, nil
}
