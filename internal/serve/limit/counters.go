package limit

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sycamoredoor/sycamoredoor/internal/base/label"
)

// maxLabelledAccounts is the number of accounts that get counters with a label
// of their own; all others share one pair of counters.
const maxLabelledAccounts = 1000

// counters holds the metrics of a limiter.
type counters struct {
	vm string
	// waits counts statements that waited for a token, renewals the requests with
	// reports to the owners of accounts.
	waits    *metrics.Counter
	renewals *metrics.Counter
	// accountCount is the number of accounts with counters, with a label or not.
	accountCount atomic.Int64
	accounts     accountCounterCache
}

func newCounters(vm string) *counters {
	return &counters{
		vm:       vm,
		waits:    metrics.GetOrCreateCounter(fmt.Sprintf("held{vm=%s}", label.Quote(vm))),
		renewals: metrics.GetOrCreateCounter(fmt.Sprintf("fetch{vm=%s}", label.Quote(vm))),
	}
}

func (c *counters) countGranted(account string) { c.accounts.get(c, account).granted.Inc() }

func (c *counters) countRefused(account string) { c.accounts.get(c, account).refused.Inc() }

// accountCounters counts the granted and the refused statements of one account,
// or of all accounts beyond maxLabelledAccounts.
type accountCounters struct {
	granted *metrics.Counter
	refused *metrics.Counter
}

// create returns new counters for an account, or the shared ones.
func (c *counters) create(account string) accountCounters {
	accountLabel := ""
	if c.accountCount.Add(1) <= maxLabelledAccounts {
		accountLabel = ",account=" + label.Quote(account)
	}
	return accountCounters{
		granted: metrics.GetOrCreateCounter(fmt.Sprintf("granted{vm=%s%s}", label.Quote(c.vm), accountLabel)),
		refused: metrics.GetOrCreateCounter(fmt.Sprintf("limited{vm=%s%s}", label.Quote(c.vm), accountLabel)),
	}
}
