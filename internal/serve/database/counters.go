package database

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/slowstart"
)

// Counters are the counters shared by all groups of a VM.
type Counters struct {
	connections    *metrics.Counter
	probes         *metrics.Counter
	primaryChanges *metrics.Counter
	// dials counts connections by purpose and result, probeReasons probes by reason.
	dials        map[dialPurpose]map[dialResult]*metrics.Counter
	probeReasons map[probeReason]*metrics.Counter
	claims       *metrics.Counter
	// releases counts the releases of a term, unknownCommits the commits that a server
	// acknowledged and that were not told to a caller as committed, promotionOrders the orders
	// to promote by result.
	releases        *metrics.Counter
	unknownCommits  *metrics.Counter
	promotionOrders map[orderResult]*metrics.Counter
	// prepares counts the statements prepared at servers, evictions those dropped for others.
	prepares  *metrics.Counter
	evictions *metrics.Counter
	// shedRequests counts the waiting requests that were refused for more urgent ones.
	shedRequests *metrics.Counter
	// slowStarts counts the slow starts by reason, slowRefusals the statements that were
	// refused during one by cause, coldStatements those sent to cold servers.
	slowStarts     map[slowstart.Reason]*metrics.Counter
	slowRefusals   map[slowRefusal]*metrics.Counter
	coldStatements *metrics.Counter
	// evacuationRefusals counts the statements that were not sent because the server's zone was
	// evacuated.
	evacuationRefusals *metrics.Counter
	// hopelessRequests counts the waiting requests that were refused because they could not be
	// granted in time.
	hopelessRequests *metrics.Counter
	// queueWaits holds the waiting times of granted requests by priority.
	queueWaits [waitPriorities]*metrics.Histogram
}

// dialPurpose is the purpose of a connection to a server.
type dialPurpose string

// dialResult is the result of opening a connection to a server.
type dialResult string

// slowRefusal is why a statement is refused during a slow start.
type slowRefusal string

// orderResult is how the platform answered an order to promote.
type orderResult string

// probeReason is why the status of a server is queried.
type probeReason string

const (
	// The share of a cold server's limit is used up, or the server does not answer.
	refusedCold slowRefusal = "cold"
	refusedDown slowRefusal = "down"

	dialForStatement dialPurpose = "statement"
	dialForControl   dialPurpose = "control"

	dialOpened  dialResult = "opened"
	dialOverCap dialResult = "overcap"
	dialFailed  dialResult = "failed"

	orderConfirmed  orderResult = "confirmed"
	orderTargetDown orderResult = "targetdown"
	orderUnknown    orderResult = "unknown"

	// No primary is known, its proof is about to expire, or its proof is to be renewed.
	probeNoPrimary probeReason = "noprimary"
	probeExpiring  probeReason = "expiring"
	probeRenewal   probeReason = "renewal"
)

// NewCounters registers the counters.
func NewCounters() Counters {
	dials := map[dialPurpose]map[dialResult]*metrics.Counter{}
	for _, p := range []dialPurpose{dialForStatement, dialForControl} {
		dials[p] = map[dialResult]*metrics.Counter{}
		for _, r := range []dialResult{dialOpened, dialOverCap, dialFailed} {
			dials[p][r] = metrics.GetOrCreateCounter(fmt.Sprintf("sycamoredoor_server_dials_total{for=%q,result=%q}", p, r))
		}
	}
	reasons := map[probeReason]*metrics.Counter{}
	for _, r := range []probeReason{probeNoPrimary, probeExpiring, probeRenewal} {
		reasons[r] = metrics.GetOrCreateCounter(fmt.Sprintf("sycamoredoor_server_probe_reasons_total{reason=%q}", r))
	}
	orders := map[orderResult]*metrics.Counter{}
	for _, r := range []orderResult{orderConfirmed, orderTargetDown, orderUnknown} {
		orders[r] = metrics.GetOrCreateCounter(fmt.Sprintf("sycamoredoor_promotion_orders_total{result=%q}", r))
	}
	starts := map[slowstart.Reason]*metrics.Counter{}
	for _, r := range []slowstart.Reason{slowstart.Listed, slowstart.Restarted, slowstart.Failed, slowstart.Resumed} {
		starts[r] = metrics.GetOrCreateCounter(fmt.Sprintf("sycamoredoor_slow_starts_total{reason=%q}", r))
	}
	refusals := map[slowRefusal]*metrics.Counter{}
	for _, r := range []slowRefusal{refusedCold, refusedDown} {
		refusals[r] = metrics.GetOrCreateCounter(fmt.Sprintf("sycamoredoor_slow_start_refusals_total{cause=%q}", r))
	}
	return Counters{
		slowStarts: starts, slowRefusals: refusals, coldStatements: metrics.GetOrCreateCounter("sycamoredoor_cold_statements_total"),
		prepares:  metrics.GetOrCreateCounter("sycamoredoor_server_prepares_total"),
		evictions: metrics.GetOrCreateCounter("sycamoredoor_server_evictions_total"),
		dials:     dials, probeReasons: reasons, claims: metrics.GetOrCreateCounter("sycamoredoor_claims_total"),
		releases:         metrics.GetOrCreateCounter("sycamoredoor_term_releases_total"),
		queueWaits:       newQueueWaits(),
		hopelessRequests: metrics.GetOrCreateCounter("sycamoredoor_requests_hopeless_total"),
		shedRequests:     metrics.GetOrCreateCounter("sycamoredoor_requests_shed_total"),
		unknownCommits:   metrics.GetOrCreateCounter("sycamoredoor_unknown_commits_total"), promotionOrders: orders,
		connections:    metrics.GetOrCreateCounter("sycamoredoor_server_connections_total"),
		probes:         metrics.GetOrCreateCounter("sycamoredoor_server_probes_total"),
		primaryChanges: metrics.GetOrCreateCounter("sycamoredoor_primary_changes_total"),

		evacuationRefusals: metrics.GetOrCreateCounter("sycamoredoor_evacuation_refusals_total"),
	}
}

// waitPriorities is the number of priorities with their own histogram of waiting times; less urgent
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
