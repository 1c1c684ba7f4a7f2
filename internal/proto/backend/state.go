package backend

import (
	"fmt"
	"strconv"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// Role is the role of a backend server in its database group.
type Role string

// The roles.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	// RoleSealed is a server that accepts no writes until it learns of a new primary.
	RoleSealed Role = "sealed"
)

// State is the result of the platform's SQL function group_state.
type State struct {
	// Term is the highest term that the server knows.
	Term floor.Term
	Role Role
	// Leader names the primary of Term; it is empty when none is known.
	Leader string
	// LastPosition is the end of the server's log.
	LastPosition floor.ReplicationPosition
	// Applied is the position that reads see.
	Applied floor.ReplicationPosition
	// Lag is the replication lag: the time since reads last saw everything that
	// the primary had, in milliseconds.
	Lag clock.Millis
	// ContactAge is the time since the server last communicated with the primary,
	// in milliseconds. It may be short while Lag is long.
	ContactAge clock.Millis
}

// StateQuery is the query for the state of a server. Its nine columns are Term, Role,
// Leader, the term and position of LastPosition, the term and position of Applied, Lag
// and ContactAge.
const StateQuery = "SELECT * FROM group_state()"

const stateColumnCount = 9

// StateError reports an answer to StateQuery that cannot be parsed.
type StateError struct{ Detail string }

// Error implements error.
func (e *StateError) Error() string { return "state of the backend server: " + e.Detail }

// ParseState parses the first row of an answer to StateQuery. An error is a
// *StateError.
func ParseState(rows [][]string) (State, error) {
	if len(rows) == 0 || len(rows[0]) < stateColumnCount {
		return State{}, &StateError{Detail: "no row of nine columns"}
	}
	r := rows[0]
	numbers := [7]uint64{}
	for i, column := range []int{0, 3, 4, 5, 6, 7, 8} {
		n, err := strconv.ParseUint(r[column], 10, 63)
		if err != nil {
			return State{}, &StateError{Detail: fmt.Sprintf("column %d: %q is no number", column+1, r[column])}
		}
		numbers[i] = n
	}
	return State{
		Term: floor.Term(numbers[0]), Role: Role(r[1]), Leader: r[2],
		LastPosition: floor.ReplicationPosition{Term: floor.Term(numbers[1]), Position: floor.Position(numbers[2])},
		Applied:      floor.ReplicationPosition{Term: floor.Term(numbers[3]), Position: floor.Position(numbers[4])},
		Lag:          clock.Millis(numbers[5]), ContactAge: clock.Millis(numbers[6]),
	}, nil
}
