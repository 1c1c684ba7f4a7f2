package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// counters are the metrics of an entry proxy.
type counters struct {
	vm       string
	callers  *metrics.Gauge
	reads    *metrics.Counter
	replicas *metrics.Counter
	writes   *metrics.Counter
	retries  *metrics.Counter
	unknown  *metrics.Counter
	hops     *metrics.Counter
	latency  map[document.Kind]*metrics.Histogram
}

func newCounters(vm string) *counters {
	name := func(metric string) string { return fmt.Sprintf("%s{vm=%q}", metric, vm) }
	return &counters{
		vm:       vm,
		callers:  metrics.GetOrCreateGauge(name("callers"), nil),
		reads:    metrics.GetOrCreateCounter(name("reads")),
		replicas: metrics.GetOrCreateCounter(name("replicareads")),
		writes:   metrics.GetOrCreateCounter(name("writes")),
		retries:  metrics.GetOrCreateCounter(name("retries")),
		unknown:  metrics.GetOrCreateCounter(name("unknown")),
		hops:     metrics.GetOrCreateCounter(name("hops")),
		latency: map[document.Kind]*metrics.Histogram{
			document.KindRead:  latency(vm, document.KindRead),
			document.KindWrite: latency(vm, document.KindWrite),
		},
	}
}

func latency(vm string, kind document.Kind) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(fmt.Sprintf("latency{vm=%q,kind=%q}", vm, string(kind)))
}

// observe takes in how long a request took.
func (c *counters) observe(kind document.Kind, start time.Time) {
	if h := c.latency[kind]; h != nil {
		h.UpdateDuration(start)
	}
}

func (c *counters) refused(r outcome.Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf("refused{vm=%q,reason=%q}", c.vm, string(r))).Inc()
}

// Served is what an entry proxy has served so far.
type Served struct {
	Reads    uint64
	Replicas uint64
	Writes   uint64
	Retries  uint64
	Unknown  uint64
}

// Served returns the counters of the entry proxy.
func (e *Entry) Served() Served {
	c := e.counters
	return Served{Reads: c.reads.Get(), Replicas: c.replicas.Get(), Writes: c.writes.Get(), Retries: c.retries.Get(), Unknown: c.unknown.Get()}
}
