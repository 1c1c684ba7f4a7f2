package tenure

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// Report is what one VM reports to another about a group. Its times are lower bounds:
// each fact held at its time or later. They are of the clock of the VM that has the
// Report, so the receiver must convert them before WithReport.
type Report struct {
	Term   floor.Term
	Leader string
	// ProvedAt is clock.DistantPast without a proof.
	ProvedAt clock.Millis
	// Position is one that the leader's log had reached at PositionAt, or zero if
	// unknown. It is of an earlier term until the first commit of Term.
	Position   floor.ReplicationPosition
	PositionAt clock.Millis
}

// WithReport applies a report from another VM.
func (w Watch) WithReport(r Report) Watch {
	if r.Term < w.term {
		return w
	}
	if r.Term > w.term || w.leader == "" {
		w = w.WithTerm(r.Term, r.Leader)
	}
	if r.Leader == "" || r.Leader != w.leader {
		return w
	}
	if !r.Position.IsZero() {
		w = w.withSample(r.PositionAt, r.Position)
	}
	return w.withProof(r.ProvedAt)
}

// Report returns what to report to other VMs, in times of this VM's clock.
func (w Watch) Report() Report {
	r := Report{Term: w.term, Leader: w.leader, ProvedAt: w.provedAt}
	if n := len(w.samples); n > 0 {
		r.Position, r.PositionAt = w.samples[n-1].position, w.samples[n-1].at
	}
	return r
}
