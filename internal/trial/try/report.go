package try

import "github.com/sycamoredoor/sycamoredoor/internal/base/clock"

// Report holds the measurements of a trial.
type Report struct {
	Seed uint64 `json:"seed"`
	// ReplicaShare is the share of the reads that replicas served.
	ReplicaShare float64 `json:"replicashare"`
	// WorstServedShare is the smallest ratio of served requests to the fair share over
	// the competing accounts, while one of them asks for more than its share.
	WorstServedShare float64 `json:"worstaccount"`
	// Violations counts the violations of invariants in the process.
	Violations int64 `json:"violations"`
	// WrongAnswers counts the answers that the oracle rejected.
	WrongAnswers int64 `json:"wrong"`
	// Reads and Writes count the requests of their kind that were served.
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// WrongfulRefusals counts the errors other than an unknown outcome of a write.
	WrongfulRefusals int64 `json:"wrongful"`
	// UnknownOutcomes counts the writes whose outcome was unknown, as is allowed at a
	// failover.
	UnknownOutcomes int64 `json:"unknown"`
	// FailoverGap is the longest time without an acknowledged write in any session after
	// the primary was lost, in milliseconds.
	FailoverGap clock.Millis `json:"failovergap"`
	// ConfigLag is the time from an operator's edit until the last VM acts on it, in
	// milliseconds; 0 means that it was not measured.
	ConfigLag clock.Millis `json:"configlag"`
	// KeyWithdrawalLag is the time from the withdrawal of a key until its last connected
	// caller is disconnected, in milliseconds; 0 means that it was not measured.
	KeyWithdrawalLag clock.Millis `json:"keylag"`
	// Errors holds the first error texts, at most maxErrors.
	Errors []string `json:"errors,omitempty"`
}

const (
	// maxGap is the longest failover gap allowed, in milliseconds.
	maxGap = 7 * clock.Second
	// maxLag is the longest time allowed until a change of the configuration takes
	// effect, in milliseconds.
	maxLag = 6 * clock.Second
	// minServedShare is the smallest ratio of served requests to the fair share that
	// every competing account must get.
	minServedShare = 0.8
)

// Passed reports whether the trial met every requirement.
func (r Report) Passed() bool {
	return r.Violations == 0 && r.WrongAnswers == 0 && r.WrongfulRefusals == 0 && r.WorstServedShare >= minServedShare &&
		measuredWithin(r.FailoverGap, maxGap) && measuredWithin(r.ConfigLag, maxLag) && measuredWithin(r.KeyWithdrawalLag, maxLag)
}

// measuredWithin reports whether a time was measured and is at most its bound.
func measuredWithin(measured, bound clock.Millis) bool { return measured > 0 && measured <= bound }

func (t *trial) report() Report {
	r := Report{
		Seed: t.options.Seed, Reads: t.reads.Load(), Writes: t.writes.Load(),
		WrongAnswers: t.wrongAnswers.Load(), WrongfulRefusals: t.wrongfulRefusals.Load(), Errors: t.errors,
		UnknownOutcomes: t.unknownOutcomes.Load(), FailoverGap: t.failoverGap.Length(),
		WorstServedShare: t.worstServedShare, ConfigLag: t.lags.config, KeyWithdrawalLag: t.lags.key,
	}
	var reads, replicas uint64
	for _, v := range t.system.VMs {
		s := v.Entry().Totals()
		reads += s.Reads
		replicas += s.ReplicaReads
	}
	if reads > 0 {
		r.ReplicaShare = float64(replicas) / float64(reads)
	}
	return r
}
