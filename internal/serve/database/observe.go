package database

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
)

// orderPromotion orders the promotion of a server, and logs what the order relies on and how
// it was answered. The error is that of ClaimStore.PromoteFunc.
func (a *claimAttempt) orderPromotion(ctx context.Context, target string, acknowledged failover.Acknowledged) error {
	g := a.group
	sent := g.options.Clock.Now()
	g.options.Log.Info("ordering a promotion", "group", g.options.Name, "server", target, "term", a.term, "token", a.token,
		"acknowledged", acknowledged.Position, "complete", acknowledged.Complete, "departed", acknowledged.Departed, "removed", acknowledged.Removed, "seals", a.describeSeals(), "releases", g.describeReleases())
	err := g.options.Claims.PromoteFunc(ctx, g.options.Name, target, g.options.Self, a.token)
	result := orderUnknown
	switch {
	case err == nil:
		result = orderConfirmed
	case errors.Is(err, ErrTargetDown):
		result = orderTargetDown
	}
	g.options.Counters.promotionOrders[result].Inc()
	g.options.Log.Info("order to promote answered", "group", g.options.Name, "server", target, "token", a.token, "result", string(result), "took", g.options.Clock.Now()-sent, "err", err)
	return err
}

// describeSeals lists the servers that count as sealed, each with the end of its log and the
// age of its last answer in milliseconds.
func (a *claimAttempt) describeSeals() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.group.options.Clock.Now()
	var out []string
	for id, s := range a.sealed {
		out = append(out, fmt.Sprintf("%s=%s@%dms", id, s.server.LogEnd, now-s.at))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// describeReleases lists the VMs that have reported on the group, each with the token of its last
// release, the furthest position that it acknowledged, and the age of its process and of the
// report in milliseconds.
func (g *Group) describeReleases() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Now()
	out := []string{fmt.Sprintf("%s=%d:%s", g.options.Self, g.releasedToken, g.acknowledged)}
	for vm, v := range g.votes {
		out = append(out, fmt.Sprintf("%s=%d:%s@%dms/%dms", vm, v.releasedToken, v.acknowledged, now-v.knownSince, now-v.at))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// observeReleaseLocked counts and logs that this VM has released the term. The caller holds
// g.mu.
func (g *Group) observeReleaseLocked() {
	g.options.Counters.releases.Inc()
	term, leader := g.watch.Leader()
	g.options.Log.Info("term released", "group", g.options.Name, "term", term, "primary", leader, "token", g.releasedToken, "acknowledged", g.acknowledged)
}
