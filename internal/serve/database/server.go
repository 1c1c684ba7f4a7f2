// Package database serves the database groups at one VM: it keeps connections to
// their backend servers, watches which server is the primary, chooses where a
// statement runs, and has a lost primary replaced.
package database

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

// Server is an entry of the directory of backend servers.
type Server struct {
	// ID names one life of a server; another life at the same address has another.
	ID      string
	Group   string
	Address string
	Zone    member.Zone
	Region  string
	// Slots is the number of statements that it runs at once.
	Slots int
	// Leaving marks a server that gets no new work.
	Leaving bool
	// Primary is what the server takes itself for.
	Primary bool
	// Born tells the starts of a server apart that keep one ID.
	Born int64
}

// Request is one statement for a connection.
type Request struct {
	// ID is that of the caller's request, or "-" for one of the proxy's own.
	ID   string
	Text string
	// Floor is what the server must have; a zero mark asks for nothing.
	Floor floor.ReplicationPosition
	// Timeout bounds the wait for the answer, in milliseconds.
	Timeout clock.Millis
	// Commits is set when success means that something was written for good.
	Commits bool
	// Parent is the W3C traceparent of the statement's span, or "".
	Parent string
	// Last is set when the connection is given back after the answer, unless a
	// transaction is open then.
	Last bool
}

// Command is what a claimant tells a backend server.
type Command int

// The orders.
const (
	// QueryStatus asks for the tenure and changes nothing.
	QueryStatus Command = iota
	// Seal makes a replica receive nothing below a term.
	Seal
	// Unseal lets it receive again.
	Unseal
	// StepDown makes the primary of a lower term a replica.
	StepDown
)

// Conn is an open connection to a backend server. Its fields are the seams of
// the server's protocol. After an error it must be closed.
type Conn struct {
	// RunFunc runs a statement. An error means that the end was not seen.
	RunFunc func(r Request) (statement.Answer, error)
	// PrepareFunc names a statement at the server.
	PrepareFunc func(name string, s statement.Shape, timeout clock.Millis) error
	// SetFunc gives a session value.
	SetFunc func(name, value string, timeout clock.Millis) error
	// ResetFunc drops the session's values and prepared statements.
	ResetFunc func(timeout clock.Millis) error
	// CommandFunc carries out an order of a claimant.
	CommandFunc func(o Command, term floor.Term, timeout clock.Millis) (statement.ReplicationStatus, error)
	CloseFunc   func()
}

// Protocol opens connections to backend servers.
type Protocol struct {
	// DialFunc connects for an account. The error is a *RefusalError when the server
	// itself refused.
	DialFunc func(ctx context.Context, s Server, account string) (*Conn, floor.ReplicationPosition, error)
	// ExecuteFunc returns the text that runs a prepared statement by another name.
	ExecuteFunc func(name, arguments string) string
	// RollbackFunc returns the text that ends a transaction without its writes.
	RollbackFunc func() string
}

// RefusalError is a server's refusal of a connection or of an order.
type RefusalError struct {
	Code   statement.Code
	Detail string
}

// Error implements error.
func (e *RefusalError) Error() string { return "the backend server refused: " + e.Detail }
