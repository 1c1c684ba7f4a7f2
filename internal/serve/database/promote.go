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
	// stepDownTimeout bounds the command by which a former primary steps down once
	// another server was promoted.
	stepDownTimeout = clock.Millis(200)
)

// awaitRelease waits until no VM uses the old term: every VM has released it, or
// every lease on it has expired.
func (a *claimAttempt) awaitRelease(ctx context.Context) error {
	g := a.group
	g.releaseTerm(a.token)
	g.options.GossipFunc()
	// A lease counts from a time at which the group was not sealed yet.
	leaseExpiry := a.sealedAt + tenure.Lease + tenure.MaxClockDrift
	// Only a list read after the seal contains every VM that may use the term.
	complete := g.options.RefreshVMsFunc(ctx) == nil
	for g.options.Clock.Now() < leaseExpiry && !(complete && g.termReleased(a.token)) {
		if err := a.checkClaim(); err != nil {
			return err
		}
		if g.options.Clock.Sleep(ctx, pollPause) != nil {
			return ctx.Err()
		}
	}
	return nil
}

// promote promotes the sealed server with the furthest log. It repeats a request that
// was not confirmed, except after ErrTargetDown.
func (a *claimAttempt) promote(ctx context.Context) error {
	g := a.group
	for ctx.Err() == nil {
		servers := g.failoverServers(a.formerPrimary)
		candidates := a.currentServers(servers)
		if !failover.SafeToPromote(candidates, g.options.SyncReplicas) {
			return errors.New("the directory lists a new server that is not sealed")
		}
		target := failover.PromotionTarget(candidates)
		a.checkTarget(candidates, target)
		if target != a.claim.Target {
			a.claim.Target = target
			version, err := g.options.Claims.WriteFunc(ctx, g.options.Name, a.claim, a.version)
			if err != nil {
				return errors.Wrap(err, "write the claim record")
			}
			a.version = version
		}
		if err := a.checkClaim(); err != nil {
			return err
		}
		err := g.options.Claims.PromoteFunc(ctx, g.options.Name, target, g.options.Self, a.token)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, ErrTargetDown):
			a.mu.Lock()
			delete(a.sealed, target)
			a.mu.Unlock()
			return err
		}
		g.options.Log.Warn("promotion not confirmed; retrying", "group", g.options.Name, "server", target, "err", err)
		_ = g.options.Clock.Sleep(ctx, promoteRetryPause)
	}
	return ctx.Err()
}

// checkTarget asserts that the log of no sealed server goes further than that of the
// server to be promoted.
func (a *claimAttempt) checkTarget(servers []failover.Server, target string) {
	var targetLogEnd floor.ReplicationPosition
	for _, s := range servers {
		if s.ID == target {
			targetLogEnd = s.LogEnd
		}
	}
	for _, s := range servers {
		invariant.Check(!s.Sealed || targetLogEnd.Covers(s.LogEnd), invariant.CurrentPrimary,
			"backend server %s at %s would be promoted over %s at %s", target, targetLogEnd, s.ID, s.LogEnd)
	}
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

// stepDownFormer makes the former primary step down. It waits for at most stepDownTimeout,
// since the new primary acknowledges nothing while its replicas are sealed.
func (a *claimAttempt) stepDownFormer(ctx context.Context) {
	g := a.group
	ctx, cancel := context.WithTimeout(ctx, stepDownTimeout.Duration())
	defer cancel()
	if _, err := a.runCommand(ctx, a.formerPrimary, StepDown, g.Term()); err != nil {
		g.options.Log.Debug("stepping down the former primary failed", "group", g.options.Name, "server", a.formerPrimary, "err", err)
	}
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
				return true
			}
		}
		_ = g.options.Clock.Sleep(ctx, pollPause)
	}
	return false
}
