// Package trace records a span for each hop of a request with OpenTelemetry. A
// request that is not sampled costs one random number at the entry proxy and
// nothing after it.
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

// The places that spans go to.
const (
	ExporterNone   = "none"
	ExporterStdout = "stdout"
	ExporterOTLP   = "otlp"
)

// The names of the spans.
const (
	// EntrySpan is a request at the entry proxy, from its first byte to its answer.
	EntrySpan = "entry"
	// HopSpan is one attempt at the holder of a backend server.
	HopSpan = "hop"
	// QueueSpan is the wait at the holder for the floor, a connection and a slot.
	QueueSpan = "queue"
	// BackendSpan is a batch of statements at the backend server.
	BackendSpan = "backend"
)

// traceparentHeader is the name of the W3C header.
const traceparentHeader = "traceparent"

// Options makes a tracer.
type Options struct {
	// VM names the VM in its spans.
	VM string
	// Exporter is one of the To constants.
	Exporter string
	// URL is the collector's, for otlp.
	URL string
	// SampleRatio is the part of requests that are traced when the caller did not decide.
	SampleRatio float64
}

// Tracer starts spans. A nil Tracer starts none.
type Tracer struct {
	provider    *sdk.TracerProvider
	tracer      otrace.Tracer
	sampleRatio float64
}

// New returns a tracer, which is nil when spans go nowhere.
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
		err = errors.Errorf("unknown place %q: use none, stdout or otlp", o.Exporter)
	}
	if err != nil {
		return nil, errors.Wrap(err, "trace")
	}
	exportErrors := metrics.GetOrCreateCounter("tracefaults")
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(error) { exportErrors.Inc() }))
	return NewWithProcessor(sdk.NewBatchSpanProcessor(exporter), o), nil
}

// NewWithProcessor returns a tracer whose spans go to a processor.
func NewWithProcessor(p sdk.SpanProcessor, o Options) *Tracer {
	r := resource.NewSchemaless(attribute.String("service.name", "sycamoredoor"), attribute.String("vm", o.VM))
	provider := sdk.NewTracerProvider(sdk.WithSpanProcessor(p), sdk.WithResource(r), sdk.WithSampler(sdk.AlwaysSample()))
	return &Tracer{provider: provider, tracer: provider.Tracer("sycamoredoor"), sampleRatio: o.SampleRatio}
}

// Close sends what is left and stops the tracer.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// StartRoot starts the first span of a request. A traceparent of the caller decides
// whether it is recorded; without one the share of the settings does.
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

// StartChild starts a span below the one with the given traceparent, which is empty
// when the request is not recorded.
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

func parentContext(traceparent string) context.Context {
	return propagation.TraceContext{}.Extract(context.Background(), propagation.MapCarrier{traceparentHeader: traceparent})
}
