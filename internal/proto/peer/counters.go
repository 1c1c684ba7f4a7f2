package peer

import "github.com/VictoriaMetrics/metrics"

// counters counts the handshakes with other VMs, which cost processor time on both sides.
type counters struct {
	opened   *metrics.Counter
	failed   *metrics.Counter
	accepted *metrics.Counter
}

// newCounters registers the counters.
func newCounters() counters {
	return counters{
		opened:   metrics.GetOrCreateCounter(`handshakes{side="dialed",result="opened"}`),
		failed:   metrics.GetOrCreateCounter(`handshakes{side="dialed",result="failed"}`),
		accepted: metrics.GetOrCreateCounter(`handshakes{side="accepted",result="opened"}`),
	}
}

// dialed counts a dial that ended with err.
func (c counters) dialed(err error) {
	if err != nil {
		c.failed.Inc()
		return
	}
	c.opened.Inc()
}
