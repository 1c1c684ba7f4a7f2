// Package database serves the database groups at one VM: it pools connections to
// their backend servers, tracks which server is the primary, chooses where a
// statement runs, and replaces a lost primary.
package database

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/regions"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/memory"
)

// Server is an entry of the directory of backend servers.
type Server struct {
	// ID is the server's key in the directory; a later server at the same address has
	// another ID.
	ID string
	// Group is the name of the database group.
	Group   string
	Address string
	Zone    member.Zone
	Region  string
	// Slots is the number of statements that the server runs at once.
	Slots int
	// Leaving marks a server that is being removed from the group and should get no
	// new work.
	Leaving bool
	// Primary is set if the server reports itself as primary.
	Primary bool
	// Born is the start time of the server in Unix milliseconds, or 0 if unknown. It
	// distinguishes restarts that keep the ID.
	Born int64
	// ColdLeft is how much longer the server stays cold, in milliseconds as of the read of the
	// directory. 0 means that it is warm.
	ColdLeft clock.Millis `json:",omitempty"`
}

// Request is one statement to run on a connection.
type Request struct {
	// Memory is the owner of the bytes of the answer and of copies of the statement, or nil.
	Memory *memory.Owner
	// ID is the ID of the caller's request, or "-" for the proxy's own statements.
	ID string
	// Text is the statement as the server gets it. It is empty if Execution is set: the VM that
	// holds the connection then prepares the shape, if necessary, and composes the text.
	Text      string
	Execution statement.Execution
	// Floor is the position that the server must have reached; a zero position
	// requires nothing.
	Floor floor.ReplicationPosition
	// Timeout bounds the wait for the answer, in milliseconds.
	Timeout clock.Millis
	// IsCommit is set if success means that a write was committed.
	IsCommit bool
	// Parent is the W3C traceparent of the statement's span, or "".
	Parent string
	// Regions are those that the statement may reach. Run compares them with the connection, for
	// the invariant; the connection was chosen by those of the Requester.
	Regions regions.Allowed
	// RegionsFunc returns the same by the configuration in force at the call, for a statement that
	// has waited on the connection. It may be nil.
	RegionsFunc func() regions.Allowed
	// ReleaseAfter is set if the connection is released after the answer, unless a
	// transaction is open then.
	ReleaseAfter bool
}

// Command is a claimant's command to a backend server, or a status query.
type Command int

// The commands.
const (
	// QueryStatus returns the server's status and changes nothing.
	QueryStatus Command = iota
	// Seal makes a replica receive nothing from primaries of a term below the given one.
	Seal
	// Unseal lets a sealed replica receive again.
	Unseal
	// StepDown makes the primary of a term below the given one a replica.
	StepDown
)

// Conn is an open connection to a backend server. The server's protocol implements
// its functions. After an error the connection must be closed, except after a
// *RefusalError of CommandFunc.
type Conn struct {
	// RunFunc runs a statement. An error means that its outcome is unknown, but an
	// *UnsendableError that nothing was sent, and memory.ErrShort that the answer came whole and
	// that its rows were dropped; the connection is then as after an answer.
	RunFunc func(r Request) (statement.Answer, error)
	// PrepareFunc prepares a statement under a name of one word, DeallocateFunc drops it. The
	// errors are *RefusalErrors if the server refused, and *UnsendableErrors.
	PrepareFunc    func(name string, s statement.Shape, timeout clock.Millis) error
	DeallocateFunc func(name string, timeout clock.Millis) error
	// SetFunc sets a session setting.
	SetFunc func(name, value string, timeout clock.Millis) error
	// ResetFunc drops the session's settings and prepared statements.
	ResetFunc func(timeout clock.Millis) error
	// CommandFunc runs a claimant's command or a status query. The error is a
	// *RefusalError if the server refused.
	CommandFunc func(c Command, term floor.Term, timeout clock.Millis) (statement.ReplicationStatus, error)
	CloseFunc   func()
}

// Protocol opens connections to backend servers.
type Protocol struct {
	// DialFunc connects for an account and returns the server's log position. The
	// error is a *RefusalError if the server refused the connection.
	DialFunc func(ctx context.Context, s Server, account string) (*Conn, floor.ReplicationPosition, error)
	// ExecuteFunc returns the statement text that executes a prepared statement.
	ExecuteFunc func(name, arguments string) string
	// MaxShapeSize is the size of the longest shape that can be prepared under any name, in
	// bytes; 0 means without limit.
	MaxShapeSize int
	// ParseFunc returns what a server reads from a statement text.
	ParseFunc func(text string) statement.Statement
	// RollbackFunc returns the statement text that rolls back a transaction.
	RollbackFunc func() string
}

// RefusalError is a server's refusal of a connection or a command.
type RefusalError struct {
	Code   statement.Code
	Detail string
	// RawCode is the code as the server sent it when Code is statement.Other.
	RawCode string
	// Status is the state of the server's session afterwards, or 0 if it is not known.
	Status statement.Status
}

// Error implements error.
func (e *RefusalError) Error() string { return "the backend server refused: " + e.Detail }

// UnsendableError means that a statement is no message of the server's protocol. Nothing of it was
// sent, and the connection is as before.
type UnsendableError struct{ Detail string }

// Error implements error.
func (e *UnsendableError) Error() string { return e.Detail }
