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

// TestFirstOperations checks how many of the first five operations of an account at a VM that has
// just started are refused, before and after it has heard the others in a round. A bucket
// without a round, or with a share for many VMs without demand, refused the fourth one. A VM that has
// heard none has its part of half the burst.
func TestFirstOperations(t *testing.T) {
	for vms, wantUnheard := range map[int]int{2: 0, 3: 0, 9: 3} {
		for heard, want := range map[bool]int{false: wantUnheard, true: 0} {
			t.Run(fmt.Sprintf("%d VMs, heard %t", vms, heard), func(t *testing.T) {
				c := clock.NewFake(0)
				a := catalog.Account{Name: "acme", Rate: 50, Burst: 50}
				l := newLimiter(c.Clock(), Tolerance{Fraction: 0.1, Slack: 20, Window: 5})
				l.vmCountFunc, l.processFunc = func() int { return vms }, func() uint64 { return 1 }
				l.roleFunc = func() gossip.Role { return gossip.Equal }
				l.regionGossipFunc, l.gossipFunc = func() {}, func() {}
				l.accountFunc = func(string) (catalog.Account, bool) { return a, true }
				l.beginRound()
				l.createBuckets(map[string]catalog.Account{a.Name: a})
				for i := 1; heard && i < vms; i++ {
					l.mergeGossip(inner.Gossip{From: fmt.Sprintf("vm%d", i), Process: 2}, false)
				}
				if heard {
					c.Advance(10)
					l.beginRound()
				}
				refused := 0
				for range 5 {
					c.Advance(10)
					if !l.take(a, 0) {
						refused++
					}
				}
				if diff := cmp.Diff(want, refused); diff != "" {
					t.Errorf("operations refused of 5 (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// TestHintsInParts guards against a follower that takes an account for calm since it is not in the
// last part of a message of its relay: the account is hinted in the first part.
func TestHintsInParts(t *testing.T) {
	c := clock.NewFake(0)
	a, l := acmeLimiter(c)
	l.roleFunc = func() gossip.Role { return gossip.Follower }
	l.beginRound()
	served := 0
	for range 10 {
		c.Advance(300)
		hint := inner.Usage{Account: a.Name, Tokens: 20, Demand: 2000}
		for _, part := range [][]inner.Usage{{hint}, {{Account: "other", Tokens: 1, Demand: 9}}} {
			c.Advance(1)
			l.mergeGossip(inner.Gossip{From: "relay", Process: 2, Scope: inner.ScopeAll, Covered: 3, Known: 3, Usages: part}, true)
		}
		for range 20 {
			if l.take(a, 0) {
				served++
			}
		}
	}
	// The rate and the tokens are a ninth of the demand.
	if served > 50 {
		t.Errorf("%d operations served of 200, want at most 50", served)
	}
}
