package database

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// TestNoProbesWhileUnsettled guards against VMs that probe all servers at a start, when each knows but a few of the others.
func TestNoProbesWhileUnsettled(t *testing.T) {
	f := &fakeGroup{}
	g := f.group(t, 4)
	settled := false
	g.options.SettledFunc = func() bool { return settled }
	f.runTicks(g, 300*time.Millisecond, func() bool { return false })
	if diff := cmp.Diff(0, f.accounts[probeAccount]); diff != "" {
		t.Errorf("connections for probes before the list is settled (-want +got):\n%s", diff)
	}
	settled = true
	f.runTicks(g, 20*time.Second, g.Ready)
	if !g.Ready() {
		t.Error("no primary is proved once the list is settled")
	}
}

// TestNoClaimUnasked guards against a VM that replaces a primary which it has not asked, since proofs of others are late.
func TestNoClaimUnasked(t *testing.T) {
	f := &fakeGroup{}
	g := f.group(t, 4)
	g.options.ProbersFunc = func() []string { return []string{"other"} }
	g.MergeView(Sender{VM: "other", Process: 1}, inner.GroupView{Group: "g", Term: 1, Leader: "p", ProofAge: -1}, nil)
	f.runTicks(g, (failover.LostAfter + askedTime + 300).Duration(), func() bool { return false })
	if diff := cmp.Diff(0, f.claimReads); diff != "" {
		t.Errorf("attempts to claim (-want +got):\n%s", diff)
	}
}
