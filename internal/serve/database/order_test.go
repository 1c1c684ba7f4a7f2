package database

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// claimRecord is the claim record of a group, and the time of the store's clock.
type claimRecord struct {
	claim   failover.Claim
	version uint64
	now     clock.Millis
}

// keepClaims makes the group read and write the record.
func (r *claimRecord) keepClaims(g *Group) {
	g.options.Claims.ReadFunc = func(context.Context, string) (failover.Claim, uint64, clock.Millis, error) {
		return r.claim, r.version, r.now, nil
	}
	g.options.Claims.WriteFunc = func(_ context.Context, _ string, c failover.Claim, version uint64) (uint64, error) {
		if version != r.version {
			return 0, ErrClaimTaken
		}
		r.claim, r.version = c, version+1
		return r.version, nil
	}
}

// skipTime returns a function that moves the group's clock to the given time after the present.
func skipTime(g *Group) func(elapsed clock.Millis) {
	base := g.options.Clock.NowFunc
	var passed atomic.Int64
	g.options.Clock.NowFunc = func() clock.Millis { return base() + clock.Millis(passed.Load()) }
	return func(elapsed clock.Millis) { passed.Store(int64(elapsed)) }
}

// inheritedOrder returns a group that uses primary p of term 1, and the record of a VM that is
// gone and ordered q to replace p the given time ago.
func inheritedOrder(t *testing.T, f *fakeGroup, age clock.Millis) (*Group, *claimRecord) {
	t.Helper()
	g := f.group(t, 4)
	f.runTicks(g, testTimeout, g.Ready)
	r := &claimRecord{claim: failover.Claim{Holder: "vm3", Term: 1, Target: "q", Former: "p", ClaimedAt: 1000}, version: 7, now: 1000 + age}
	r.keepClaims(g)
	return g, r
}

// TestOldTermAfterInheritedOrder guards against the use of the old term after a VM that is gone has ordered a promotion, which may still take effect.
func TestOldTermAfterInheritedOrder(t *testing.T) {
	f := &fakeGroup{unreachable: map[string]bool{"p": true, "r": true}}
	g, _ := inheritedOrder(t, f, failover.SilentHolderTimeout)
	var unsealed atomic.Int64
	f.unsealFunc = func() { unsealed.Add(1) }
	g.attemptClaim(t.Context())
	f.mu.Lock()
	defer f.mu.Unlock()
	if diff := cmp.Diff([]any{int64(0), true}, []any{unsealed.Load(), f.sealedNow["q"] > 0}); diff != "" {
		t.Errorf("replicas unsealed, and whether q is sealed (-want +got):\n%s", diff)
	}
}

// TestTwoServersOrdered guards against the promotion of a second server while an order to promote another may still take effect.
func TestTwoServersOrdered(t *testing.T) {
	for name, c := range map[string]struct {
		unreachable map[string]bool
		age         clock.Millis
		promoted    []string
	}{
		"the ordered server cannot be reached": {unreachable: map[string]bool{"q": true}, age: failover.SilentHolderTimeout},
		"the ordered server is sealed":         {age: failover.SilentHolderTimeout, promoted: []string{"q"}},
		"the order is too old to take effect":  {unreachable: map[string]bool{"q": true}, age: 60 * clock.Second, promoted: []string{"r"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeGroup{unreachable: c.unreachable, logEnds: map[string]floor.Position{"q": 3, "r": 4}}
			g, _ := inheritedOrder(t, f, c.age)
			// The primary is lost once its last proof is old.
			skipTime(g)(60 * clock.Second)
			g.attemptClaim(t.Context())
			_, promoted := f.claimCommands()
			if diff := cmp.Diff(c.promoted, promoted); diff != "" {
				t.Errorf("servers ordered to be promoted (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOldTermAfterRelease guards against a VM that takes the old term up again while a claimant that is gone may have ordered a promotion.
func TestOldTermAfterRelease(t *testing.T) {
	f := &fakeGroup{}
	g := f.group(t, 4)
	skip := skipTime(g)
	f.runTicks(g, testTimeout, g.Ready)
	g.MergeView(Sender{VM: "vm2", Process: 1}, inner.GroupView{Group: "g", Term: 1, Leader: "p", ProofAge: -1, PrimaryLost: true, ReleasedToken: 5}, nil)
	readyAfter := func(elapsed clock.Millis) bool {
		skip(elapsed)
		for _, p := range g.pools {
			g.probe(t.Context(), p)
		}
		return g.Ready()
	}
	// An order comes up to 3 s after the release, and takes effect seconds later.
	if diff := cmp.Diff([]bool{false, false, true}, []bool{readyAfter(4 * clock.Second), readyAfter(9 * clock.Second), readyAfter(60 * clock.Second)}); diff != "" {
		t.Errorf("the old term is used after 4 s, 9 s and a minute (-want +got):\n%s", diff)
	}
}

// TestOrderOfEarlierTerm guards against a change of primary while an order of the change before it may still take effect.
func TestOrderOfEarlierTerm(t *testing.T) {
	f := &fakeGroup{}
	g, r := inheritedOrder(t, f, failover.SilentHolderTimeout)
	r.claim.Term = 0
	g.attemptClaim(t.Context())
	sealed, _ := f.claimCommands()
	if diff := cmp.Diff([]any{[]string(nil), uint64(7)}, []any{sealed, r.version}); diff != "" {
		t.Errorf("sealed servers and version of the record (-want +got):\n%s", diff)
	}
}

// TestRecordOfOrder guards against a later attempt that waits for an order which can have no effect any more, or takes no notice of one that can.
func TestRecordOfOrder(t *testing.T) {
	for name, c := range map[string]struct {
		answers []error
		leads   bool
		target  string
	}{
		"performed":                        {answers: []error{nil}, leads: true},
		"performed without an answer":      {answers: []error{errNoAnswer}, leads: true},
		"answered and not performed yet":   {answers: []error{nil}, target: "q"},
		"performed, another may follow":    {answers: []error{errNoAnswer, nil}, leads: true, target: "q"},
		"performed, another refused":       {answers: []error{ErrOrderRefused, nil}, leads: true},
		"each order refused":               {answers: []error{ErrOrderRefused}},
		"the server is not running":        {answers: []error{ErrTargetDown}},
		"not running, another may follow":  {answers: []error{errNoAnswer, ErrTargetDown}, target: "q"},
		"not running, another was refused": {answers: []error{ErrOrderRefused, ErrTargetDown}},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeGroup{}
			g, r := inheritedOrder(t, f, failover.SilentHolderTimeout)
			r.claim = failover.Claim{}
			skipTime(g)(60 * clock.Second)
			f.promoteFunc = func() {
				f.promoteErr = c.answers[min(len(f.promoted), len(c.answers))-1]
				if c.leads && len(f.promoted) == len(c.answers) {
					f.leading = "q"
				}
			}
			g.attemptClaim(t.Context())
			if diff := cmp.Diff(c.target, r.claim.Target); diff != "" {
				t.Errorf("server in the record (-want +got):\n%s", diff)
			}
		})
	}
}

// errNoAnswer is the error of an order that may have been performed.
var errNoAnswer = errors.New("no answer")

// TestReleaseForClaimBefore guards against VMs that wait for the end of a claim whose holder is gone, though the next one has found that it ordered nothing.
func TestReleaseForClaimBefore(t *testing.T) {
	f := &fakeGroup{unreachable: map[string]bool{"p": true, "r": true}}
	for target, want := range map[string]bool{"": true, "q": false} {
		g, r := inheritedOrder(t, f, failover.SilentHolderTimeout)
		r.claim.Target = target
		// The primary is lost once its last proof is old, so that this attempt does not give up.
		skipTime(g)(60 * clock.Second)
		g.releaseTerm(5)
		g.attemptClaim(t.Context())
		_ = g.options.Clock.Sleep(t.Context(), 2)
		if diff := cmp.Diff(want, g.View().ReleaseEnded); diff != "" {
			t.Errorf("release ended after an order of %q (-want +got):\n%s", target, diff)
		}
	}
}
