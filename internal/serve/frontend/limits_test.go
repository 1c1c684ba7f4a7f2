package frontend

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
)

// TestAccountAtOneVM checks that an account that uses half of its rate at one of three
// VMs is never refused while the messages of the other two report no use of it. The use
// begins after a second of such messages.
func TestAccountAtOneVM(t *testing.T) {
	c := clock.NewFake(0)
	a := catalog.Account{Name: "acme", Rate: 200, Burst: 200}
	l := newLimiter(c.Clock(), Tolerance{Fraction: 0.1, Slack: 20, Window: 5})
	l.vmCountFunc, l.processFunc = func() int { return 3 }, func() uint64 { return 1 }
	l.regionGossipFunc, l.gossipFunc = func() {}, func() {}
	l.accountFunc = func(string) (catalog.Account, bool) { return a, true }
	l.createBuckets(map[string]catalog.Account{a.Name: a})
	refused := 0
	for now := clock.Millis(0); now < 20*clock.Second; now += 10 {
		c.Advance(10)
		if now%300 == 0 {
			l.beginRound()
			for _, vm := range []string{"vm1", "vm2"} {
				l.mergeGossip(inner.Gossip{From: vm, Process: 2}, false)
			}
		}
		if now >= clock.Second && !l.take(a) {
			refused++
		}
	}
	if diff := cmp.Diff(0, refused); diff != "" {
		t.Errorf("operations refused of 1900 (-want +got):\n%s", diff)
	}
}
