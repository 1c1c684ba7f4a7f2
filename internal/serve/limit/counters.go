package limit

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// mostLabelled is the number of accounts that get counters of their own.
const mostLabelled = 1000

// counters are the metrics of a limiter.
type counters struct {
	vm string
	// held counts statements that waited, fetch the questions to owners.
	held     *metrics.Counter
	fetch    *metrics.Counter
	labelled atomic.Int64
	names    accountNames
}

func newCounters(vm string) *counters {
	return &counters{
		vm:    vm,
		held:  metrics.GetOrCreateCounter(fmt.Sprintf("held{vm=%q}", vm)),
		fetch: metrics.GetOrCreateCounter(fmt.Sprintf("fetch{vm=%q}", vm)),
	}
}

func (c *counters) granted(account string) { c.names.get(c, account).granted.Inc() }

func (c *counters) refused(account string) { c.names.get(c, account).limited.Inc() }

// accountCounters are those of one account, or of all beyond mostLabelled.
type accountCounters struct {
	granted *metrics.Counter
	limited *metrics.Counter
}

func (c *counters) make(account string) accountCounters {
	label := ""
	if c.labelled.Add(1) <= mostLabelled {
		label = fmt.Sprintf(",account=%q", account)
	}
	return accountCounters{
		granted: metrics.GetOrCreateCounter(fmt.Sprintf("granted{vm=%q%s}", c.vm, label)),
		limited: metrics.GetOrCreateCounter(fmt.Sprintf("limited{vm=%q%s}", c.vm, label)),
	}
}
