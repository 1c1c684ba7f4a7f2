package membership

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/sycamoredoor/sycamoredoor/internal/base/label"
	"github.com/sycamoredoor/sycamoredoor/internal/core/heartbeat"
)

// counters are the metrics of a membership.
type counters struct {
	// messages and bytes count the heartbeats and answers that were sent, and setChanges
	// the member sets that this VM has stored.
	messages   *metrics.Counter
	bytes      *metrics.Counter
	setChanges *metrics.Counter
	// version and accepted are revisions of the configuration record.
	version  *metrics.Gauge
	accepted *metrics.Gauge
	members  *metrics.Gauge
	suspects *metrics.Gauge
}

func newCounters(vm string) counters {
	name := func(metric string) string { return metric + "{vm=" + label.Quote(vm) + "}" }
	return counters{
		messages:   metrics.GetOrCreateCounter(name("beats")),
		bytes:      metrics.GetOrCreateCounter(name("beatbytes")),
		setChanges: metrics.GetOrCreateCounter(name("setchanges")),
		version:    metrics.GetOrCreateGauge(name("version"), nil),
		accepted:   metrics.GetOrCreateGauge(name("accepted"), nil),
		members:    metrics.GetOrCreateGauge(name("members"), nil),
		suspects:   metrics.GetOrCreateGauge(name("suspects"), nil),
	}
}

// observe sets the gauges to the values of a state.
func (c counters) observe(n heartbeat.State) {
	c.version.Set(float64(n.Version()))
	c.accepted.Set(float64(n.AcceptedVersion()))
	c.members.Set(float64(len(n.Members())))
	c.suspects.Set(float64(len(n.Members()) - len(n.Alive())))
}
