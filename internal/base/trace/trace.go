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
	ToNone   = "none"
	ToStdout = "stdout"
	ToOTLP   = "otlp"
)

// The names of the spans.
const (
	// Entry is a request at the entry proxy, from its first byte to its answer.
	Entry = "entry"
	// Hop is one attempt at the holder of a backend server.
	Hop = "hop"
	// Queue is the wait at the holder for the floor, a connection and a slot.
	Queue = "queue"
	// Backend is a batch of statements at the backend server.
	Backend = "backend"
)

// parentField is the name of the W3C header.
const parentField = "traceparent"

// Options makes a tracer.
type Options struct {
	// VM names the VM in its spans.
	VM string
	// To is one of the To constants.
	To string
	// URL is the collector's, for otlp.
	URL string
	// Share is the part of requests that are traced when the caller did not decide.
	Share float64
}

// Tracer starts spans. A nil Tracer starts none.
type Tracer struct {
	provider *sdk.TracerProvider
	tracer   otrace.Tracer
	share    float64
}

// New returns a tracer, which is nil when spans go nowhere.
func New(ctx context.Context, o Options, out io.Writer) (*Tracer, error) {
	var exporter sdk.SpanExporter
	var err error
	switch o.To {
	case "", ToNone:
		return nil, nil
	case ToStdout:
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(out))
	case ToOTLP:
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(o.URL))
	default:
		err = errors.Errorf("unknown place %q: use none, stdout or otlp", o.To)
	}
	if err != nil {
		return nil, errors.Wrap(err, "trace")
	}
	faults := metrics.GetOrCreateCounter("tracefaults")
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(error) { faults.Inc() }))
	return With(sdk.NewBatchSpanProcessor(exporter), o), nil
}

// With returns a tracer whose spans go to a processor.
func With(p sdk.SpanProcessor, o Options) *Tracer {
	r := resource.NewSchemaless(attribute.String("service.name", "sycamoredoor"), attribute.String("vm", o.VM))
	provider := sdk.NewTracerProvider(sdk.WithSpanProcessor(p), sdk.WithResource(r), sdk.WithSampler(sdk.AlwaysSample()))
	return &Tracer{provider: provider, tracer: provider.Tracer("sycamoredoor"), share: o.Share}
}

// Close sends what is left and stops the tracer.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// Root starts the first span of a request. A traceparent of the caller decides
// whether it is recorded; without one the share of the settings does.
func (t *Tracer) Root(parent, name string) Span {
	if t == nil {
		return Span{}
	}
	ctx := context.Background()
	if parent != "" {
		ctx = extract(parent)
	}
	c := otrace.SpanContextFromContext(ctx)
	if c.IsValid() && !c.IsSampled() || !c.IsValid() && rand.Float64() >= t.share {
		return Span{}
	}
	return t.start(ctx, name)
}

// Child starts a span below the one with the given traceparent, which is empty
// when the request is not recorded.
func (t *Tracer) Child(parent, name string) Span {
	if t == nil || parent == "" {
		return Span{}
	}
	ctx := extract(parent)
	if !otrace.SpanContextFromContext(ctx).IsSampled() {
		return Span{}
	}
	return t.start(ctx, name)
}

func (t *Tracer) start(ctx context.Context, name string) Span {
	_, s := t.tracer.Start(ctx, name)
	return Span{span: s}
}

func extract(parent string) context.Context {
	return propagation.TraceContext{}.Extract(context.Background(), propagation.MapCarrier{parentField: parent})
}
