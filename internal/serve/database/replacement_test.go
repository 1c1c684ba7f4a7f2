package database

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/core/tenure"
)

// directoryEntries returns directory entries in which server p is leaving.
func directoryEntries(ids ...string) []Server {
	var out []Server
	for _, id := range ids {
		out = append(out, Server{ID: id, Group: "g", Slots: 2, Leaving: id == "p"})
	}
	return out
}

// claimCommands returns the servers of the seal commands, in order of their IDs, and
// those of the promotion requests.
func (f *fakeGroup) claimCommands() (sealed, promoted []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(slices.Values(f.sealed)), slices.Clone(f.promoted)
}

// TestSealsNewServer adds a server to the directory only when the claimant rereads it
// after sealing the others. The claimant must seal the new server too: it may have commits
// that no other server has, and a promotion without its seal could lose them.
func TestSealsNewServer(t *testing.T) {
	f := &fakeGroup{claimable: true}
	g := f.group(t, 4)
	g.options.DrainTimeout = 100
	f.directoryFunc = func() { g.Update(directoryEntries("p", "q", "r", "new")) }
	f.runTicks(g, testTimeout, g.Ready)
	g.Update(directoryEntries("p", "q", "r"))
	f.runTicks(g, testTimeout, func() bool { _, promoted := f.claimCommands(); return len(promoted) > 0 })
	sealed, _ := f.claimCommands()
	if diff := cmp.Diff([]string{"new", "q", "r"}, slices.Compact(sealed)); diff != "" {
		t.Errorf("sealed servers (-want +got):\n%s", diff)
	}
}

// TestAwaitsReplacement checks that a leaving primary is not replaced before its
// replacement is listed, unless the wait exceeds replacementPercent of DrainTimeout.
func TestAwaitsReplacement(t *testing.T) {
	f := &fakeGroup{claimable: true}
	g := f.group(t, 4)
	g.options.DrainTimeout = 4 * clock.Second
	f.runTicks(g, testTimeout, g.Ready)
	g.Update(directoryEntries("p", "q", "r"))
	lostAfter := func(elapsed clock.Millis) bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.primaryLostLocked(g.leavingSince["p"] + elapsed)
	}
	diff := cmp.Diff([]bool{false, true}, []bool{lostAfter(100), lostAfter(g.options.DrainTimeout * 3 / 4)})
	if diff != "" {
		t.Errorf("lost early and late (-want +got):\n%s", diff)
	}
	g.Update(directoryEntries("p", "q", "r", "new"))
	if diff := cmp.Diff(true, lostAfter(100)); diff != "" {
		t.Errorf("lost once the replacement is listed (-want +got):\n%s", diff)
	}
}

// TestEarlyReplacement checks that a leaving primary is replaced at once if its
// replacement was listed before the primary began to leave.
func TestEarlyReplacement(t *testing.T) {
	f := &fakeGroup{}
	g := f.group(t, 4)
	g.options.DrainTimeout = 4 * clock.Second
	f.runTicks(g, testTimeout, g.Ready)
	list := directoryEntries("p", "q", "r", "new")
	list[0].Leaving = false
	g.Update(list)
	g.Update(directoryEntries("p", "q", "r", "new"))
	g.mu.Lock()
	defer g.mu.Unlock()
	if diff := cmp.Diff(true, g.primaryLostLocked(g.leavingSince["p"]+100)); diff != "" {
		t.Errorf("lost at once (-want +got):\n%s", diff)
	}
}

// TestSuspendedClaimant suspends a claimant while its promotion request is in flight.
// Another VM may hold the claim when the claimant resumes, so it must not repeat the
// request or unseal a server.
func TestSuspendedClaimant(t *testing.T) {
	f := &fakeGroup{claimable: true}
	g := f.group(t, 4)
	g.options.DrainTimeout = 100
	base := g.options.Clock.NowFunc
	var suspension atomic.Int64
	g.options.Clock.NowFunc = func() clock.Millis { return base() + clock.Millis(suspension.Load()) }
	promote := g.options.Claims.PromoteFunc
	var unsealed atomic.Int64
	f.unsealFunc = func() { unsealed.Add(1) }
	g.options.Claims.PromoteFunc = func(ctx context.Context, group, server, holder string, token uint64) error {
		_ = promote(ctx, group, server, holder, token)
		suspension.Add(int64(maxStepGap) + 100)
		return errors.New("no answer")
	}
	f.runTicks(g, testTimeout, g.Ready)
	g.Update(directoryEntries("p", "q", "r", "new"))
	ended := func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		_, promoted := f.claimCommands()
		return len(promoted) > 0 && !g.claiming
	}
	f.runTicks(g, testTimeout, ended)
	_, promoted := f.claimCommands()
	if diff := cmp.Diff(1, len(promoted)); diff != "" {
		t.Errorf("promotion requests (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int64(0), unsealed.Load()); diff != "" {
		t.Errorf("unsealed replicas (-want +got):\n%s", diff)
	}
}

// TestAttemptsDoNotOverlap checks that the longest attempt, AttemptTimeout and then
// probeTimeout for commands still in flight, ends before another VM may take over the
// claim, whether or not that VM receives messages from the holder.
func TestAttemptsDoNotOverlap(t *testing.T) {
	c := failover.Claim{Holder: "x", ClaimedAt: 1000}
	for _, alive := range []bool{false, true} {
		if c.CanTakeOver("y", 1000+failover.AttemptTimeout+probeTimeout-1, alive) {
			t.Errorf("the claim may be taken while its holder works on it; holder alive: %v", alive)
		}
	}
	longest := failover.AttemptTimeout + probeTimeout
	if longest > tenure.ClaimTimeout || longest > tenure.WitnessDelay {
		t.Errorf("an attempt takes up to %d ms, longer than VMs rely on", longest)
	}
	if failover.OrderTimeout <= longest || failover.OrderTimeout > tenure.ClaimTimeout {
		t.Errorf("an order may take effect up to %d ms after its attempt began, which VMs do not wait for", failover.OrderTimeout)
	}
}

// TestTermAdvances raises the term while a claimant seals, as another completed claim
// does. The claimant must then promote nothing.
func TestTermAdvances(t *testing.T) {
	f := &fakeGroup{claimable: true}
	g := f.group(t, 4)
	g.options.DrainTimeout = 100
	f.runTicks(g, testTimeout, g.Ready)
	f.directoryFunc = func() {
		g.recordStatus("new", statement.ReplicationStatus{Primary: true, Term: 2, Sealed: 2}, g.options.Clock.Now())
	}
	expectNoPromotion(t, f, g)
}

// TestUnconfirmedPromotion promotes a server that never reports the new term. The former
// primary may still lead then, so the replicas must stay sealed. The claimant must know
// that the record names it.
func TestUnconfirmedPromotion(t *testing.T) {
	f := &fakeGroup{claimable: true}
	g := f.group(t, 4)
	g.options.DrainTimeout = 100
	var unsealed atomic.Int64
	f.unsealFunc = func() { unsealed.Add(1) }
	f.runTicks(g, testTimeout, g.Ready)
	g.Update(directoryEntries("p", "q", "r", "new"))
	f.runTicks(g, testTimeout, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		_, promoted := f.claimCommands()
		return len(promoted) > 0 && !g.claiming
	})
	if diff := cmp.Diff(int64(0), unsealed.Load()); diff != "" {
		t.Errorf("unsealed replicas (-want +got):\n%s", diff)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if diff := cmp.Diff("vm", g.lastHolder); diff != "" {
		t.Errorf("last holder of the claim (-want +got):\n%s", diff)
	}
}

// TestReplacedCommit lets a primary acknowledge a commit once a later term is known. The
// commit may be missing in that term, so its outcome must be unknown.
func TestReplacedCommit(t *testing.T) {
	f := &fakeGroup{position: floor.ReplicationPosition{Term: 1, Position: 7}}
	g := f.group(t, 4)
	f.runTicks(g, testTimeout, g.Ready)
	conn, err := g.AcquirePrimary(t.Context(), Requester{Account: "acme", Weight: 1}, 1000)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Release()
	g.recordStatus("q", statement.ReplicationStatus{Primary: true, Term: 2, Sealed: 2}, g.options.Clock.Now())
	_, err = conn.Run(Request{ID: "x", Timeout: 1000, IsCommit: true})
	if !errors.Is(err, errReplaced) {
		t.Errorf("error %v, want %v", err, errReplaced)
	}
}

// TestPrimaryReplacedAtOnce replaces a primary that is past its drain timeout by another,
// both with a valid lease. Requests that wait for a primary must be woken.
func TestPrimaryReplacedAtOnce(t *testing.T) {
	f := &fakeGroup{}
	g := f.group(t, 4)
	g.options.DrainTimeout = 1
	f.runTicks(g, testTimeout, g.Ready)
	g.Update(directoryEntries("p", "q", "r"))
	time.Sleep(10 * time.Millisecond)
	found := make(chan error, 1)
	go func() {
		_, err := g.awaitPrimary(context.Background(), g.options.Clock.Now()+20*clock.Second, true)
		found <- err
	}()
	time.Sleep(20 * time.Millisecond)
	g.mu.Lock()
	now := g.options.Clock.Now()
	g.setWatch(g.watch.WithReport(tenure.Report{Term: 2, Leader: "q", ProvedAt: now}))
	g.mu.Unlock()
	select {
	case err := <-found:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Error("the request was not woken by the new primary")
	}
}
