package session

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
)

// Counters are the counters shared by all sessions of a VM.
type Counters struct {
	// opened counts the sessions.
	opened *metrics.Counter
	// expired counts the transactions that were rolled back while their caller was idle.
	expired *metrics.Counter
	// refused counts, by code, refused sessions and statements, and errors of servers.
	// It leaves out statements that are malformed or not allowed in the session's state.
	refused [statement.Other + 1]*metrics.Counter
	// regionRefusals counts statements refused because of the allowed regions, by the reason of
	// the database.RegionError.
	regionRefusals map[string]*metrics.Counter
	// servedSeconds and refusedSeconds are the times from a statement to its answer, by
	// whether it succeeded.
	servedSeconds  *metrics.Histogram
	refusedSeconds *metrics.Histogram
}

// NewCounters registers the counters.
func NewCounters() Counters {
	c := Counters{
		opened:  metrics.GetOrCreateCounter("sycamoredoor_sessions_opened_total"),
		expired: metrics.GetOrCreateCounter("sycamoredoor_transactions_expired_total"),
	}
	c.servedSeconds = metrics.GetOrCreateHistogram(`sycamoredoor_statement_seconds{outcome="served"}`)
	c.refusedSeconds = metrics.GetOrCreateHistogram(`sycamoredoor_statement_seconds{outcome="refused"}`)
	c.regionRefusals = map[string]*metrics.Counter{}
	for _, e := range database.RegionErrors {
		c.regionRefusals[e.Reason] = metrics.GetOrCreateCounter(fmt.Sprintf("sycamoredoor_region_refusals_total{reason=%q}", e.Reason))
	}
	for i := range c.refused {
		c.refused[i] = metrics.GetOrCreateCounter(fmt.Sprintf(`sycamoredoor_statements_refused_total{code=%q}`, statement.Code(i)))
	}
	return c
}

// observe records the time to an answer, in milliseconds.
func (c Counters) observe(code statement.Code, elapsed clock.Millis) {
	h := c.servedSeconds
	if code != statement.Success {
		h = c.refusedSeconds
	}
	if h != nil {
		h.Update(elapsed.Duration().Seconds())
	}
}

func (c Counters) countRegionRefusal(reason string) {
	if counter := c.regionRefusals[reason]; counter != nil {
		counter.Inc()
	}
}

func (c Counters) countRefusal(code statement.Code) {
	if c.refused[code] != nil {
		c.refused[code].Inc()
	}
}
