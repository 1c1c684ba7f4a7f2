package logs

import (
	"bufio"
	"bytes"
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// ReportMetrics logs a line with the metrics that have changed, every interval milliseconds
// until the context ends: the increase of a counter, and the value of a gauge. It leaves out
// histograms and the metrics of the runtime. It serves processes whose metrics address cannot
// be reached.
func ReportMetrics(ctx context.Context, c clock.Clock, l *log.Logger, interval clock.Millis) {
	last := map[string]float64{}
	for c.Sleep(ctx, interval) == nil {
		var text bytes.Buffer
		metrics.WritePrometheus(&text, false)
		values := parseMetrics(text.Bytes())
		if fields := metricChanges(last, values); len(fields) > 0 {
			l.Info("metrics", fields...)
		}
		last = values
	}
}

// parseMetrics returns the values of the lines of the Prometheus text format by name and
// labels, without those of histograms.
func parseMetrics(text []byte) map[string]float64 {
	out := map[string]float64{}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		line := lines.Text()
		i := strings.LastIndexByte(line, ' ')
		if i < 0 || line[0] == '#' || strings.Contains(line, "vmrange") {
			continue
		}
		if v, err := strconv.ParseFloat(line[i+1:], 64); err == nil {
			out[line[:i]] = v
		}
	}
	return out
}

// metricChanges returns, in order of name, the names of the metrics that differ, each followed
// by the increase of a counter or the value of a gauge.
func metricChanges(last, values map[string]float64) []any {
	var out []any
	for _, name := range slices.Sorted(maps.Keys(values)) {
		v := values[name]
		if v == last[name] {
			continue
		}
		plain, _, _ := strings.Cut(name, "{")
		if strings.HasSuffix(plain, "_total") {
			v -= last[name]
		}
		out = append(out, strings.TrimPrefix(name, "sycamoredoor_"), v)
	}
	return out
}
