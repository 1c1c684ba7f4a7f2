package database

import (
	"math/rand/v2"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/label"
	"github.com/sycamoredoor/sycamoredoor/internal/core/window"
)

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
