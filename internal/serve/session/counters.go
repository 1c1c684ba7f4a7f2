package session

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

// Counters are those of all sessions of a VM.
type Counters struct {
	opened  *metrics.Counter
	expired *metrics.Counter
	refused [statement.Other + 1]*metrics.Counter
}

// NewCounters registers the counters.
func NewCounters() Counters {
	c := Counters{
		opened:  metrics.GetOrCreateCounter("sycamoredoor_sessions_opened_total"),
		expired: metrics.GetOrCreateCounter("sycamoredoor_transactions_expired_total"),
	}
	for i := range c.refused {
		c.refused[i] = metrics.GetOrCreateCounter(fmt.Sprintf(`sycamoredoor_statements_refused_total{code="%d"}`, i))
	}
	return c
}

func (c Counters) refuse(code statement.Code) {
	if c.refused[code] != nil {
		c.refused[code].Inc()
	}
}
