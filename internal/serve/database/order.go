package database

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// errOrderPending means that an order to promote a server in an earlier change of primary may
// still take effect.
var errOrderPending = errors.New("an order of an earlier change of primary may still take effect")

// endEarlierReleases ends the releases for earlier claims, unless one of them has ordered a
// promotion that may take effect. None of them can order one any more, since it would have to
// write the record first.
func (a *claimAttempt) endEarlierReleases() {
	g := a.group
	if a.acquired.Target != "" {
		g.options.Log.Warn("an order to promote may still take effect", "group", g.options.Name, "term", a.term, "server", a.acquired.Target, "age", a.acquired.ClaimedAt-a.acquired.OrderedAt)
		return
	}
	g.endRelease(a.token - 1)
	g.options.GossipFunc()
}

// awaitOrdered tries to seal the server that was ordered to be promoted, which may lead at any
// time. Another is promoted only once the order is older than failover.OrderTimeout.
func (a *claimAttempt) awaitOrdered(ctx context.Context) error {
	if err := a.checkClaim(); err != nil {
		return err
	}
	if err := a.group.options.Clock.Sleep(ctx, promoteRetryPause); err != nil {
		return errors.Wrap(err, "seal the server that was ordered to be promoted")
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout.Duration())
	defer cancel()
	a.startSeals(ctx, a.group.failoverServers(a.formerPrimary)).Wait()
	return nil
}

// recordOrder writes to the claim record that this attempt orders the promotion of a server
// whose log ends at logEnd.
func (a *claimAttempt) recordOrder(ctx context.Context, server string, logEnd floor.ReplicationPosition) error {
	if a.ordered {
		return nil
	}
	next := a.claim.WithOrder(server, logEnd)
	if err := a.writeClaim(ctx, next); err != nil {
		return err
	}
	a.claim = next
	return nil
}

// ageSeal makes confirmSeals ask a server anew: it may lead by an order without an answer, and
// must not be ordered again then.
func (a *claimAttempt) ageSeal(server string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l, ok := a.sealed[server]; ok {
		l.at = clock.DistantPast
		a.sealed[server] = l
	}
}

// withdrawOrder records that the orders of an attempt that has failed certainly have no
// effect, since each was refused or not sent. An inherited one may have.
func (a *claimAttempt) withdrawOrder(ctx context.Context) {
	if a.claim == a.acquired || a.unanswered > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout.Duration())
	defer cancel()
	if err := a.writeClaim(ctx, a.acquired); err != nil {
		a.group.options.Log.Warn("the withdrawal of an order to promote was not recorded", "group", a.group.options.Name, "err", err)
	}
}

// settleOrder records that no order is left that may take effect, once the ordered server
// leads. outstanding is the number of this attempt's orders whose effect is not known then.
func (a *claimAttempt) settleOrder(ctx context.Context, outstanding int) {
	term, leader, _ := a.group.PrimaryStatus()
	if outstanding != 0 || a.acquired.Target != "" || term <= a.term || leader != a.claim.Target {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout.Duration())
	defer cancel()
	if err := a.writeClaim(ctx, a.claim.WithoutOrder()); err != nil {
		a.group.options.Log.Debug("the end of an order to promote was not recorded", "group", a.group.options.Name, "err", err)
	}
}

// writeClaim replaces the claim record.
func (a *claimAttempt) writeClaim(ctx context.Context, next failover.Claim) error {
	version, err := a.group.options.Claims.WriteFunc(ctx, a.group.options.Name, next, a.version)
	if err != nil {
		return errors.Wrap(err, "write the claim record")
	}
	a.version = version
	return nil
}
