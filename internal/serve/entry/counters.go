package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sycamoredoor/sycamoredoor/internal/base/label"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// counters holds the metrics of an entry proxy.
type counters struct {
	vm              string
	callers         *metrics.Gauge
	reads           *metrics.Counter
	replicaReads    *metrics.Counter
	writes          *metrics.Counter
	retries         *metrics.Counter
	unknownOutcomes *metrics.Counter
	hops            *metrics.Counter
	latency         map[document.RouteKind]*metrics.Histogram
}

func newCounters(vm string) *counters {
	name := func(metric string) string { return metric + "{vm=" + label.Quote(vm) + "}" }
	return &counters{
		vm:              vm,
		callers:         metrics.GetOrCreateGauge(name("callers"), nil),
		reads:           metrics.GetOrCreateCounter(name("reads")),
		replicaReads:    metrics.GetOrCreateCounter(name("replicareads")),
		writes:          metrics.GetOrCreateCounter(name("writes")),
		retries:         metrics.GetOrCreateCounter(name("retries")),
		unknownOutcomes: metrics.GetOrCreateCounter(name("unknown")),
		hops:            metrics.GetOrCreateCounter(name("hops")),
		latency: map[document.RouteKind]*metrics.Histogram{
			document.KindRead:  newLatencyHistogram(vm, document.KindRead),
			document.KindWrite: newLatencyHistogram(vm, document.KindWrite),
		},
	}
}

func newLatencyHistogram(vm string, kind document.RouteKind) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(fmt.Sprintf("latency{vm=%s,kind=%q}", label.Quote(vm), string(kind)))
}

// observeLatency records the latency of a request that began at start.
func (c *counters) observeLatency(kind document.RouteKind, start time.Time) {
	if h := c.latency[kind]; h != nil {
		h.UpdateDuration(start)
	}
}

func (c *counters) countRefused(r outcome.Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf("refused{vm=%s,reason=%q}", label.Quote(c.vm), string(r))).Inc()
}

// Totals counts what an entry proxy has served so far.
type Totals struct {
	Reads           uint64
	ReplicaReads    uint64
	Writes          uint64
	Retries         uint64
	UnknownOutcomes uint64
}

// Totals returns the counts of the entry proxy.
func (e *Entry) Totals() Totals {
	c := e.counters
	return Totals{Reads: c.reads.Get(), ReplicaReads: c.replicaReads.Get(), Writes: c.writes.Get(), Retries: c.retries.Get(), UnknownOutcomes: c.unknownOutcomes.Get()}
}
