package experiment

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/oracle"
)

// Report holds the measurements of an experiment. Its JSON keys are those of
// try.Report where the meaning is the same.
type Report struct {
	Seed uint64 `json:"seed"`
	// ReplicaShare is the share of the reads that replicas served.
	ReplicaShare float64 `json:"replicashare"`
	// FailoverGap is the longest time without an acknowledged write after a database
	// lost its primary, over all databases, in milliseconds; 0 without such a fault.
	FailoverGap clock.Millis `json:"failovergap"`
	// WorstServedShare is the smallest ratio of served requests to the fair share over
	// the accounts, during peaks.
	WorstServedShare float64 `json:"worstaccount"`
	// WrongfulRefusals counts the requests that were refused, or whose connection
	// broke, without a reason that the caller must expect.
	WrongfulRefusals int64 `json:"wrongful"`
	// Violations counts the violations of invariants in the process.
	Violations int64 `json:"violations"`
	// Failures counts the answers that the oracle rejected and the faults that were not
	// injected or failed.
	Failures int64 `json:"wrong"`
	// Reads and Writes count the requests of their kind that were served.
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Charges counts the served requests with an idempotency key, Retries the retries of
	// such requests while their outcome was unknown.
	Charges int64 `json:"charges"`
	Retries int64 `json:"repeats"`
	// UnknownOutcomes counts the writes and charges whose outcome stayed unknown.
	UnknownOutcomes int64 `json:"unknown"`
	// KilledRequests counts the requests whose VM was killed, Reconnects the times that
	// a caller had to connect elsewhere, RateLimited the refusals of accounts over their
	// rate.
	KilledRequests int64 `json:"cuts"`
	Reconnects     int64 `json:"moves"`
	RateLimited    int64 `json:"limited"`
	// DroppedArrivals counts the arrivals that the load generator dropped because too
	// many waited for a session.
	DroppedArrivals int64 `json:"dropped"`
	// ConfigLag is the longest time until every VM acted on an edit, KeyWithdrawalLag
	// until the last caller of a withdrawn key was disconnected, in milliseconds; 0
	// without such a change.
	ConfigLag        clock.Millis    `json:"configlag"`
	KeyWithdrawalLag clock.Millis    `json:"keylag"`
	Accounts         []AccountReport `json:"accounts"`
	// Errors holds the first error texts, at most maxErrors.
	Errors   []string `json:"errors,omitempty"`
	expected expectations
}

// AccountReport counts the requests of one account. Latencies are those of served
// requests, in microseconds from the time at which a request was due.
type AccountReport struct {
	Name          string `json:"name"`
	Served        int64  `json:"served"`
	NotServed     int64  `json:"refused"`
	MedianLatency int64  `json:"median"`
	P99Latency    int64  `json:"high"`
	MaxLatency    int64  `json:"highest"`
}

// expectations holds which times the report must contain, by the faults of the spec,
// and the smallest share of the reads that replicas must serve.
type expectations struct {
	failoverGap, configLag, keyWithdrawalLag bool
	minReplicaShare                          float64
}

const (
	// maxGap is the longest failover gap allowed, in milliseconds.
	maxGap = 7 * clock.Second
	// maxLag is the longest time allowed until a change of the configuration takes
	// effect, in milliseconds.
	maxLag = 6 * clock.Second
	// minServedShare is the smallest ratio of served requests to the fair share that
	// every account must get during peaks.
	minServedShare = 0.95
)

// FailedChecks returns a text for each requirement that the run did not meet.
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

// within reports whether a time was measured and is at most its bound. It is true for a
// time that the run need not measure.
func within(measured, bound clock.Millis, expected bool) bool {
	return !expected || measured > 0 && measured <= bound
}

// expectations returns what to expect of a run with the faults of the spec.
func (s Spec) expectations() expectations {
	e := expectations{minReplicaShare: s.MinReplicaShare}
	for _, fault := range s.Faults {
		e.failoverGap = e.failoverGap || fault.Kind == "isolate" || fault.Kind == "down"
		e.configLag = e.configLag || fault.Kind == "edit"
		e.keyWithdrawalLag = e.keyWithdrawalLag || fault.Kind == "withdraw"
	}
	return e
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
	for res, n := range l.results {
		if res != resultServed {
			out.NotServed += n
		}
	}
	return out
}

// recordWrite records an acknowledged write for the failover gap of its database.
func (r *run) recordWrite(database string) { r.failoverGaps[database].RecordWrite() }

// countResult counts the result of a request, resultServed in counter, and returns it. A
// wrongful refusal is also added to the error texts, with the request's description.
func (r *run) countResult(description string, res result, err error, counter *atomic.Int64) result {
	switch res {
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
		r.errors.add("%s: %s: %v", description, res, err)
	}
	return res
}

// recordFailure counts a wrong answer or a failed fault, and keeps its text.
func (r *run) recordFailure(format string, args ...any) {
	r.counts.failures.Add(1)
	r.errors.add(format, args...)
}

// maxErrors is the number of error texts kept for the report; later ones are dropped.
const maxErrors = 20

// errorTexts collects the first error texts of a run.
type errorTexts struct {
	mu    sync.Mutex
	texts []string
}

func (e *errorTexts) add(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.texts) < maxErrors {
		e.texts = append(e.texts, fmt.Sprintf(format, args...))
	}
}

func (e *errorTexts) list() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.texts
}
