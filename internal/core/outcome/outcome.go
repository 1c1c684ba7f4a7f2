// Package outcome tells what became of a request. The three kinds are types of
// their own, so that no code can take one for another.
package outcome

import "fmt"

// SQLSTATE codes that the proxy itself answers with.
const (
	// CodeUnknown is transaction_resolution_unknown.
	CodeUnknown = "08007"
	// CodeUnavailable is connection_failure before anything was sent.
	CodeUnavailable = "08006"
	// CodeTimeout is query_canceled, used when the deadline passed in a queue.
	CodeTimeout = "57014"
	// CodeCrowded is too_many_connections, used when a queue is full.
	CodeCrowded = "53300"
	// CodeLimit is configuration_limit_exceeded, used when an account is over its rate.
	CodeLimit = "53400"
	// CodeUnsupported is feature_not_supported.
	CodeUnsupported = "0A000"
	// CodeDenied is insufficient_privilege.
	CodeDenied = "42501"
	// CodeShutdown is admin_shutdown.
	CodeShutdown = "57P01"
	// CodeReadOnly is read_only_sql_transaction.
	CodeReadOnly = "25006"
	// CodeProtocol is protocol_violation.
	CodeProtocol = "08P01"
	// CodeParameter is invalid_parameter_value.
	CodeParameter = "22023"
	// CodeDuplicate is unique_violation, used for a repeat whose first outcome is known.
	CodeDuplicate = "23505"
)

// Reason says why a request was not run, for metrics labels and retries.
type Reason string

// Reasons for not running a request.
const (
	// ReasonBehind means the replica did not reach the floor in time.
	ReasonBehind Reason = "behind"
	// ReasonPrimary means the server is not the primary of the newest term.
	ReasonPrimary Reason = "primary"
	// ReasonHolder means the VM does not hold the server.
	ReasonHolder Reason = "holder"
	// ReasonServer means the backend server cannot be reached.
	ReasonServer Reason = "server"
	// ReasonVM means the holder's VM cannot be reached.
	ReasonVM Reason = "vm"
	// ReasonDeadline means the deadline passed before the request was sent.
	ReasonDeadline Reason = "deadline"
	// ReasonCrowded means the account's queue is full.
	ReasonCrowded Reason = "crowded"
	// ReasonLimit means the account is over its rate.
	ReasonLimit Reason = "limit"
	// ReasonLeaving means the VM or server is leaving.
	ReasonLeaving Reason = "leaving"
	// ReasonDenied means the account or key may not run the request.
	ReasonDenied Reason = "denied"
	// ReasonUnconfirmed means the VM cannot confirm that its configuration is in force.
	ReasonUnconfirmed Reason = "unconfirmed"
	// ReasonRoute means the request names no usable route.
	ReasonRoute Reason = "route"
	// ReasonRequest means the request itself is malformed or unsupported.
	ReasonRequest Reason = "request"
)

// NotRun is a truthful refusal: nothing of the request reached a backend server.
type NotRun struct {
	Reason Reason
	Code   string
	Detail string
}

// Error implements error.
func (e *NotRun) Error() string { return "not run: " + e.Detail }

// Retryable reports whether another server or a later moment may run the request.
func (e *NotRun) Retryable() bool {
	switch e.Reason {
	case ReasonBehind, ReasonPrimary, ReasonHolder, ReasonServer, ReasonVM, ReasonLeaving:
		return true
	}
	return false
}

// Refuse builds a NotRun with a formatted detail.
func Refuse(reason Reason, code, format string, args ...any) *NotRun {
	return &NotRun{Reason: reason, Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Failed is the backend server's own refusal: it ran the request and rolled it back.
type Failed struct {
	Code   string
	Detail string
}

// Error implements error.
func (e *Failed) Error() string { return "failed: " + e.Detail + " (SQLSTATE " + e.Code + ")" }

// Unknown means the request reached a backend server and its end was not seen.
type Unknown struct {
	Detail string
}

// Error implements error.
func (e *Unknown) Error() string { return "outcome unknown: " + e.Detail }
