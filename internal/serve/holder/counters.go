package holder

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/label"
)

// counters are the metrics of one server's holder.
type counters struct {
	// queue is the number of requests that wait for a slot and a connection.
	queue *metrics.Gauge
	// open is the number of connections in the pool, including those being
	// dialed; the control connection is not in the pool.
	open *metrics.Gauge
	// waitSeconds is the time that requests waited, runSeconds the run time of
	// batches.
	waitSeconds *metrics.Histogram
	runSeconds  *metrics.Histogram
}

func newCounters(server string) *counters {
	name := func(metric string) string { return metric + "{server=" + label.Quote(server) + "}" }
	return &counters{
		queue:       metrics.GetOrCreateGauge(name("queue"), nil),
		open:        metrics.GetOrCreateGauge(name("open"), nil),
		waitSeconds: metrics.GetOrCreateHistogram(name("wait")),
		runSeconds:  metrics.GetOrCreateHistogram(name("run")),
	}
}

func (c *counters) setGauges(queue, open int) {
	c.queue.Set(float64(queue))
	c.open.Set(float64(open))
}

func (c *counters) observeWait(m clock.Millis) { c.waitSeconds.Update(m.Duration().Seconds()) }

func (c *counters) observeRun(m clock.Millis) { c.runSeconds.Update(m.Duration().Seconds()) }
