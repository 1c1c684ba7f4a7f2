// Package statement defines the requests of callers and the answers of backend
// servers, independent of any wire protocol. The protocols of callers and of backend
// servers are decoded into these types and encoded from them.
package statement

import (
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// Kind is what a statement does.
type Kind int

// The kinds of statement.
const (
	// Malformed is text that cannot be parsed as a statement.
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
	// Set sets a setting of the session.
	Set
	// Prepare defines a prepared statement.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate drops a prepared statement.
	Deallocate
)

// Statement is one request of a caller. It is an immutable value.
type Statement struct {
	// ID identifies the request; it is passed on to the backend server.
	ID   string
	Kind Kind
	// Text is the statement as the caller wrote it.
	Text string
	// Name is the name of the setting or the prepared statement.
	Name string
	// Value is the value of the setting.
	Value string
	// Shape is what a prepared statement runs.
	Shape Shape
	// Arguments is the text of an Execute after the name.
	Arguments string
}

// Shape identifies what a prepared statement runs.
type Shape struct {
	IsWrite bool
	Text    string
}

// Execution is a run of a prepared statement. The zero value is none.
type Execution struct {
	Shape     Shape
	Arguments string
}

// IsZero reports whether there is no execution. A shape always has a text.
func (e Execution) IsZero() bool { return e.Shape.Text == "" }

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

// Code is why a statement did not succeed, or Success.
type Code int

// The codes. Those from Busy to TooManyConnections promise that nothing of what the
// caller tried is kept; the others promise only what their comment says.
// PromisesNoEffect relies on their order.
const (
	// Success means that the statement succeeded.
	Success Code = iota
	// Busy means that the server had no capacity or the proxy refused the statement for
	// now; it did not run.
	Busy
	// Aborted means that the transaction was rolled back.
	Aborted
	// ReplicaBehind means that the server has not applied the position that a read
	// needs.
	ReplicaBehind
	// ReadOnly means that the server is not the primary.
	ReadOnly
	// Misrouted means that the address belongs to another server than the named one.
	Misrouted
	// TooManyConnections means that the server accepts no more connections.
	TooManyConnections
	// UnknownOutcome means that the result of a write was not received.
	UnknownOutcome
	// Timeout means that a statement did not end within its time.
	Timeout
	// Failed means that the server ran the statement without success.
	Failed
	// NotPrepared means that the server does not know the prepared statement; it did
	// not run.
	NotPrepared
	// UnknownDatabase means that no route has the name that the caller gave as database.
	UnknownDatabase
	// Denied means that the key is not known.
	Denied
	// Invalid means that the text is no statement, or one that is not allowed in the
	// state of the session.
	Invalid
	// Other is a code of the server that is passed on as it came.
	Other
)

// codeNames holds the names of the codes in logs and metrics.
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

// PromisesNoEffect reports whether the code promises the caller that nothing is kept.
func (c Code) PromisesNoEffect() bool { return c >= Busy && c <= TooManyConnections }

// Answer is the answer to a statement. It is an immutable value.
type Answer struct {
	// Rows are the rows as the server sent them.
	Rows []string
	// Signature is the server's signature of a successful answer; it is "-" when the
	// proxy itself answers.
	Signature string
	// Code is Success and Detail empty when the statement succeeded.
	Code   Code
	Detail string
	// RawCode is the code as the server sent it when Code is Other.
	RawCode string
	Status  Status
	// Position is the position of the server's log after the statement; it is zero
	// when the answer has none.
	Position floor.ReplicationPosition
}

// LocalSuccess returns the answer to a statement that the proxy itself carried out.
func LocalSuccess(s Status) Answer { return Answer{Signature: "-", Status: s} }

// Refuse returns an answer with a code other than Success.
func Refuse(c Code, detail string, s Status) Answer {
	return Answer{Code: c, Detail: detail, Status: s}
}

// WithStatus returns the answer with another state of the session.
func (a Answer) WithStatus(s Status) Answer {
	a.Status = s
	return a
}

// ReplicationStatus is what a backend server reports of its role in its database
// group.
type ReplicationStatus struct {
	// Primary is set when the server considers itself the primary.
	Primary bool
	// Term is the term of its log, and Sealed the highest term below which it has
	// promised to accept nothing; they are equal unless the server is sealed.
	Term   floor.Term
	Sealed floor.Term
	// Received is the position of the end of its log.
	Received floor.ReplicationPosition
	// Lag is its replication lag in applying the log, in milliseconds.
	Lag int64
	// Running is the number of statements that run, and Connections the number of
	// connections, both over all VMs.
	Running     int
	Connections int
}
