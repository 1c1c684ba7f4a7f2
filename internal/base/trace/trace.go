// Package trace records a span for each hop of a request with OpenTelemetry. A request
// that has no traceparent and is not sampled costs one random number at the entry proxy
// and nothing at later hops.
package trace

import (
	"context"
	"io"
	"math/rand/v2"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	otrace "go.opentelemetry.io/otel/trace"
)

// The exporters of spans.
const (
	ExporterNone   = "none"
	ExporterStdout = "stdout"
	ExporterOTLP   = "otlp"
)

// The names of the spans.
const (
	// EntrySpan covers a request at the entry proxy with all its attempts. It begins
	// after the request has been read and, in package entry, has waited for its account's
	// rate limit.
	EntrySpan = "entry"
	// HopSpan covers one attempt at the holder of a backend server, the VM that owns the
	// connections to it.
	HopSpan = "hop"
	// QueueSpan covers the wait at the holder for a connection and a slot and, in package
	// holder, for the server to reach the session's floor.
	QueueSpan = "queue"
	// BackendSpan covers a statement or a batch of statements at the backend server.
	BackendSpan = "backend"
)

// traceparentHeader is the name of the W3C Trace Context header.
const traceparentHeader = "traceparent"

// Options configures a tracer.
type Options struct {
	// VM is the name of the VM; spans carry it as an attribute.
	VM string
	// Exporter is one of the Exporter constants; empty means ExporterNone.
	Exporter string
	// URL is the address of the collector, for ExporterOTLP.
	URL string
	// SampleRatio is the fraction of requests, from 0 to 1, that are recorded if the
	// caller sends no traceparent.
	SampleRatio float64
}

// Tracer starts spans. A nil Tracer returns spans that are not recorded.
type Tracer struct {
	provider    *sdk.TracerProvider
	tracer      otrace.Tracer
	sampleRatio float64
}

// New returns a tracer, or nil for ExporterNone. The stdout exporter writes to out.
// Errors while exporting spans increment the counter tracefaults.
func New(ctx context.Context, o Options, out io.Writer) (*Tracer, error) {
	var exporter sdk.SpanExporter
	var err error
	switch o.Exporter {
	case "", ExporterNone:
		return nil, nil
	case ExporterStdout:
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(out))
	case ExporterOTLP:
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(o.URL))
	default:
		err = errors.Errorf("unknown trace exporter %q: use none, stdout or otlp", o.Exporter)
	}
	if err != nil {
		return nil, errors.Wrap(err, "trace")
	}
	exportErrors := metrics.GetOrCreateCounter("tracefaults")
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(error) { exportErrors.Inc() }))
	return NewWithProcessor(sdk.NewBatchSpanProcessor(exporter), o), nil
}

// NewWithProcessor returns a tracer that passes its spans to p.
func NewWithProcessor(p sdk.SpanProcessor, o Options) *Tracer {
	r := resource.NewSchemaless(attribute.String("service.name", "sycamoredoor"), attribute.String("vm", o.VM))
	// StartRoot and StartChild start a span only if it is to be recorded.
	provider := sdk.NewTracerProvider(sdk.WithSpanProcessor(p), sdk.WithResource(r), sdk.WithSampler(sdk.AlwaysSample()))
	return &Tracer{provider: provider, tracer: provider.Tracer("sycamoredoor"), sampleRatio: o.SampleRatio}
}

// Close exports the remaining spans and stops the tracer.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// StartRoot starts the first span of a request. The sampled flag of the caller's
// traceparent decides whether the request is recorded; without a valid traceparent
// the sample ratio does.
func (t *Tracer) StartRoot(traceparent, name string) Span {
	if t == nil {
		return Span{}
	}
	ctx := context.Background()
	if traceparent != "" {
		ctx = parentContext(traceparent)
	}
	c := otrace.SpanContextFromContext(ctx)
	if c.IsValid() && !c.IsSampled() || !c.IsValid() && rand.Float64() >= t.sampleRatio {
		return Span{}
	}
	return t.start(ctx, name)
}

// StartChild starts a child of the span with the given traceparent. The child is not
// recorded if the traceparent is invalid, not sampled or empty. Span.Traceparent returns
// an empty one for a span that is not recorded.
func (t *Tracer) StartChild(traceparent, name string) Span {
	if t == nil || traceparent == "" {
		return Span{}
	}
	ctx := parentContext(traceparent)
	if !otrace.SpanContextFromContext(ctx).IsSampled() {
		return Span{}
	}
	return t.start(ctx, name)
}

func (t *Tracer) start(ctx context.Context, name string) Span {
	_, s := t.tracer.Start(ctx, name)
	return Span{span: s}
}

// parentContext returns a context with the span of a traceparent as parent, or without
// one if the traceparent is invalid.
func parentContext(traceparent string) context.Context {
	return propagation.TraceContext{}.Extract(context.Background(), propagation.MapCarrier{traceparentHeader: traceparent})
}
