package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// The kinds of statement of an ExplainQuery. A transaction goes where its first statement does.
const (
	KindRead      = "read"
	KindWrite     = "write"
	KindBegin     = "begin"
	KindBeginRead = "begin read"
)

// ExplainQuery is the question where a VM would send a statement now.
type ExplainQuery struct {
	Database string `json:"database"`
	// Account is the name of a client account, never a key: the query is part of a URL. It is
	// empty for anonymous callers.
	Account string `json:"account"`
	Kind    string `json:"kind"`
}

// The outcomes of an Explanation.
const (
	// OutcomeSent means that the statement would be sent to Server at once, or would wait in the
	// queue of the VM that holds the connection.
	OutcomeSent = "sent"
	// OutcomeWaits means that it would wait for the condition named in Reason, and be refused if the
	// wait is too long.
	OutcomeWaits = "waits"
	// OutcomeRefused means that it would be refused at once.
	OutcomeRefused = "refused"
)

// Explanation is where a statement would go now, and why. Times are in milliseconds.
type Explanation struct {
	Query ExplainQuery `json:"query"`
	// VM is the VM that was asked, Version that of its configuration.
	VM      string `json:"vm"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Version uint64 `json:"version"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	// Server would run the statement, on a connection of the VM Via. Both are set even if a decision
	// before their choice refuses the statement.
	Server  string       `json:"server,omitempty"`
	Via     string       `json:"via,omitempty"`
	Route   RouteView    `json:"route"`
	Limit   *LimitView   `json:"limit,omitempty"`
	Group   *GroupView   `json:"group,omitempty"`
	Queue   *QueueView   `json:"queue,omitempty"`
	Servers []ServerView `json:"servers"`
	VMs     []HolderView `json:"vms"`
	Notes   []string     `json:"notes,omitempty"`
}

// RouteView is the route of a database as the VM has it.
type RouteView struct {
	Guarantee    string       `json:"guarantee"`
	MaxStaleness clock.Millis `json:"max_staleness_ms"`
	Priority     int          `json:"priority"`
	// TargetLatency is 0 without a target. MaxWait is how long the statement may wait for a server.
	TargetLatency clock.Millis `json:"target_latency_ms"`
	Timeout       clock.Millis `json:"timeout_ms"`
	MaxWait       clock.Millis `json:"max_wait_ms"`
	Group         string       `json:"group"`
	// Regions are those that the route and the account allow together, nil for all.
	Regions []string `json:"regions"`
	// Problem is why the route or the account cannot be served, or "".
	Problem string `json:"problem,omitempty"`
}

// LimitView is the account's limit as the VM sees it.
type LimitView struct {
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Tokens is the estimate of what is left for all VMs, Credit the part of it that this VM may
	// still take in this round, and Share the VM's share, from 0 to 1.
	Tokens float64 `json:"tokens"`
	Credit float64 `json:"credit"`
	Share  float64 `json:"share"`
	// Demand is the rate that callers of this VM asked for, in operations per second.
	Demand   float64 `json:"demand"`
	VMs      int     `json:"vms"`
	Isolated bool    `json:"isolated"`
	// Admits is set if an operation would be admitted now; Probability is below 1 near the limit.
	Admits      bool    `json:"admits"`
	Probability float64 `json:"probability"`
}

// GroupView is the database group as the VM sees it.
type GroupView struct {
	Term    uint64 `json:"term"`
	Primary string `json:"primary"`
	// ProofAge is the age of the proof that Primary is the primary, or -1 without one; LeaseValid
	// is set while it may be used on the VM's own connections.
	ProofAge   clock.Millis `json:"proof_ms"`
	LeaseValid bool         `json:"lease_valid"`
	// Floor is the position that a replica must have for the statement, as term/position; empty if
	// only the primary may run it.
	Floor string `json:"floor,omitempty"`
}

// ServerView is a listed server of the group.
type ServerView struct {
	Server  string `json:"server"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Primary bool   `json:"primary"`
	Leaving bool   `json:"leaving"`
	Chosen  bool   `json:"chosen"`
	Reason  string `json:"reason"`
	// Latency is the average response time; InFlight counts the VM's requests that run at the
	// server or wait for it.
	Latency  float64 `json:"latency_ms"`
	InFlight int     `json:"in_flight"`
	Slots    int     `json:"slots"`
	// Applied is the last known position, as term/position; AppliedAge is -1 without one.
	Applied    string       `json:"applied"`
	AppliedAge clock.Millis `json:"applied_age_ms"`
	// Cost is nil if only the primary may run the statement.
	Cost *CostView `json:"cost,omitempty"`
}

// CostView is the cost of a server for a read, in milliseconds.
type CostView struct {
	Total    float64 `json:"total"`
	Latency  float64 `json:"latency"`
	Distance float64 `json:"distance"`
	Role     float64 `json:"role"`
	Failure  float64 `json:"failure"`
}

// HolderView is a VM that may hold the connection to the chosen server.
type HolderView struct {
	VM     string `json:"vm"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Role is "holder" or "reserve".
	Role   string `json:"role"`
	Chosen bool   `json:"chosen"`
	// Considered is set if it may be chosen.
	Considered bool   `json:"considered"`
	Reason     string `json:"reason"`
	// SuspectedFor and SkippedFor are how long it is still skipped for every server, and for this
	// one.
	SuspectedFor clock.Millis `json:"suspected_ms"`
	SkippedFor   clock.Millis `json:"skipped_ms"`
}

// QueueView is the queue for the chosen server at the VM that was asked.
type QueueView struct {
	Length       int     `json:"length"`
	ExpectedWait float64 `json:"expected_wait_ms"`
	Running      int     `json:"running"`
	Window       int     `json:"window"`
	Open         int     `json:"open"`
	MaxOpen      int     `json:"max_open"`
	// Refusal is why a request is refused at once, or "".
	Refusal string `json:"refusal,omitempty"`
}

// maxExplainQuery is the largest size of the query of a URL, in bytes.
const maxExplainQuery = 2048

// Explain asks the VM where a statement would go now. It sends the VM no statement.
func (c *Client) Explain(ctx context.Context, q ExplainQuery) (Explanation, error) {
	values := url.Values{"database": {q.Database}, "account": {q.Account}, "kind": {q.Kind}}
	var out Explanation
	return out, c.call(ctx, http.MethodGet, "/explain?"+values.Encode(), nil, &out)
}

// ExplainHandler serves GET /explain by a function, whose *ResponseError sets the status. It logs
// nothing, and its errors do not repeat the query, in which a key may have been given by mistake.
func ExplainHandler(explain func(ExplainQuery) (Explanation, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q, err := parseExplainQuery(r.URL.RawQuery)
		var out any
		if err == nil {
			out, err = explain(q)
		}
		status := http.StatusOK
		if err != nil {
			status = http.StatusInternalServerError
			var response *ResponseError
			if errors.As(err, &response) {
				status = response.Status
			}
			out = Problem{Message: err.Error()}
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(out)
	}
}

// parseExplainQuery parses the query of a URL: the parameters database, account and kind, each at
// most once, and no others.
func parseExplainQuery(raw string) (ExplainQuery, error) {
	fail := func(message string) (ExplainQuery, error) {
		return ExplainQuery{}, &ResponseError{Status: http.StatusBadRequest, Message: message}
	}
	if len(raw) > maxExplainQuery {
		return fail("the query is too long")
	}
	values, err := url.ParseQuery(raw)
	if err != nil {
		return fail("the query cannot be parsed")
	}
	q := ExplainQuery{Kind: KindRead}
	for name, given := range values {
		if len(given) > 1 {
			return fail("a parameter is given twice")
		}
		switch name {
		case "database":
			q.Database = given[0]
		case "account":
			q.Account = given[0]
		case "kind":
			q.Kind = given[0]
		default:
			return fail("the parameters are database, account and kind")
		}
	}
	switch q.Kind {
	case KindRead, KindWrite, KindBegin, KindBeginRead:
		return q, nil
	}
	return fail("the kinds are read, write, begin and \"begin read\"")
}
