package experiment

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/oracle"
)

// Report is what an experiment measured. Its keys are those of a trial where
// these mean the same.
type Report struct {
	Seed uint64 `json:"seed"`
	// ReplicaShare is the share of the reads that replicas served.
	ReplicaShare float64 `json:"replicashare"`
	// FailoverGap is the longest time without an acknowledged write, in
	// milliseconds, in a database that lost its primary, from then on; 0 without
	// such a fault.
	FailoverGap clock.Millis `json:"failovergap"`
	// WorstServedShare is what was served of what an account was entitled to during the
	// rush, for the one that fared worst.
	WorstServedShare float64 `json:"worstaccount"`
	WrongfulRefusals int64   `json:"wrongful"`
	Violations       int64   `json:"violations"`
	// Failures counts the answers that the oracle refused and the faults that failed.
	Failures int64 `json:"wrong"`
	Reads    int64 `json:"reads"`
	Writes   int64 `json:"writes"`
	// Charges counts the answered requests that must not be repeated, Repeats the
	// repeats of those whose outcome was unknown.
	Charges         int64 `json:"charges"`
	Retries         int64 `json:"repeats"`
	UnknownOutcomes int64 `json:"unknown"`
	// KilledRequests counts the requests whose VM was killed, Moves those that were told to
	// connect elsewhere, Limited those over the account's rate.
	KilledRequests int64 `json:"cuts"`
	Reconnects     int64 `json:"moves"`
	RateLimited    int64 `json:"limited"`
	// DroppedArrivals counts the arrivals for which the load generator had no session.
	DroppedArrivals int64 `json:"dropped"`
	// ConfigLag and KeyLag are the longest in milliseconds; 0 without such a change.
	ConfigLag        clock.Millis    `json:"configlag"`
	KeyWithdrawalLag clock.Millis    `json:"keylag"`
	Accounts         []AccountReport `json:"accounts"`
	Errors           []string        `json:"errors,omitempty"`
	expected         expectations
}

// AccountReport is how one account fared. Latencies are in microseconds from the
// moment at which a request was due.
type AccountReport struct {
	Name          string `json:"name"`
	Served        int64  `json:"served"`
	NotServed     int64  `json:"refused"`
	MedianLatency int64  `json:"median"`
	P99Latency    int64  `json:"high"`
	MaxLatency    int64  `json:"highest"`
}

// expectations says what the file expects.
type expectations struct {
	failoverGap, configLag, keyWithdrawalLag bool
	minReplicaShare                          float64
}

const (
	// maxGap is the longest gap allowed at a change of primary, in milliseconds.
	maxGap = 7 * clock.Second
	// maxLag is the longest time allowed for a change of configuration, in milliseconds.
	maxLag = 6 * clock.Second
	// minServedShare is the least that the worst served account must get of its share.
	minServedShare = 0.95
)

// FailedChecks lists the promises that were broken.
func (r Report) FailedChecks() []string {
	var out []string
	check := func(ok bool, format string, args ...any) {
		if !ok {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	check(r.Violations == 0, "%d invariants were broken", r.Violations)
	check(r.Failures == 0, "%d answers or faults were wrong", r.Failures)
	check(r.WrongfulRefusals == 0, "%d requests were refused wrongfully", r.WrongfulRefusals)
	check(r.DroppedArrivals == 0, "%d arrivals found no session, so the load was not what the file says", r.DroppedArrivals)
	check(r.WorstServedShare >= minServedShare, "an account got %.3f of its share, less than %.2f", r.WorstServedShare, minServedShare)
	check(r.ReplicaShare >= r.expected.minReplicaShare, "replicas served %.3f of the reads, less than %.2f", r.ReplicaShare, r.expected.minReplicaShare)
	check(within(r.FailoverGap, maxGap, r.expected.failoverGap), "the failover gap was %d ms, not 1 to %d", r.FailoverGap, maxGap)
	check(within(r.ConfigLag, maxLag, r.expected.configLag), "the change of configuration took %d ms, not 1 to %d", r.ConfigLag, maxLag)
	check(within(r.KeyWithdrawalLag, maxLag, r.expected.keyWithdrawalLag), "the withdrawal of a key took %d ms, not 1 to %d", r.KeyWithdrawalLag, maxLag)
	return out
}

func within(measured, bound clock.Millis, expected bool) bool {
	return !expected || measured > 0 && measured <= bound
}

func (s Spec) expectations() expectations {
	w := expectations{minReplicaShare: s.MinReplicaShare}
	for _, v := range s.Faults {
		w.failoverGap = w.failoverGap || v.Kind == "isolate" || v.Kind == "down"
		w.configLag = w.configLag || v.Kind == "edit"
		w.keyWithdrawalLag = w.keyWithdrawalLag || v.Kind == "withdraw"
	}
	return w
}

func (r *run) report() Report {
	out := Report{
		Seed: r.seed, WrongfulRefusals: r.counts.wrongfulRefusals.Load(), Failures: r.counts.failures.Load(), Reads: r.counts.reads.Load(),
		Writes: r.counts.writes.Load(), Charges: r.counts.charges.Load(), Retries: r.counts.retries.Load(),
		UnknownOutcomes: r.counts.unknownOutcomes.Load(), KilledRequests: r.counts.killedRequests.Load(), Reconnects: r.counts.reconnects.Load(), RateLimited: r.counts.rateLimited.Load(),
		FailoverGap: r.longestFailoverGap, ConfigLag: r.lags.config, KeyWithdrawalLag: r.lags.key, Errors: r.errors.list(), expected: r.spec.expectations(),
	}
	var usages []oracle.AccountUsage
	for _, l := range r.loads {
		usages = append(usages, l.peakUsage())
		out.Accounts = append(out.Accounts, l.report())
		out.DroppedArrivals += l.dropped
	}
	out.WorstServedShare = oracle.WorstServedShare(usages)
	out.ReplicaShare = r.replicaShare()
	return out
}

func (r *run) replicaShare() float64 {
	var reads, replicas uint64
	for _, v := range r.balancer.allVMs() {
		s := v.Entry().Totals()
		reads, replicas = reads+s.Reads, replicas+s.ReplicaReads
	}
	return float64(replicas) / float64(max(reads, 1))
}

func (l *load) report() AccountReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := AccountReport{
		Name: l.account.Name, Served: l.results[resultServed], MedianLatency: l.latencies.ValueAtQuantile(50),
		P99Latency: l.latencies.ValueAtQuantile(99), MaxLatency: l.latencies.Max(),
	}
	for e, n := range l.results {
		if e != resultServed {
			out.NotServed += n
		}
	}
	return out
}

// recordWrite notes a write for the gap of its database.
func (r *run) recordWrite(database string) { r.failoverGaps[database].RecordWrite() }

// countResult counts a request by how it came out.
func (r *run) countResult(request string, e result, err error, counter *atomic.Int64) result {
	switch e {
	case resultServed:
		counter.Add(1)
	case resultUnknown:
		r.counts.unknownOutcomes.Add(1)
	case resultVMKilled:
		r.counts.killedRequests.Add(1)
	case resultRateLimited:
		r.counts.rateLimited.Add(1)
	default:
		r.counts.wrongfulRefusals.Add(1)
		r.errors.add("%s: %s: %v", request, e, err)
	}
	return e
}

// recordFailure counts what no caller may see.
func (r *run) recordFailure(format string, args ...any) {
	r.counts.failures.Add(1)
	r.errors.add(format, args...)
}

// maxErrors is the number of errors kept for the report.
const maxErrors = 20

type errorTexts struct {
	mu    sync.Mutex
	texts []string
}

func (n *errorTexts) add(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.texts) < maxErrors {
		n.texts = append(n.texts, fmt.Sprintf(format, args...))
	}
}

func (n *errorTexts) list() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.texts
}
