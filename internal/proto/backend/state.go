package backend

import (
	"fmt"
	"strconv"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// Role is what a backend server is in its group.
type Role string

// The roles.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	// RoleSealed is a server that waits for a new primary.
	RoleSealed Role = "sealed"
)

// State is the answer of the platform's function group_state.
type State struct {
	// Term is the highest term the server was told of.
	Term floor.Term
	Role Role
	// Leader names the primary of Term; it is empty when none is known.
	Leader string
	// LastPosition is the end of the server's log.
	LastPosition floor.ReplicationPosition
	// Applied is what reads see.
	Applied floor.ReplicationPosition
	// Lag is the time since reads saw all that the primary had, in milliseconds.
	Lag clock.Millis
	// ContactAge is the time since the server was in touch with the primary, in
	// milliseconds. A server may be in touch and yet far behind in what it applies.
	ContactAge clock.Millis
}

// StateQuery asks for the state of a server.
const StateQuery = "SELECT * FROM group_state()"

const stateColumns = 9

// StateError reports an answer that is no state.
type StateError struct{ Detail string }

// Error implements error.
func (e *StateError) Error() string { return "state of the backend server: " + e.Detail }

// ParseState reads the first row of an answer to StateQuery.
func ParseState(rows [][]string) (State, error) {
	if len(rows) == 0 || len(rows[0]) < stateColumns {
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
