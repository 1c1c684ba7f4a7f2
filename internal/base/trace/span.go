package trace

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	otrace "go.opentelemetry.io/otel/trace"
)

// Attributes describe a span; empty ones are omitted. Spans are exported, so attributes
// must never contain a client account's key or the text of a statement.
type Attributes struct {
	Account  string
	Route    string
	Database string
	Server   string
	// Outcome is "ran", "notrun", "unknown", or "lost" after any other error, such as the
	// loss of the caller or of a connection.
	Outcome string
	// Reason is why a request was not run. If Outcome is "lost", Reason is the error or
	// empty.
	Reason string
}

// Span is one step of a request. The zero value is a span that is not recorded.
type Span struct{ span otrace.Span }

// Traceparent returns the W3C traceparent for children of this span, or "" if the
// request is not recorded.
func (s Span) Traceparent() string {
	if s.span == nil {
		return ""
	}
	c := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(otrace.ContextWithSpan(context.Background(), s.span), c)
	return c[traceparentHeader]
}

// End sets the attributes and ends the span.
func (s Span) End(a Attributes) {
	if s.span == nil {
		return
	}
	for _, f := range [...]struct{ name, value string }{
		{"account", a.Account},
		{"route", a.Route},
		{"database", a.Database},
		{"server", a.Server},
		{"outcome", a.Outcome},
		{"reason", a.Reason},
	} {
		if f.value != "" {
			s.span.SetAttributes(attribute.String(f.name, f.value))
		}
	}
	s.span.End()
}
