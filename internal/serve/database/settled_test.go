package database

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
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
