package database

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/tenure"
)

const (
	// promoteRetryPause is the pause between two promotion requests.
	promoteRetryPause = clock.Millis(200)
	// logWait is how long an attempt looks for a server that has every acknowledged commit,
	// in milliseconds. It leaves time to let the group go on in the old term.
	logWait = clock.Second
)

// awaitRelease waits until no VM uses the old term: every VM has released it, or
// every lease on it has expired. In the second case a VM that was not heard may have got
// acknowledgements from a server that has started since the servers were sealed, so the
// directory is reread.
func (a *claimAttempt) awaitRelease(ctx context.Context) error {
	g := a.group
	g.releaseTerm(a.token)
	g.options.GossipFunc()
	// A lease counts from a time at which the group was not sealed yet.
	leaseExpiry := a.sealedAt + tenure.Lease + tenure.MaxClockDrift
	// Only a list read after the seal contains every VM that may use the term.
	complete := g.options.RefreshVMsFunc(ctx) == nil
	for {
		a.released = complete && g.termReleased(a.token, a.startedAt)
		if a.released {
			return nil
		}
		if g.options.Clock.Now() >= leaseExpiry {
			break
		}
		if err := a.checkClaim(); err != nil {
			return err
		}
		if g.options.Clock.Sleep(ctx, pollPause) != nil {
			return ctx.Err()
		}
	}
	return a.sealListed(ctx)
}

// promote promotes the sealed server with the furthest log, or the one that was ordered
// before. It repeats a request that was not confirmed, except after ErrTargetDown.
func (a *claimAttempt) promote(ctx context.Context) error {
	g := a.group
	for ctx.Err() == nil {
		if err := a.confirmSafe(ctx); err != nil {
			return err
		}
		candidates := a.currentServers(g.failoverServers(a.formerPrimary))
		acknowledged := a.acknowledged()
		target, awaitsOrdered := a.claim.PromotionTarget(candidates, g.options.SyncReplicas, acknowledged)
		if awaitsOrdered {
			if err := a.awaitOrdered(ctx); err != nil {
				return err
			}
			continue
		}
		if target == "" {
			if err := a.awaitLog(ctx, acknowledged); err != nil {
				return err
			}
			continue
		}
		logEnd := a.checkTarget(candidates, target, acknowledged)
		if a.ordered && target != a.claim.Target {
			return errTargetChanged
		}
		if err := a.recordOrder(ctx, target, logEnd); err != nil {
			return err
		}
		if err := a.checkClaim(); err != nil {
			return err
		}
		a.ordered = true
		err := a.orderPromotion(ctx, target, acknowledged)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, ErrTargetDown):
			a.mu.Lock()
			delete(a.sealed, target)
			a.mu.Unlock()
			return err
		}
		if !errors.Is(err, ErrOrderRefused) {
			a.unanswered++
			a.ageSeal(target)
		}
		g.options.Log.Warn("promotion not confirmed; retrying", "group", g.options.Name, "server", target, "err", err)
		_ = g.options.Clock.Sleep(ctx, promoteRetryPause)
	}
	return ctx.Err()
}

// acknowledged returns what is known of the commits that were acknowledged.
func (a *claimAttempt) acknowledged() failover.Acknowledged {
	g := a.group
	removedAt := clock.DistantPast
	if g.options.VMRemovedAtFunc != nil {
		removedAt = g.options.VMRemovedAtFunc()
	}
	out := failover.Acknowledged{Position: g.acknowledgedPosition().Max(a.claim.Needed), Complete: a.released}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setWatch(g.watch.WithDeparture(removedAt))
	departed, departedKnown := g.watch.DepartedEnd()
	removed, removedKnown := g.watch.ServersDepartedEnd()
	out.Departed, out.DepartedUnknown = departed, !departedKnown
	out.Removed, out.RemovedUnknown = removed, !removedKnown
	return out
}

// errTargetChanged means that a server was ordered to be promoted and another is to be
// promoted now. The first may lead already, so that the next attempt seals and reads all
// logs anew.
var errTargetChanged = errors.New("the server that was ordered to be promoted is not sealed any more")

// errLogMissing means that no known server has every acknowledged commit.
var errLogMissing = errors.New("no sealed server has every acknowledged commit")

// awaitLog seals servers that the directory lists by now, since no sealed server certainly has all
// that was acknowledged. After logWait it returns errLogMissing: the group then goes on in
// the old term, where the server with the missing commits can be listed meanwhile.
func (a *claimAttempt) awaitLog(ctx context.Context, acknowledged failover.Acknowledged) error {
	g := a.group
	now := g.options.Clock.Now()
	if a.logMissingSince == 0 {
		a.logMissingSince = now
		g.options.Log.Warn("no sealed server has every acknowledged commit", "group", g.options.Name, "term", a.term, "acknowledged", acknowledged.Position,
			"removed", acknowledged.Removed, "removed_unknown", acknowledged.RemovedUnknown, "former", a.formerPrimary, "former_stopped", a.formerStopped())
	}
	if now-a.logMissingSince > logWait {
		return errLogMissing
	}
	if err := a.checkClaim(); err != nil {
		return err
	}
	// A busy primary may have refused to step down before.
	a.stopFormer(ctx)
	if err := g.options.Clock.Sleep(ctx, promoteRetryPause); err != nil {
		return err
	}
	return a.sealListed(ctx)
}

// checkTarget asserts that the server to be promoted has every acknowledged commit, and
// that the log of no sealed replica goes further, and returns the end of its log. The log of
// the former primary may go further, by commits that were not acknowledged, and that of an evacuated
// replica if all that was acknowledged is known (failover.Acknowledged.MayPassOver). If the server was
// ordered before, that held at the first order, of which it must not have lost anything.
func (a *claimAttempt) checkTarget(servers []failover.Server, target string, acknowledged failover.Acknowledged) floor.ReplicationPosition {
	var promoted failover.Server
	for _, s := range servers {
		if s.ID == target {
			promoted = s
		}
	}
	targetLogEnd := promoted.LogEnd
	invariant.Check(targetLogEnd.Covers(acknowledged.Position), invariant.CurrentPrimary,
		"backend server %s at %s would be promoted, but %s was acknowledged", target, targetLogEnd, acknowledged.Position)
	if target == a.claim.Target {
		invariant.Check(targetLogEnd.Covers(a.claim.OrderedEnd), invariant.CurrentPrimary,
			"backend server %s at %s would be promoted, but was at %s when it was ordered", target, targetLogEnd, a.claim.OrderedEnd)
		return targetLogEnd
	}
	for _, s := range servers {
		invariant.Check(!s.Sealed || s.FormerPrimary || targetLogEnd.Covers(s.LogEnd) || acknowledged.MayPassOver(s, promoted), invariant.CurrentPrimary,
			"backend server %s at %s would be promoted over %s at %s", target, targetLogEnd, s.ID, s.LogEnd)
	}
	return targetLogEnd
}

// finish waits until the promoted server reports the new term, makes the former primary
// step down, and unseals the other replicas. If the new term is not confirmed, the replicas
// stay sealed: the former primary may still lead, and could have its log acknowledged by
// them.
func (a *claimAttempt) finish(ctx context.Context) {
	g := a.group
	confirmed := a.awaitTerm(ctx)
	g.options.GossipFunc()
	if !confirmed {
		g.options.Log.Warn("the new term is not confirmed; the replicas stay sealed", "group", g.options.Name, "term", a.term, "server", a.claim.Target)
		return
	}
	if a.formerPrimary != "" && a.formerPrimary != a.claim.Target {
		a.stepDownFormer(ctx)
	}
	a.unsealReplicas(ctx)
}

// awaitTerm waits until the promoted server reports the new term, and reports whether it
// did before the attempt ended.
func (a *claimAttempt) awaitTerm(ctx context.Context) bool {
	g := a.group
	for ctx.Err() == nil && a.holdsClaim() {
		sent := g.options.Clock.Now()
		if status, err := g.RunCommand(ctx, a.claim.Target, QueryStatus, 0); err == nil {
			g.recordStatus(a.claim.Target, status, sent)
			if status.Primary && status.Term > a.term {
				g.options.Log.Info("promotion took effect", "group", g.options.Name, "server", a.claim.Target, "token", a.token, "term", status.Term, "log_end", status.Received)
				return true
			}
		}
		_ = g.options.Clock.Sleep(ctx, pollPause)
	}
	return false
}
