package database

import (
	"fmt"
	"math/rand/v2"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/label"
	"github.com/sycamoredoor/sycamoredoor/internal/core/window"
)

// startStatement counts a statement; granted is set for the first one after the grant
// of its connection.
func (p *pool) startStatement(granted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
	if granted {
		p.granted--
	}
}

// windowLimits returns what is known of the server.
func (p *pool) windowLimits() window.Limits {
	return window.Limits{Slots: p.entry().Slots, Connections: p.maxConns()}
}

// shrinkWindow reduces the window after a busy answer. The caller holds p.mu.
func (p *pool) shrinkWindow(now clock.Millis) {
	p.setWindow(p.window.WithBusy(p.running, rand.Float64(), now))
}

// setWindow changes the window and its gauge. The caller holds p.mu.
func (p *pool) setWindow(w window.Window) {
	changed := w.Size() != p.window.Size()
	if p.window = w; changed && !p.closed {
		metrics.GetOrCreateGauge(p.windowMetric, nil).Set(float64(w.Size()))
	}
}

// windowMetric returns the name of the gauge of the window for a server.
func windowMetric(server string) string {
	return "sycamoredoor_server_window{server=" + label.Quote(server) + "}"
}

// recordRoundTrip records the time in milliseconds of an answer that needs no slot.
func (p *pool) recordRoundTrip(milliseconds clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.window = p.window.WithRoundTrip(float64(milliseconds), p.group.options.Clock.Now())
}

// waitPriorities is the number of priorities with a histogram of waits of their own; less urgent
// ones share the last.
const waitPriorities = 4

// newQueueWaits returns the histograms of waits by priority.
func newQueueWaits() (out [waitPriorities]*metrics.Histogram) {
	for i := range out {
		out[i] = metrics.GetOrCreateHistogram(fmt.Sprintf("sycamoredoor_server_queue_seconds{priority=\"%d\"}", i))
	}
	return out
}

// recordWait records how long a request waited for a connection, in milliseconds.
func (c *Counters) recordWait(priority int, wait clock.Millis) {
	c.queueWaits[min(max(priority, 0), waitPriorities-1)].Update(wait.Duration().Seconds())
}
