// Package outcome defines the errors of a request: it was not run, it failed, or its
// outcome is unknown. Each is a type of its own, so that no code can mistake one for
// another.
package outcome

import "fmt"

// SQLSTATE codes with which the proxy itself answers.
const (
	// CodeUnknown is transaction_resolution_unknown.
	CodeUnknown = "08007"
	// CodeUnavailable is connection_failure, used when nothing was sent.
	CodeUnavailable = "08006"
	// CodeTimeout is query_canceled, used when the deadline passed before the request
	// was sent.
	CodeTimeout = "57014"
	// CodeTooManyConnections is too_many_connections, used when a queue is full or the
	// VM serves too many callers.
	CodeTooManyConnections = "53300"
	// CodeRateLimit is configuration_limit_exceeded, used when an account is over its rate.
	CodeRateLimit = "53400"
	// CodeUnsupported is feature_not_supported.
	CodeUnsupported = "0A000"
	// CodeDenied is insufficient_privilege.
	CodeDenied = "42501"
	// CodeShutdown is admin_shutdown.
	CodeShutdown = "57P01"
	// CodeReadOnly is read_only_sql_transaction.
	CodeReadOnly = "25006"
	// CodeProtocolViolation is protocol_violation.
	CodeProtocolViolation = "08P01"
	// CodeInvalidParameter is invalid_parameter_value.
	CodeInvalidParameter = "22023"
	// CodeDuplicate is unique_violation, used for a repeat whose first outcome is known.
	CodeDuplicate = "23505"
)

// Reason is why a request was not run. It is used as a metrics label and to decide
// on retries.
type Reason string

// Reasons for not running a request.
const (
	// ReasonReplicaBehind means the replica did not reach the floor in time.
	ReasonReplicaBehind Reason = "behind"
	// ReasonNotPrimary means the server is not the primary of the newest term.
	ReasonNotPrimary Reason = "primary"
	// ReasonNotHolder means the VM does not hold the server's connections, gives them
	// up or has lost the server.
	ReasonNotHolder Reason = "holder"
	// ReasonServerUnreachable means the backend server cannot be reached.
	ReasonServerUnreachable Reason = "server"
	// ReasonVMUnreachable means another VM that the request needs, such as the holder
	// or the owner of the account's limit, cannot be reached.
	ReasonVMUnreachable Reason = "vm"
	// ReasonDeadline means the deadline passed before the request was sent.
	ReasonDeadline Reason = "deadline"
	// ReasonQueueFull means the account's queue or another limited resource, such as
	// the memory for batches, is used up.
	ReasonQueueFull Reason = "crowded"
	// ReasonRateLimit means the account is over its rate.
	ReasonRateLimit Reason = "limit"
	// ReasonLeaving means the VM or server is leaving.
	ReasonLeaving Reason = "leaving"
	// ReasonDenied means the account or key may not run the request.
	ReasonDenied Reason = "denied"
	// ReasonUnconfirmed means the VM cannot confirm that its configuration is in force.
	ReasonUnconfirmed Reason = "unconfirmed"
	// ReasonNoRoute means the request names no usable route.
	ReasonNoRoute Reason = "route"
	// ReasonInvalidRequest means the request itself is malformed or unsupported.
	ReasonInvalidRequest Reason = "request"
)

// NotRun means that no part of the request reached a backend server. It must not be
// returned after anything was sent. Code is the SQLSTATE.
type NotRun struct {
	Reason Reason
	Code   string
	Detail string
}

// Error implements error.
func (e *NotRun) Error() string { return "not run: " + e.Detail }

// Retryable reports whether the proxy may retry the request itself, at another server
// or later. Other refusals, such as one for the rate limit, are returned to the caller.
func (e *NotRun) Retryable() bool {
	switch e.Reason {
	case ReasonReplicaBehind, ReasonNotPrimary, ReasonNotHolder, ReasonServerUnreachable, ReasonVMUnreachable, ReasonLeaving:
		return true
	}
	return false
}

// Refuse returns a NotRun whose detail is formatted as by fmt.Sprintf.
func Refuse(reason Reason, code, format string, args ...any) *NotRun {
	return &NotRun{Reason: reason, Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Failed means that the backend server ran the request, reported an error and rolled
// it back. Code is the SQLSTATE.
type Failed struct {
	Code   string
	Detail string
}

// Error implements error.
func (e *Failed) Error() string { return "failed: " + e.Detail + " (SQLSTATE " + e.Code + ")" }

// Unknown means that the request was sent to a backend server and its result was
// not received.
type Unknown struct {
	Detail string
}

// Error implements error.
func (e *Unknown) Error() string { return "outcome unknown: " + e.Detail }
