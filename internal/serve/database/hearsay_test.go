package database

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// TestReportReachesClaimantThroughOthers guards against the loss of commits that only a VM has reported which the claimant does not hear, though it hears one that has the report.
func TestReportReachesClaimantThroughOthers(t *testing.T) {
	f := &fakeGroup{}
	g, heard, other := f.group(t, 4), f.group(t, 4), f.group(t, 4)
	acknowledged := floor.ReplicationPosition{Term: 1, Position: 7}
	if err := other.recordCommit("p", acknowledged, other.options.Clock.Now()); err != nil {
		t.Fatal(err)
	}
	heard.MergeView(Sender{VM: "vm2", Process: 1}, other.View(), nil)
	g.MergeView(Sender{VM: "vm1", Process: 1}, heard.View(), nil)
	if diff := cmp.Diff([]floor.ReplicationPosition{acknowledged, acknowledged}, []floor.ReplicationPosition{heard.acknowledgedPosition(), g.acknowledgedPosition()}); diff != "" {
		t.Errorf("known as acknowledged by the VM that heard the report, and by the claimant (-want +got):\n%s", diff)
	}
}

// TestCommitWithoutPosition guards against a commit that was acknowledged with an answer without a position and counts as none.
func TestCommitWithoutPosition(t *testing.T) {
	f := &fakeGroup{}
	g := f.group(t, 4)
	f.awaitSample(g)
	if err := g.recordCommit("p", floor.ReplicationPosition{}, g.options.Clock.Now()); err != nil {
		return
	}
	_, known := g.watch.DepartedEnd()
	if known && g.acknowledgedPosition().IsZero() {
		t.Error("the VM reports that it acknowledged nothing, and no later position is required")
	}
}
