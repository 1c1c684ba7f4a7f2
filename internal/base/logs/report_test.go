package logs

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestMetricChanges checks that counters are reported by their increase and gauges by their value.
func TestMetricChanges(t *testing.T) {
	last := parseMetrics([]byte("a_total{for=\"x\"} 3\nb 7\nc_total 1\n"))
	values := parseMetrics([]byte("# HELP a_total\na_total{for=\"x\"} 5\nb 6\nc_total 1\nd_bucket{vmrange=\"1...2\"} 4\n"))
	want := []any{`a_total{for="x"}`, 2.0, "b", 6.0}
	if diff := cmp.Diff(want, metricChanges(last, values)); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}
