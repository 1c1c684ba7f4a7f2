package system

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/sycamoredoor/sycamoredoor/internal/base/trace"
)

// TestOneTraceThroughTwoVMs sends a write with the caller's traceparent through each
// VM and expects one connected trace with a span for each stage. At most one of the VMs
// is the holder, so some writes pass through two VMs. No attribute of a span may be the
// written value or the account's key.
func TestOneTraceThroughTwoVMs(t *testing.T) {
	const (
		id     = "0af7651916cd43dd8448eb211c80319c"
		parent = "b7ad6b7169203331"
		insert = "INSERT INTO box (id, v) VALUES ('7', 'plum') ON CONFLICT (id) DO UPDATE SET v = EXCLUDED.v /*route='box',traceparent='00-" + id + "-" + parent + "-01'*/"
	)
	spans := tracetest.NewInMemoryExporter()
	s := startSystem(t, func(o *Options) { o.Trace = trace.NewWithProcessor(sdk.NewSimpleSpanProcessor(spans), trace.Options{}) })
	for i := range s.VMs {
		spans.Reset()
		if _, err := connect(t, s, i, nil).Exec(t.Context(), insert); err != nil {
			t.Fatal(err)
		}
		end := time.Now().Add(Timeout.Duration())
		for len(spans.GetSpans()) < 4 && time.Now().Before(end) {
			time.Sleep(time.Millisecond)
		}
		if diff := cmp.Diff([]string{"backend < hop", "entry < caller", "hop < entry", "queue < hop"}, parentEdges(spans.GetSpans(), id, parent)); diff != "" {
			t.Errorf("VM %d: spans (-want +got):\n%s", i, diff)
		}
		for _, span := range spans.GetSpans() {
			for _, a := range span.Attributes {
				if v := a.Value.AsString(); v == "plum" || v == "jelly" {
					t.Errorf("span %s has an attribute with the value %s", span.Name, v)
				}
			}
		}
	}
}

// parentEdges lists each span of a trace as "name < parent", sorted.
func parentEdges(spans tracetest.SpanStubs, id, caller string) []string {
	names := map[string]string{caller: "caller"}
	for _, s := range spans {
		names[s.SpanContext.SpanID().String()] = s.Name
	}
	var out []string
	for _, s := range spans {
		if s.SpanContext.TraceID().String() == id {
			out = append(out, s.Name+" < "+names[s.Parent.SpanID().String()])
		}
	}
	slices.Sort(out)
	return out
}
