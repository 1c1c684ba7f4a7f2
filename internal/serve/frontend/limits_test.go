package frontend

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/gossip"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
)

// acmeLimiter returns the limiter of one of three VMs, with one account.
func acmeLimiter(c *clock.Fake) (catalog.Account, *limiter) {
	a := catalog.Account{Name: "acme", Rate: 200, Burst: 200}
	l := newLimiter(c.Clock(), Tolerance{Fraction: 0.1, Slack: 20, Window: 5})
	l.vmCountFunc, l.processFunc = func() int { return 3 }, func() uint64 { return 1 }
	l.roleFunc = func() gossip.Role { return gossip.Equal }
	l.regionGossipFunc, l.gossipFunc = func() {}, func() {}
	l.accountFunc = func(string) (catalog.Account, bool) { return a, true }
	l.createBuckets(map[string]catalog.Account{a.Name: a})
	return a, l
}

// TestDemandOfLostVM checks that the total of a zone contains the demand of a VM while it
// reports the account, and no longer once it leaves the account out or sends nothing more.
func TestDemandOfLostVM(t *testing.T) {
	for name, silent := range map[string]bool{"idle": false, "lost": true} {
		t.Run(name, func(t *testing.T) {
			c := clock.NewFake(0)
			_, l := acmeLimiter(c)
			l.mergeGossip(inner.Gossip{From: "vm1", Process: 2, Usages: []inner.Usage{{Account: "acme", Spent: 9, Demand: 50}}}, false)
			demand := func() float32 {
				l.beginRound()
				for _, u := range l.usages(inner.ScopeZone) {
					return u.Demand
				}
				return 0
			}
			got := []float32{demand()}
			for range 30 {
				c.Advance(300)
				if !silent {
					l.mergeGossip(inner.Gossip{From: "vm1", Process: 2}, false)
				}
			}
			got = append(got, demand())
			if diff := cmp.Diff([]float32{50, 0}, got); diff != "" {
				t.Errorf("demand of the zone (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAccountAtOneVM checks that an account that uses half of its rate at one of three
// VMs is never refused while the messages of the other two report no use of it. The use
// begins after a second of such messages.
func TestAccountAtOneVM(t *testing.T) {
	c := clock.NewFake(0)
	a, l := acmeLimiter(c)
	refused := 0
	for now := clock.Millis(0); now < 20*clock.Second; now += 10 {
		c.Advance(10)
		if now%300 == 0 {
			l.beginRound()
			for _, vm := range []string{"vm1", "vm2"} {
				l.mergeGossip(inner.Gossip{From: vm, Process: 2}, false)
			}
		}
		if now >= clock.Second && !l.take(a, 0) {
			refused++
		}
	}
	if diff := cmp.Diff(0, refused); diff != "" {
		t.Errorf("operations refused of 1900 (-want +got):\n%s", diff)
	}
}

// TestTotalsOfReplacedVMs guards against totals of a zone that keep a report of each VM that ever was
// there, which each round reads, and against a loss of what these VMs have spent.
func TestTotalsOfReplacedVMs(t *testing.T) {
	c := clock.NewFake(0)
	_, l := acmeLimiter(c)
	var spent uint64
	for vm := range 50 {
		for report := range 10 {
			g := inner.Gossip{From: fmt.Sprintf("vm%d", vm), Process: uint64(vm), Usages: []inner.Usage{{Account: "acme", Spent: uint64(report), Demand: 50}}}
			l.mergeGossip(g, false)
			l.beginRound()
			c.Advance(300)
		}
		spent += 9
	}
	total := l.zoneTotals["acme"]
	if diff := cmp.Diff(spent, total.spent); diff != "" {
		t.Errorf("spent (-want +got):\n%s", diff)
	}
	if n := len(total.reports); n > 10 {
		t.Errorf("reports of %d VMs are kept, want those of the last 10 at most", n)
	}
}
