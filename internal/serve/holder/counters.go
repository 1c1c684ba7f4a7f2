package holder

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// counters are the metrics of the holder of one server.
type counters struct {
	// queue is the number of requests that wait for a slot and a connection.
	queue *metrics.Gauge
	// open is the number of connections, without the control connection.
	open *metrics.Gauge
	// wait and run are in seconds.
	wait *metrics.Histogram
	run  *metrics.Histogram
}

func newCounters(server string) *counters {
	name := func(metric string) string { return fmt.Sprintf("%s{server=%q}", metric, server) }
	return &counters{
		queue: metrics.GetOrCreateGauge(name("queue"), nil),
		open:  metrics.GetOrCreateGauge(name("open"), nil),
		wait:  metrics.GetOrCreateHistogram(name("wait")),
		run:   metrics.GetOrCreateHistogram(name("run")),
	}
}

func (c *counters) set(queue, open int) {
	c.queue.Set(float64(queue))
	c.open.Set(float64(open))
}

func (c *counters) waited(m clock.Millis) { c.wait.Update(m.Duration().Seconds()) }

func (c *counters) ran(m clock.Millis) { c.run.Update(m.Duration().Seconds()) }
