package trace

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// Values of the traceparent header; they differ only in the sampled flag.
const (
	sampledTraceparent   = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	unsampledTraceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00"
)

// TestSamplingDecision checks that the caller's sampled flag takes precedence over the
// sample ratio, that an invalid traceparent is treated as absent, and that a child
// without a traceparent is not recorded at any ratio.
func TestSamplingDecision(t *testing.T) {
	got := map[string]bool{}
	for ratio, name := range map[float64]string{0: "none", 1: "all"} {
		tracer := NewWithProcessor(sdk.NewSimpleSpanProcessor(tracetest.NewInMemoryExporter()), Options{SampleRatio: ratio})
		for caller, parent := range map[string]string{"sampled": sampledTraceparent, "unsampled": unsampledTraceparent, "absent": "", "broken": "00-broken"} {
			got[name+" "+caller] = tracer.StartRoot(parent, EntrySpan).Traceparent() != ""
		}
		got[name+" child"] = tracer.StartChild("", HopSpan).Traceparent() != ""
	}
	want := map[string]bool{
		"none sampled": true, "none unsampled": false, "none absent": false, "none broken": false, "none child": false,
		"all sampled": true, "all unsampled": false, "all absent": true, "all broken": true, "all child": false,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("recorded (-want +got):\n%s", diff)
	}
}

// TestUnsampledAllocatesNothing checks that an unsampled request allocates nothing.
func TestUnsampledAllocatesNothing(t *testing.T) {
	for name, tracer := range map[string]*Tracer{
		"off": nil, "ratio 0": NewWithProcessor(sdk.NewSimpleSpanProcessor(tracetest.NewInMemoryExporter()), Options{}),
	} {
		n := testing.AllocsPerRun(100, func() {
			s := tracer.StartRoot("", EntrySpan)
			tracer.StartChild(s.Traceparent(), HopSpan).End(Attributes{Account: "a", Outcome: "ran"})
			s.End(Attributes{Route: "r"})
		})
		if n != 0 {
			t.Errorf("%s: %v allocations, want none", name, n)
		}
	}
}

// TestStdout checks that a span written to stdout names its trace, account and VM,
// and that an unknown exporter is refused.
func TestStdout(t *testing.T) {
	var out bytes.Buffer
	tracer, err := New(t.Context(), Options{Exporter: ExporterStdout, VM: "vm1"}, &out)
	if err != nil {
		t.Fatal(err)
	}
	tracer.StartRoot(sampledTraceparent, EntrySpan).End(Attributes{Account: "counter"})
	if err := tracer.Close(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"0af7651916cd43dd8448eb211c80319c", "counter", "vm1"} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("%q is missing in %s", part, out.String())
		}
	}
	if _, err := New(t.Context(), Options{Exporter: "file"}, &out); err == nil {
		t.Error("an unknown exporter was accepted")
	}
}

// BenchmarkUnsampled measures the cost of an unsampled request.
func BenchmarkUnsampled(b *testing.B) {
	tracer := NewWithProcessor(sdk.NewSimpleSpanProcessor(tracetest.NewNoopExporter()), Options{SampleRatio: 0})
	b.ReportAllocs()
	for b.Loop() {
		s := tracer.StartRoot("", EntrySpan)
		tracer.StartChild(s.Traceparent(), HopSpan).End(Attributes{Account: "a"})
		s.End(Attributes{Route: "r"})
	}
}
