// Package statement is what callers ask of a database and what backend servers
// answer, apart from any wire protocol. Protocols of callers and of backend
// servers are decoded into these types once and encoded from them.
package statement

import (
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// Kind says what a statement does.
type Kind int

// The kinds of statement.
const (
	// Malformed is a text that is no statement.
	Malformed Kind = iota
	// Begin opens a transaction that may write.
	Begin
	// BeginReadOnly opens a transaction that only reads.
	BeginReadOnly
	// Commit ends a transaction and keeps its writes.
	Commit
	// Rollback ends a transaction and drops its writes.
	Rollback
	// Read reads one item.
	Read
	// Write writes one item.
	Write
	// Set gives a session value.
	Set
	// Prepare names a statement.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate drops a prepared statement.
	Deallocate
)

// Statement is one request of a caller. It is never changed.
type Statement struct {
	// ID names the request; it is passed on to the backend server.
	ID   string
	Kind Kind
	// Text is the statement as the caller wrote it.
	Text string
	// Name is that of the session value or the prepared statement.
	Name string
	// Value is that of a session value.
	Value string
	// Shape is what a prepared statement runs.
	Shape Shape
	// Arguments is the rest of an Execute behind the name.
	Arguments string
}

// Shape identifies what a prepared statement runs.
type Shape struct {
	Writes bool
	Text   string
}

// Status is the state of a session after an answer.
type Status byte

// The states of a session.
const (
	// Idle is outside a transaction.
	Idle Status = 'I'
	// InTransaction is inside a transaction.
	InTransaction Status = 'T'
	// FailedTransaction is inside a transaction that has failed.
	FailedTransaction Status = 'E'
)

// Code says why a statement was not answered with success.
type Code int

// The codes. Those from Busy to Crowded promise that nothing is kept of what the
// caller tried; the others promise nothing but what their comment says.
const (
	// Success is the code of a success.
	Success Code = iota
	// Busy is a refusal for want of room, before the statement ran.
	Busy
	// Aborted says that the transaction was rolled back.
	Aborted
	// ReplicaBehind says that the server lacks the state that a read needs.
	ReplicaBehind
	// ReadOnly says that the server is not the primary.
	ReadOnly
	// Misrouted says that another server than the named one has the address.
	Misrouted
	// TooManyConnections says that the server takes no more connections.
	TooManyConnections
	// UnknownOutcome says that the end of a write was not seen.
	UnknownOutcome
	// Timeout says that the time of a statement was over.
	Timeout
	// Failed says that the server ran the statement without success.
	Failed
	// NotPrepared says that the prepared statement is not known; it did not run.
	NotPrepared
	// UnknownDatabase says that no route has the name of the database.
	UnknownDatabase
	// Denied says that the key is not known.
	Denied
	// Invalid says that the text is no statement, or not one for now.
	Invalid
	// Other is a code of the server that is passed on as it came.
	Other
)

// codeNames are those of the codes in logs and metrics.
var codeNames = [...]string{
	Success: "none", Busy: "busy", Aborted: "aborted", ReplicaBehind: "behind", ReadOnly: "readonly", Misrouted: "misrouted",
	TooManyConnections: "crowded", UnknownOutcome: "unknown", Timeout: "timeout", Failed: "failed", NotPrepared: "unprepared",
	UnknownDatabase: "absent", Denied: "denied", Invalid: "invalid", Other: "other",
}

// String returns the name of the code in logs and metrics.
func (c Code) String() string { return codeNames[c] }

// NotRun reports whether a server that answers with the code has not run the
// statement, so that it may be sent to another.
func (c Code) NotRun() bool {
	switch c {
	case Busy, ReplicaBehind, ReadOnly, Misrouted, TooManyConnections, NotPrepared:
		return true
	}
	return false
}

// PromisesNoEffect reports whether the code tells the caller that nothing is kept.
func (c Code) PromisesNoEffect() bool { return c >= Busy && c <= TooManyConnections }

// Answer is the end of a statement.
type Answer struct {
	// Rows are the rows as the server sent them.
	Rows []string
	// Signature is what the server put on the answer; "-" on one of the proxy's own.
	Signature string
	// Code is None for a success, and Detail then empty.
	Code   Code
	Detail string
	// RawCode is the code as it came, for Other.
	RawCode string
	Status  Status
	// Position is the position of the server's log after the statement; it is zero
	// when the answer has none.
	Position floor.ReplicationPosition
}

// LocalSuccess returns the success that the proxy itself gives to a statement.
func LocalSuccess(s Status) Answer { return Answer{Signature: "-", Status: s} }

// Refuse returns an answer with a code.
func Refuse(c Code, detail string, s Status) Answer {
	return Answer{Code: c, Detail: detail, Status: s}
}

// WithStatus returns the answer with another state of the session.
func (a Answer) WithStatus(s Status) Answer {
	a.Status = s
	return a
}

// ReplicationStatus is what a backend server says of its place in its database group.
type ReplicationStatus struct {
	// Primary is set at a server that takes itself for the primary.
	Primary bool
	// Term is that of its log, and Sealed the highest term that it promised to
	// take nothing below of; they are equal unless it is sealed.
	Term   floor.Term
	Sealed floor.Term
	// Received is the end of its log.
	Received floor.ReplicationPosition
	// Lag is how far it is behind in applying, in milliseconds.
	Lag int64
	// Running and Connections count statements that run and connections of all VMs.
	Running     int
	Connections int
}
