package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/trace"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// traced runs the request within the span of the entry proxy and measures it.
func (r *request) traced(ctx context.Context) error {
	span := r.session.entry.options.Trace.Root(r.hint.Parent, trace.Entry)
	if r.parent = span.Parent(); r.parent == "" {
		r.parent = r.hint.Parent
	}
	start := time.Now()
	err := r.run(ctx)
	r.session.entry.counters.observe(r.route.Kind, start)
	span.End(r.attributes("", err))
	return err
}

// hop makes one attempt within a span of its own.
func (r *request) hop(ctx context.Context, server document.Server) error {
	span := r.session.entry.options.Trace.Child(r.parent, trace.Hop)
	if r.inner = span.Parent(); r.inner == "" {
		r.inner = r.parent
	}
	err := r.attempt(ctx, server)
	span.End(r.attributes(server.Name, err))
	return err
}

func (r *request) attributes(server string, err error) trace.Attributes {
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
