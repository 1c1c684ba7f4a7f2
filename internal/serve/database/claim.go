package database

import (
	"context"
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/tenure"
)

const (
	// maxStepGap is the most that may pass between two steps. A VM that was suspended
	// for longer may not have been heard, and have lost its claim to another.
	maxStepGap = 2 * clock.Second
	// sealRetryPause is the pause between two attempts to seal a server.
	sealRetryPause = clock.Millis(150)
	// pollPause is the pause between two looks at what the others released.
	pollPause = clock.Millis(20)
	// promoteRetryPause is the pause between two attempts to order a promotion.
	promoteRetryPause = clock.Millis(200)
	// claimRetryPause is the pause after an attempt that failed.
	claimRetryPause = clock.Millis(400)
	// claimTakenPause is the same when another VM has the claim, so that many VMs do not ask
	// the store for its record again and again.
	claimTakenPause = clock.Second
	// formerSealDelay is how long replicas alone are sealed before the former primary
	// is told to step down too: one that is cut off would be chosen again.
	formerSealDelay = clock.Millis(500)
)

// ErrClaimTaken means that another VM has the claim.
var ErrClaimTaken = errors.New("another VM has the claim")

// errAttemptExpired means that the claim may be another VM's by now.
var errAttemptExpired = errors.New("the attempt took so long that the claim may be another VM's")

// ErrTargetDown means that the server which was to be promoted does not run.
var ErrTargetDown = errors.New("the server to be promoted does not run")

// errTermAdvanced means that another claim has been carried out meanwhile.
var errTermAdvanced = errors.New("the group has a later term already")

// errPrimaryRecovered means that the primary is back before another was chosen.
var errPrimaryRecovered = errors.New("the primary may be used again")

// ClaimStore keeps the records of changes of primary, and orders promotions. Its
// fields are the seams of the platform.
type ClaimStore struct {
	// ReadFunc returns the record of a group, its version (0 when there is none)
	// and the moment of the store's clock.
	ReadFunc func(ctx context.Context, group string) (failover.Claim, uint64, clock.Millis, error)
	// WriteFunc replaces the record if it still has the version.
	WriteFunc func(ctx context.Context, group string, c failover.Claim, version uint64) (uint64, error)
	// PromoteFunc has a server lead the group. The token never repeats and rises
	// with each claim. It returns ErrTarget when the server does not run.
	PromoteFunc func(ctx context.Context, group, server, holder string, token uint64) error
}

// claimAttempt is one try to change the primary of a group.
type claimAttempt struct {
	group *Group
	claim failover.Claim
	// version is that of the claim's record.
	version uint64
	// token is the version of the first write of this attempt.
	token         uint64
	term          floor.Term
	formerPrimary string
	planned       bool
	// startedAt is the moment of the attempt, sealedAt that at which enough was sealed.
	startedAt clock.Millis
	sealedAt  clock.Millis

	// lastStep is the moment of the last step, overdue set once there was none for too long.
	lastStep clock.Millis
	overdue  bool

	mu      sync.Mutex
	members map[string]failover.Server
}

// holdsClaim reports whether the claim is certainly still this VM's, and notes a step. Once
// it is not, nothing is ordered any more: what this VM would let go or promote may be
// what another has sealed.
func (a *claimAttempt) holdsClaim() bool {
	now := a.group.options.Clock.Now()
	if now-a.lastStep > maxStepGap || now-a.startedAt > failover.AttemptTimeout {
		a.overdue = true
	}
	a.lastStep = now
	return !a.overdue
}

// checkClaim tells why the attempt must end, before each order of it.
func (a *claimAttempt) checkClaim() error {
	switch {
	case !a.holdsClaim():
		return errAttemptExpired
	case a.group.Term() > a.term:
		return errTermAdvanced
	}
	return nil
}

// attemptClaim tries to change the primary once.
func (g *Group) attemptClaim(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, failover.AttemptTimeout.Duration())
	defer cancel()
	now := g.options.Clock.Now()
	a := &claimAttempt{group: g, startedAt: now, lastStep: now, members: map[string]failover.Server{}}
	err := a.run(ctx)
	now = g.options.Clock.Now()
	g.mu.Lock()
	g.claiming, g.claimAfter = false, now+claimRetryPause
	if errors.Is(err, ErrClaimTaken) {
		g.claimAfter = now + claimTakenPause
	}
	if err == nil {
		g.ignoreStallUntil = now + stallPause
	}
	g.mu.Unlock()
	if err != nil {
		g.options.Log.Warn("change of primary not made", "group", g.options.Name, "term", a.term, "took", now-a.startedAt, "err", err)
		return
	}
	g.options.Log.Info("primary changed", "group", g.options.Name, "term", a.term, "server", a.claim.Target, "before", a.formerPrimary, "token", a.token, "took", now-a.startedAt)
}

// run makes the steps of a change of primary.
func (a *claimAttempt) run(ctx context.Context) error {
	if err := a.acquireClaim(ctx); err != nil {
		return err
	}
	if err := a.sealAll(ctx); err != nil {
		a.unsealReplicas(ctx)
		return err
	}
	if err := a.awaitRelease(ctx); err != nil {
		a.unsealReplicas(ctx)
		return err
	}
	if err := a.promote(ctx); err != nil {
		if errors.Is(err, errTermAdvanced) {
			a.unsealReplicas(ctx)
		}
		return err
	}
	a.finish(ctx)
	return nil
}

// acquireClaim takes the claim's record.
func (a *claimAttempt) acquireClaim(ctx context.Context) error {
	g := a.group
	g.mu.Lock()
	a.term, a.formerPrimary = g.watch.Leader()
	p := g.pools[a.formerPrimary]
	a.planned = p != nil && p.entry().Leaving
	g.mu.Unlock()
	old, version, now, err := g.options.Claims.ReadFunc(ctx, g.options.Name)
	if err != nil {
		return errors.Wrap(err, "record of the claim")
	}
	g.mu.Lock()
	g.claimHolder = old.Holder
	g.mu.Unlock()
	if !old.CanTakeOver(g.options.Self, now, slices.Contains(g.options.LiveVMsFunc(), old.Holder)) {
		return ErrClaimTaken
	}
	a.claim = failover.Claim{Holder: g.options.Self, Term: a.term, ClaimedAt: now}
	if old.Term == a.term {
		a.claim.Target = old.Target
	}
	if a.version, err = g.options.Claims.WriteFunc(ctx, g.options.Name, a.claim, version); err != nil {
		return errors.Wrap(err, "record of the claim")
	}
	a.token = a.version
	g.options.Log.Info("claiming the next term", "group", g.options.Name, "term", a.term, "primary", a.formerPrimary, "planned", a.planned, "token", a.token)
	return nil
}

// sealAll seals servers until the claim is safe by a directory that was read after
// the seal: a server that has just started may have received commits before.
func (a *claimAttempt) sealAll(ctx context.Context) error {
	g := a.group
	if err := a.sealUntilSafe(ctx); err != nil {
		return err
	}
	if err := g.options.RefreshDirectoryFunc(ctx); err != nil {
		g.options.Log.Warn("the servers are sealed by an earlier directory", "group", g.options.Name, "err", err)
	}
	if a.isSafe(g.failoverMembers(a.formerPrimary)) {
		return nil
	}
	return a.sealUntilSafe(ctx)
}

// sealUntilSafe seals servers until the claim is safe.
func (a *claimAttempt) sealUntilSafe(ctx context.Context) error {
	c := a.group.options.Clock
	for ctx.Err() == nil {
		if err := a.checkClaim(); err != nil {
			return err
		}
		servers := a.group.failoverMembers(a.formerPrimary)
		var wait sync.WaitGroup
		for id, m := range servers {
			if a.isSealed(id) || m.Former && (a.planned || c.Now()-a.startedAt < formerSealDelay) {
				continue
			}
			wait.Add(1)
			go func() {
				defer wait.Done()
				a.sealServer(ctx, id, m)
			}()
		}
		a.awaitSafe(ctx, &wait, servers)
		if a.isSafe(servers) {
			a.sealedAt = c.Now()
			return nil
		}
		if a.group.primaryUsable() && !a.planned {
			return errPrimaryRecovered
		}
		_ = c.Sleep(ctx, sealRetryPause)
	}
	return errors.New("not enough servers could be sealed")
}

// awaitSafe waits for the answers, or until enough have come.
func (a *claimAttempt) awaitSafe(ctx context.Context, wait *sync.WaitGroup, servers map[string]failover.Server) {
	all := make(chan struct{})
	go func() {
		wait.Wait()
		close(all)
	}()
	for !a.isSafe(servers) && ctx.Err() == nil {
		select {
		case <-all:
			return
		default:
			_ = a.group.options.Clock.Sleep(ctx, pollPause)
		}
	}
}

func (a *claimAttempt) isSealed(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.members[id].Sealed
}

// currentMembers returns the servers as they are known now.
func (a *claimAttempt) currentMembers(servers map[string]failover.Server) []failover.Server {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]failover.Server, 0, len(servers))
	for id, m := range servers {
		if sealed, ok := a.members[id]; ok {
			sealed.Leaving = m.Leaving
			m = sealed
		}
		out = append(out, m)
	}
	return out
}

func (a *claimAttempt) isSafe(servers map[string]failover.Server) bool {
	return failover.SafeToPromote(a.currentMembers(servers), a.group.options.SyncReplicas)
}

// sealServer seals a replica, or has the former primary step down.
func (a *claimAttempt) sealServer(ctx context.Context, id string, m failover.Server) {
	order := Seal
	if m.Former {
		order = StepDown
	}
	t, err := a.group.RunCommand(ctx, id, order, a.term+1)
	if err != nil {
		a.group.options.Log.Debug("not sealed", "group", a.group.options.Name, "server", id, "err", err)
		return
	}
	if t.Primary || !m.Former && t.Sealed < a.term+1 || t.Term > a.term {
		a.group.options.Log.Info("server not sealed as asked", "group", a.group.options.Name, "server", id, "primary", t.Primary, "term", t.Term, "sealed", t.Sealed)
		a.group.recordStatus(id, t, tenure.DistantPast)
		return
	}
	m.Sealed, m.Log = true, t.Received
	a.mu.Lock()
	a.members[id] = m
	a.mu.Unlock()
}

// awaitRelease waits until no VM uses the old term any more: all have said so,
// or what they could have is over.
func (a *claimAttempt) awaitRelease(ctx context.Context) error {
	g := a.group
	g.releaseTerm(a.token)
	g.options.GossipFunc()
	end := a.sealedAt + tenure.Lease + tenure.MaxClockDrift
	// Only a list that was read after the seal has every VM that may use the term.
	complete := g.options.RefreshVMsFunc(ctx) == nil
	for g.options.Clock.Now() < end && !(complete && g.termReleased(a.token)) {
		if err := a.checkClaim(); err != nil {
			return err
		}
		if g.options.Clock.Sleep(ctx, pollPause) != nil {
			return ctx.Err()
		}
	}
	return nil
}

// promote has the sealed server with the furthest log lead.
func (a *claimAttempt) promote(ctx context.Context) error {
	g := a.group
	for ctx.Err() == nil {
		servers := g.failoverMembers(a.formerPrimary)
		members := a.currentMembers(servers)
		if !failover.SafeToPromote(members, g.options.SyncReplicas) {
			return errors.New("a server was listed that is not sealed")
		}
		target := failover.PromotionTarget(members)
		a.checkTarget(members, target)
		if target != a.claim.Target {
			a.claim.Target = target
			version, err := g.options.Claims.WriteFunc(ctx, g.options.Name, a.claim, a.version)
			if err != nil {
				return errors.Wrap(err, "record of the claim")
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
			delete(a.members, target)
			a.mu.Unlock()
			return err
		}
		g.options.Log.Warn("promotion not confirmed; ordering it again", "group", g.options.Name, "server", target, "err", err)
		_ = g.options.Clock.Sleep(ctx, promoteRetryPause)
	}
	return ctx.Err()
}

// checkTarget asserts that no sealed server has more than the one to be promoted.
func (a *claimAttempt) checkTarget(members []failover.Server, target string) {
	var chosen floor.ReplicationPosition
	for _, m := range members {
		if m.ID == target {
			chosen = m.Log
		}
	}
	for _, m := range members {
		invariant.Check(!m.Sealed || chosen.Covers(m.Log), invariant.CurrentPrimary,
			"backend server %s at %s would be promoted over %s at %s", target, chosen, m.ID, m.Log)
	}
}

// finish finds the new term, lets the other servers go, and has the former
// primary step down.
func (a *claimAttempt) finish(ctx context.Context) {
	g := a.group
	for ctx.Err() == nil && a.holdsClaim() {
		sent := g.options.Clock.Now()
		if t, err := g.RunCommand(ctx, a.claim.Target, QueryStatus, 0); err == nil {
			g.recordStatus(a.claim.Target, t, sent)
			if t.Primary && t.Term > a.term {
				break
			}
		}
		_ = g.options.Clock.Sleep(ctx, pollPause)
	}
	g.options.GossipFunc()
	a.unsealReplicas(ctx)
	if term := g.Term(); term > a.term && a.formerPrimary != "" && a.formerPrimary != a.claim.Target {
		if _, err := g.RunCommand(ctx, a.formerPrimary, StepDown, term); err != nil {
			g.options.Log.Debug("the former primary was not told to step down", "group", g.options.Name, "server", a.formerPrimary, "err", err)
		}
	}
}

// unsealReplicas lets the sealed replicas receive again, unless another VM may have sealed
// them meanwhile.
func (a *claimAttempt) unsealReplicas(ctx context.Context) {
	if !a.holdsClaim() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout.Duration())
	defer cancel()
	var wait sync.WaitGroup
	for _, m := range a.currentMembers(a.group.failoverMembers(a.formerPrimary)) {
		if !m.Sealed || m.Former || m.ID == a.claim.Target && a.group.Term() > a.term {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			if t, err := a.group.RunCommand(ctx, m.ID, Unseal, 0); err == nil {
				a.group.recordStatus(m.ID, t, tenure.DistantPast)
			}
		}()
	}
	wait.Wait()
}
