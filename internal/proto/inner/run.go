package inner

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

// Run asks the holder of an account's connections to run one statement. The first
// one on a stream takes a connection, which stays taken until the stream ends or a
// statement with Last set leaves no transaction open.
type Run struct {
	_ struct{} `cbor:",toarray"`
	// Group, Server, Account and Weight say which connection is wanted; they are
	// left out once it is taken.
	Group   string
	Server  string
	Account string
	Weight  int
	// RequirePrimary is set when the server must be the confirmed primary.
	RequirePrimary bool
	// Wait is how long the holder may wait for a connection, and Timeout for the
	// answer, in milliseconds.
	Wait    clock.Millis
	Timeout clock.Millis
	// Values and Shapes are what the server's session must have first.
	Values map[string]string
	Shapes []Shape
	// AcquireOnly asks for the connection alone; the statement follows once it is taken.
	AcquireOnly bool
	ID          string
	Text        string
	// Term and Position are the floor, 0 when there is none.
	Term     floor.Term
	Position floor.Position
	// Commits is set when success means that something was written for good.
	Commits bool
	Last    bool
	// Parent is the W3C traceparent of the sender's span, or "".
	Parent string
}

// Shape is a prepared statement that a Run refers to.
type Shape struct {
	_      struct{} `cbor:",toarray"`
	Writes bool
	Text   string
}

// UnsentReason says why a statement was not sent to the backend server.
type UnsentReason uint8

// The reasons of a Result.
const (
	// ReasonNone: it was sent.
	ReasonNone UnsentReason = iota
	// ReasonWait: no connection came free in time.
	ReasonPoolTimeout
	// ReasonCrowded: the server takes no more connections.
	ReasonTooManyConnections
	// ReasonUnreachable: the holder cannot reach the server.
	ReasonUnreachable
	// ReasonGone: the holder does not know the server.
	ReasonUnlisted
	// ReasonLeaderless: the holder cannot confirm that the server is the primary.
	ReasonNoPrimary
	// ReasonStopping: the holder is to stop.
	ReasonStopping
	// ReasonSetup: the server's session could not be given what it must have.
	ReasonSessionSetup
)

// Result answers a Run.
type Result struct {
	_ struct{} `cbor:",toarray"`
	// UnsentReason is why the statement was not sent, and Lost set when its end was not seen.
	UnsentReason   UnsentReason
	OutcomeUnknown bool
	// The rest is the server's answer.
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
