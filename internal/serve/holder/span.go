package holder

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/trace"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

func (t *transaction) span(name string) trace.Span {
	return t.holder.options.Trace.StartChild(t.begin.Parent, name)
}

// admitTraced waits for what the next batch needs within a span of its own.
func (t *transaction) admitTraced() *outcome.NotRun {
	span := t.span(trace.QueueSpan)
	refusal := t.admit()
	a := t.attributes("ran")
	if refusal != nil {
		a.Outcome, a.Reason = "notrun", string(refusal.Reason)
	}
	span.End(a)
	return refusal
}

// executeTraced runs a batch on the server within a span of its own.
func (t *transaction) executeTraced(batch inner.Batch) (*answer, error) {
	span := t.span(trace.BackendSpan)
	out, err := t.execute(batch)
	a := t.attributes("ran")
	if err != nil {
		a.Outcome = "unknown"
	}
	span.End(a)
	return out, err
}

func (t *transaction) attributes(result string) trace.Attributes {
	return trace.Attributes{
		Account: t.begin.Account, Database: t.begin.Database, Server: t.holder.options.Server.Name, Outcome: result,
	}
}
