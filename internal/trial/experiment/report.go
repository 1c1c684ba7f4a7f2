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
	// WorstAccount is what was served of what an account was entitled to during the
	// rush, for the one that fared worst.
	WorstAccount float64 `json:"worstaccount"`
	Wrongful     int64   `json:"wrongful"`
	Violations   int64   `json:"violations"`
	// Wrong counts the answers that the oracle refused and the faults that failed.
	Wrong  int64 `json:"wrong"`
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Charges counts the answered requests that must not be repeated, Repeats the
	// repeats of those whose outcome was unknown.
	Charges int64 `json:"charges"`
	Repeats int64 `json:"repeats"`
	Unknown int64 `json:"unknown"`
	// Cuts counts the requests whose VM was killed, Moves those that were told to
	// connect elsewhere, Limited those over the account's rate.
	Cuts    int64 `json:"cuts"`
	Moves   int64 `json:"moves"`
	Limited int64 `json:"limited"`
	// Dropped counts the arrivals for which the load generator had no session.
	Dropped int64 `json:"dropped"`
	// ConfigLag and KeyLag are the longest in milliseconds; 0 without such a change.
	ConfigLag clock.Millis    `json:"configlag"`
	KeyLag    clock.Millis    `json:"keylag"`
	Accounts  []AccountReport `json:"accounts"`
	Errors    []string        `json:"errors,omitempty"`
	wanted    wanted
}

// AccountReport is how one account fared. Latencies are in microseconds from the
// moment at which a request was due.
type AccountReport struct {
	Name    string `json:"name"`
	Served  int64  `json:"served"`
	Refused int64  `json:"refused"`
	Median  int64  `json:"median"`
	High    int64  `json:"high"`
	Highest int64  `json:"highest"`
}

// wanted says what the file expects.
type wanted struct {
	gap, config, key bool
	replicas         float64
}

const (
	// maxGap is the longest gap allowed at a change of primary, in milliseconds.
	maxGap = 7 * clock.Second
	// maxLag is the longest time allowed for a change of configuration, in milliseconds.
	maxLag = 6 * clock.Second
	// minServed is the least that the worst served account must get of its share.
	minServed = 0.95
)

// Broken lists the promises that were broken.
func (r Report) Broken() []string {
	var out []string
	check := func(ok bool, format string, args ...any) {
		if !ok {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	check(r.Violations == 0, "%d invariants were broken", r.Violations)
	check(r.Wrong == 0, "%d answers or faults were wrong", r.Wrong)
	check(r.Wrongful == 0, "%d requests were refused wrongfully", r.Wrongful)
	check(r.Dropped == 0, "%d arrivals found no session, so the load was not what the file says", r.Dropped)
	check(r.WorstAccount >= minServed, "an account got %.3f of its share, less than %.2f", r.WorstAccount, minServed)
	check(r.ReplicaShare >= r.wanted.replicas, "replicas served %.3f of the reads, less than %.2f", r.ReplicaShare, r.wanted.replicas)
	check(within(r.FailoverGap, maxGap, r.wanted.gap), "the failover gap was %d ms, not 1 to %d", r.FailoverGap, maxGap)
	check(within(r.ConfigLag, maxLag, r.wanted.config), "the change of configuration took %d ms, not 1 to %d", r.ConfigLag, maxLag)
	check(within(r.KeyLag, maxLag, r.wanted.key), "the withdrawal of a key took %d ms, not 1 to %d", r.KeyLag, maxLag)
	return out
}

func within(measured, bound clock.Millis, wanted bool) bool {
	return !wanted || measured > 0 && measured <= bound
}

func (f File) wanted() wanted {
	w := wanted{replicas: f.Replicas}
	for _, v := range f.Faults {
		w.gap = w.gap || v.Kind == "isolate" || v.Kind == "down"
		w.config = w.config || v.Kind == "edit"
		w.key = w.key || v.Kind == "withdraw"
	}
	return w
}

func (r *run) report() Report {
	out := Report{
		Seed: r.seed, Wrongful: r.counts.wrongful.Load(), Wrong: r.counts.wrong.Load(), Reads: r.counts.reads.Load(),
		Writes: r.counts.writes.Load(), Charges: r.counts.charges.Load(), Repeats: r.counts.repeats.Load(),
		Unknown: r.counts.unknown.Load(), Cuts: r.counts.cuts.Load(), Moves: r.counts.moves.Load(), Limited: r.counts.limited.Load(),
		FailoverGap: r.gap, ConfigLag: r.lags.config, KeyLag: r.lags.key, Errors: r.notes.list(), wanted: r.file.wanted(),
	}
	var claims []oracle.Claim
	for _, l := range r.loads {
		claims = append(claims, l.claim())
		out.Accounts = append(out.Accounts, l.report())
		out.Dropped += l.dropped
	}
	out.WorstAccount = oracle.Worst(claims)
	out.ReplicaShare = r.replicaShare()
	return out
}

func (r *run) replicaShare() float64 {
	var reads, replicas uint64
	for _, v := range r.fleet.ever() {
		s := v.Entry().Totals()
		reads, replicas = reads+s.Reads, replicas+s.ReplicaReads
	}
	return float64(replicas) / float64(max(reads, 1))
}

func (l *load) report() AccountReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := AccountReport{
		Name: l.account.Name, Served: l.endings[served], Median: l.latency.ValueAtQuantile(50),
		High: l.latency.ValueAtQuantile(99), Highest: l.latency.Max(),
	}
	for e, n := range l.endings {
		if e != served {
			out.Refused += n
		}
	}
	return out
}

// acknowledged notes a write for the gap of its database.
func (r *run) acknowledged(database string) { r.gaps[database].Acknowledged() }

// count counts a request by how it came out.
func (r *run) count(what string, e ending, err error, good *atomic.Int64) ending {
	switch e {
	case served:
		good.Add(1)
	case unknown:
		r.counts.unknown.Add(1)
	case cut:
		r.counts.cuts.Add(1)
	case limited:
		r.counts.limited.Add(1)
	default:
		r.counts.wrongful.Add(1)
		r.notes.add("%s: %s: %v", what, e, err)
	}
	return e
}

// wrong counts what no caller may see.
func (r *run) wrong(format string, args ...any) {
	r.counts.wrong.Add(1)
	r.notes.add(format, args...)
}

// maxNotes is the number of errors kept for the report.
const maxNotes = 20

type notes struct {
	mu    sync.Mutex
	texts []string
}

func (n *notes) add(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.texts) < maxNotes {
		n.texts = append(n.texts, fmt.Sprintf(format, args...))
	}
}

func (n *notes) list() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.texts
}
