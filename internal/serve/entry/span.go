package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/trace"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// runTraced runs the request within the entry span and records the request's
// latency.
func (r *request) runTraced(ctx context.Context) error {
	span := r.session.entry.options.Trace.StartRoot(r.hint.Parent, trace.EntrySpan)
	// A request that is not recorded here passes on the caller's traceparent.
	if r.traceparent = span.Traceparent(); r.traceparent == "" {
		r.traceparent = r.hint.Parent
	}
	start := time.Now()
	err := r.run(ctx)
	r.session.entry.counters.observeLatency(r.route.Kind, start)
	span.End(r.spanAttributes("", err))
	return err
}

// attemptTraced makes one attempt within a hop span, a child of the entry span.
func (r *request) attemptTraced(ctx context.Context, server document.Server) error {
	span := r.session.entry.options.Trace.StartChild(r.traceparent, trace.HopSpan)
	if r.attemptTraceparent = span.Traceparent(); r.attemptTraceparent == "" {
		r.attemptTraceparent = r.traceparent
	}
	err := r.attempt(ctx, server)
	span.End(r.spanAttributes(server.Name, err))
	return err
}

// spanAttributes returns the attributes of a span that ended with err. The server
// is empty for the entry span; an error that is no outcome means that the caller
// was lost.
func (r *request) spanAttributes(server string, err error) trace.Attributes {
	a := trace.Attributes{
		Account: r.session.account, Route: r.route.Name, Database: r.database.Name, Server: server, Outcome: "lost",
	}
	var refusal *outcome.NotRun
	var unknown *outcome.Unknown
	switch {
	case err == nil:
		a.Outcome = "ran"
	case errors.As(err, &refusal):
		a.Outcome, a.Reason = "notrun", string(refusal.Reason)
	case errors.As(err, &unknown):
		a.Outcome = "unknown"
	}
	return a
}
