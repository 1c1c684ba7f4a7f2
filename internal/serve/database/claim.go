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
	// maxStepGap is the longest time allowed between two steps of an attempt. A VM
	// that was suspended for longer may have lost its claim to a VM that received
	// nothing from it.
	maxStepGap = 2 * clock.Second
	// sealRetryPause is the pause between two attempts to seal a server.
	sealRetryPause = clock.Millis(150)
	// pollPause is the pause between two checks for releases, seals or the new term.
	pollPause = clock.Millis(20)
	// promoteRetryPause is the pause between two promotion requests.
	promoteRetryPause = clock.Millis(200)
	// claimRetryPause is the pause of a VM after an attempt, before it may start another.
	claimRetryPause = clock.Millis(400)
	// claimTakenPause replaces claimRetryPause when another VM holds the claim, so
	// that many VMs do not keep polling the store for its record.
	claimTakenPause = clock.Second
	// formerSealDelay is how long only replicas are sealed before the former primary
	// is told to step down too: one that is cut off from its replicas may have the
	// furthest log, and would be promoted again.
	formerSealDelay = clock.Millis(500)
)

// ErrClaimTaken means that another VM holds the claim.
var ErrClaimTaken = errors.New("another VM holds the claim")

// errAttemptExpired means that another VM may hold the claim by now.
var errAttemptExpired = errors.New("the attempt took too long; another VM may hold the claim")

// ErrTargetDown means that the server to be promoted is not running.
var ErrTargetDown = errors.New("the server to be promoted is not running")

// errTermAdvanced means that another claim was completed during the attempt.
var errTermAdvanced = errors.New("the group already has a later term")

// errPrimaryRecovered means that the primary became usable again before another was
// chosen.
var errPrimaryRecovered = errors.New("the primary is usable again")

// ClaimStore stores the claim records, which serialize changes of primary, and
// requests promotions. The platform implements its functions.
type ClaimStore struct {
	// ReadFunc returns the record of a group, its version (0 if there is none) and
	// the time of the store's clock.
	ReadFunc func(ctx context.Context, group string) (failover.Claim, uint64, clock.Millis, error)
	// WriteFunc replaces the record if its version is still the given one, and
	// returns the new version.
	WriteFunc func(ctx context.Context, group string, c failover.Claim, version uint64) (uint64, error)
	// PromoteFunc makes a server the primary of the group. It returns ErrTargetDown if
	// the server is not running; after any other error the server may have been
	// promoted. The fencing token is never reused and rises with each claim.
	PromoteFunc func(ctx context.Context, group, server, holder string, token uint64) error
}

// claimAttempt is one attempt to change the primary of a group.
type claimAttempt struct {
	group *Group
	// claim is the claim record as last written, version its version in the store.
	claim   failover.Claim
	version uint64
	// token is the fencing token: the version of this attempt's first write.
	token uint64
	// term is the term to be replaced, formerPrimary its primary. planned is set if the
	// former primary is leaving; it then steps down only after the promotion.
	term          floor.Term
	formerPrimary string
	planned       bool
	// startedAt is the start of the attempt, sealedAt the time at which enough
	// servers were sealed.
	startedAt clock.Millis
	sealedAt  clock.Millis

	// lastStep is the time of the last step; overdue is set once two steps were too
	// far apart or the attempt took too long.
	lastStep clock.Millis
	overdue  bool

	mu sync.Mutex
	// sealed holds the servers sealed for this claim, by ID.
	sealed map[string]failover.Server
}

// holdsClaim reports whether the claim certainly still belongs to this VM, and
// records a step. After it has returned false the attempt must send no command: what
// this VM would unseal or promote may have been sealed by another claimant.
func (a *claimAttempt) holdsClaim() bool {
	now := a.group.options.Clock.Now()
	if now-a.lastStep > maxStepGap || now-a.startedAt > failover.AttemptTimeout {
		a.overdue = true
	}
	a.lastStep = now
	return !a.overdue
}

// checkClaim returns the reason why the attempt must end, or nil. It is called before
// each step up to the promotion.
func (a *claimAttempt) checkClaim() error {
	switch {
	case !a.holdsClaim():
		return errAttemptExpired
	case a.group.Term() > a.term:
		return errTermAdvanced
	}
	return nil
}

// attemptClaim tries once to change the primary.
func (g *Group) attemptClaim(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, failover.AttemptTimeout.Duration())
	defer cancel()
	now := g.options.Clock.Now()
	a := &claimAttempt{group: g, startedAt: now, lastStep: now, sealed: map[string]failover.Server{}}
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
		g.options.Log.Warn("primary change failed", "group", g.options.Name, "term", a.term, "took", now-a.startedAt, "err", err)
		return
	}
	g.options.Log.Info("primary changed", "group", g.options.Name, "term", a.term, "server", a.claim.Target, "before", a.formerPrimary, "token", a.token, "took", now-a.startedAt)
}

// run performs the steps of a change of primary.
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
		// After any error but errTermAdvanced the replicas stay sealed, since a promotion
		// that was not confirmed may have taken effect.
		if errors.Is(err, errTermAdvanced) {
			a.unsealReplicas(ctx)
		}
		return err
	}
	a.finish(ctx)
	return nil
}

// acquireClaim writes this VM's claim to the record, unless another VM holds it.
func (a *claimAttempt) acquireClaim(ctx context.Context) error {
	g := a.group
	g.mu.Lock()
	a.term, a.formerPrimary = g.watch.Leader()
	p := g.pools[a.formerPrimary]
	a.planned = p != nil && p.entry().Leaving
	g.mu.Unlock()
	old, version, now, err := g.options.Claims.ReadFunc(ctx, g.options.Name)
	if err != nil {
		return errors.Wrap(err, "read the claim record")
	}
	g.mu.Lock()
	g.lastHolder = old.Holder
	g.mu.Unlock()
	if !old.CanTakeOver(g.options.Self, now, slices.Contains(g.options.LiveVMsFunc(), old.Holder)) {
		return ErrClaimTaken
	}
	a.claim = failover.Claim{Holder: g.options.Self, Term: a.term, ClaimedAt: now}
	if old.Term == a.term {
		a.claim.Target = old.Target
	}
	if a.version, err = g.options.Claims.WriteFunc(ctx, g.options.Name, a.claim, version); err != nil {
		return errors.Wrap(err, "write the claim record")
	}
	a.token = a.version
	g.options.Log.Info("claiming the next term", "group", g.options.Name, "term", a.term, "primary", a.formerPrimary, "planned", a.planned, "token", a.token)
	return nil
}

// sealAll seals servers until a promotion is safe. It then rereads the directory, since
// a server that has just started may already have received commits, and seals more
// servers if the promotion is no longer safe.
func (a *claimAttempt) sealAll(ctx context.Context) error {
	g := a.group
	if err := a.sealUntilSafe(ctx); err != nil {
		return err
	}
	if err := g.options.RefreshDirectoryFunc(ctx); err != nil {
		g.options.Log.Warn("directory not reread after sealing; using the earlier one", "group", g.options.Name, "err", err)
	}
	if a.isSafe(g.failoverServers(a.formerPrimary)) {
		return nil
	}
	return a.sealUntilSafe(ctx)
}

// sealUntilSafe seals servers until a promotion is safe, or the primary is usable
// again.
func (a *claimAttempt) sealUntilSafe(ctx context.Context) error {
	c := a.group.options.Clock
	for ctx.Err() == nil {
		if err := a.checkClaim(); err != nil {
			return err
		}
		servers := a.group.failoverServers(a.formerPrimary)
		var pending sync.WaitGroup
		for id, s := range servers {
			if a.isSealed(id) || s.FormerPrimary && (a.planned || c.Now()-a.startedAt < formerSealDelay) {
				continue
			}
			pending.Add(1)
			go func() {
				defer pending.Done()
				a.sealServer(ctx, id, s)
			}()
		}
		a.awaitSafe(ctx, &pending, servers)
		if a.isSafe(servers) {
			a.sealedAt = c.Now()
			return nil
		}
		if a.group.primaryRecovered() && !a.planned {
			return errPrimaryRecovered
		}
		_ = c.Sleep(ctx, sealRetryPause)
	}
	return errors.New("not enough servers could be sealed")
}

// awaitSafe waits until a promotion is safe, all pending commands have ended, or the
// context ends.
func (a *claimAttempt) awaitSafe(ctx context.Context, pending *sync.WaitGroup, servers map[string]failover.Server) {
	answered := make(chan struct{})
	go func() {
		pending.Wait()
		close(answered)
	}()
	for !a.isSafe(servers) && ctx.Err() == nil {
		select {
		case <-answered:
			return
		default:
			_ = a.group.options.Clock.Sleep(ctx, pollPause)
		}
	}
}

func (a *claimAttempt) isSealed(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sealed[id].Sealed
}

// currentServers returns the given servers, with Sealed and LogEnd of those already
// sealed.
func (a *claimAttempt) currentServers(servers map[string]failover.Server) []failover.Server {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]failover.Server, 0, len(servers))
	for id, s := range servers {
		if sealed, ok := a.sealed[id]; ok {
			sealed.Leaving = s.Leaving
			s = sealed
		}
		out = append(out, s)
	}
	return out
}

// isSafe reports whether enough of the given servers are sealed for a promotion.
func (a *claimAttempt) isSafe(servers map[string]failover.Server) bool {
	return failover.SafeToPromote(a.currentServers(servers), a.group.options.SyncReplicas)
}

// sealServer seals a replica, or makes the former primary step down.
func (a *claimAttempt) sealServer(ctx context.Context, id string, s failover.Server) {
	command := Seal
	if s.FormerPrimary {
		command = StepDown
	}
	status, err := a.group.RunCommand(ctx, id, command, a.term+1)
	if err != nil {
		a.group.options.Log.Debug("sealing a server failed", "group", a.group.options.Name, "server", id, "err", err)
		return
	}
	if status.Primary || !s.FormerPrimary && status.Sealed < a.term+1 || status.Term > a.term {
		a.group.options.Log.Info("server did not seal for the claim's term", "group", a.group.options.Name, "server", id, "primary", status.Primary, "term", status.Term, "sealed", status.Sealed)
		a.group.recordStatus(id, status, tenure.DistantPast)
		return
	}
	s.Sealed, s.LogEnd = true, status.Received
	a.mu.Lock()
	a.sealed[id] = s
	a.mu.Unlock()
}

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

// finish waits until the promoted server reports the new term, unseals the other
// replicas, and makes the former primary step down.
func (a *claimAttempt) finish(ctx context.Context) {
	g := a.group
	for ctx.Err() == nil && a.holdsClaim() {
		sent := g.options.Clock.Now()
		if status, err := g.RunCommand(ctx, a.claim.Target, QueryStatus, 0); err == nil {
			g.recordStatus(a.claim.Target, status, sent)
			if status.Primary && status.Term > a.term {
				break
			}
		}
		_ = g.options.Clock.Sleep(ctx, pollPause)
	}
	g.options.GossipFunc()
	a.unsealReplicas(ctx)
	if term := g.Term(); term > a.term && a.formerPrimary != "" && a.formerPrimary != a.claim.Target {
		if _, err := g.RunCommand(ctx, a.formerPrimary, StepDown, term); err != nil {
			g.options.Log.Debug("stepping down the former primary failed", "group", g.options.Name, "server", a.formerPrimary, "err", err)
		}
	}
}

// unsealReplicas lets the sealed replicas receive again, unless another VM may have
// sealed them since.
func (a *claimAttempt) unsealReplicas(ctx context.Context) {
	if !a.holdsClaim() {
		return
	}
	// The commands are sent even if ctx has ended, but before another VM can take over
	// the claim: AttemptTimeout plus probeTimeout does not exceed SilentHolderTimeout.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout.Duration())
	defer cancel()
	var pending sync.WaitGroup
	for _, s := range a.currentServers(a.group.failoverServers(a.formerPrimary)) {
		if !s.Sealed || s.FormerPrimary || s.ID == a.claim.Target && a.group.Term() > a.term {
			continue
		}
		pending.Add(1)
		go func() {
			defer pending.Done()
			if status, err := a.group.RunCommand(ctx, s.ID, Unseal, 0); err == nil {
				a.group.recordStatus(s.ID, status, tenure.DistantPast)
			}
		}()
	}
	pending.Wait()
}
