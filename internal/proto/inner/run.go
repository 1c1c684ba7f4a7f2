package inner

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

// Run asks the VM that holds an account's connections to run one statement. A Run on a
// stream without a connection acquires one. The connection is released after the answer
// to a Run with ReleaseAfter set. It is closed when the stream ends, or after a Result
// with an UnsentReason or OutcomeUnknown.
type Run struct {
	_ struct{} `cbor:",toarray"`
	// Group, Server, Account and Weight select the connection; they are omitted
	// once it is acquired.
	Group   string
	Server  string
	Account string
	Weight  int
	// RequirePrimary is set when the server must be confirmed as the primary.
	RequirePrimary bool
	// Wait bounds the holder's wait for a connection, and Timeout the whole Run,
	// in milliseconds.
	Wait    clock.Millis
	Timeout clock.Millis
	// Settings holds the settings by name that the session at the server must have before
	// the statement runs.
	Settings map[string]string
	// Execution is set in place of Text to run a prepared statement.
	Execution *Execution
	// AcquireOnly asks for the connection alone; the statement follows in the next Run.
	AcquireOnly bool
	// ID is the request ID that is passed on to the server with Text.
	ID   string
	Text string
	// Term and Position are the floor, the replication position that the server must
	// have applied; 0 when there is none.
	Term     floor.Term
	Position floor.Position
	// IsCommit is set when a successful answer means that a write was committed.
	IsCommit bool
	// ReleaseAfter asks the holder to release the connection after the answer, unless
	// a transaction is open then.
	ReleaseAfter bool
	// Parent is the W3C traceparent of the sender's span, or "".
	Parent string
	// Priority is the urgency of the request among those of its account, 0 being the most urgent;
	// it is omitted like Weight.
	Priority int
}

// Execution is a run of a prepared statement. The holder names it at the server.
type Execution struct {
	_ struct{} `cbor:",toarray"`
	// IsWrite is set when the statement is a write. Shape is what was prepared.
	IsWrite   bool
	Shape     string
	Arguments string
}

// ExecutionOf returns the message for an execution, or nil for none.
func ExecutionOf(e statement.Execution) *Execution {
	if e.IsZero() {
		return nil
	}
	return &Execution{IsWrite: e.Shape.IsWrite, Shape: e.Shape.Text, Arguments: e.Arguments}
}

// Statement returns the execution, which is zero for nil.
func (e *Execution) Statement() statement.Execution {
	if e == nil {
		return statement.Execution{}
	}
	return statement.Execution{Shape: statement.Shape{IsWrite: e.IsWrite, Text: e.Shape}, Arguments: e.Arguments}
}

// UnsentReason is the reason why a statement was not sent to the backend server.
type UnsentReason uint8

// The reasons of a Result.
const (
	// ReasonNone means that the statement was sent, or that a Run with AcquireOnly
	// set acquired the connection.
	ReasonNone UnsentReason = iota
	// ReasonPoolTimeout means that no connection became available in time.
	ReasonPoolTimeout
	// ReasonTooManyConnections means that the server accepts no more connections.
	ReasonTooManyConnections
	// ReasonUnreachable means that the holder cannot reach the server.
	ReasonUnreachable
	// ReasonUnknownServer means that the holder does not know the server.
	ReasonUnknownServer
	// ReasonNoPrimary means that the holder cannot confirm the server as the primary.
	ReasonNoPrimary
	// ReasonStopping means that the holder is stopping.
	ReasonStopping
	// ReasonSessionSetup means that the session's settings could not be set, or the
	// statement not be prepared, at the server.
	ReasonSessionSetup
	// ReasonEvacuated means that the server's availability zone is evacuated.
	ReasonEvacuated
)

// Result answers a Run.
type Result struct {
	_ struct{} `cbor:",toarray"`
	// UnsentReason is the reason why the statement was not sent, or ReasonNone.
	UnsentReason UnsentReason
	// OutcomeUnknown is set when the statement may have been sent and no answer came.
	OutcomeUnknown bool
	// The remaining fields are the server's answer; see statement.Answer.
	Rows      []string
	Signature string
	Code      statement.Code
	Detail    string
	RawCode   string
	Status    statement.Status
	Term      floor.Term
	Position  floor.Position
}

// Answer returns the server's answer.
func (r Result) Answer() statement.Answer {
	return statement.Answer{
		Rows: r.Rows, Signature: r.Signature, Code: r.Code, Detail: r.Detail, RawCode: r.RawCode, Status: r.Status,
		Position: floor.ReplicationPosition{Term: r.Term, Position: r.Position},
	}
}

// ResultOf returns the result that carries a server's answer.
func ResultOf(a statement.Answer) Result {
	return Result{
		Rows: a.Rows, Signature: a.Signature, Code: a.Code, Detail: a.Detail, RawCode: a.RawCode, Status: a.Status,
		Term: a.Position.Term, Position: a.Position.Position,
	}
}
