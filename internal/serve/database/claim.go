package database

import (
	"context"
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

const (
	// maxStepGap is the longest time allowed between two steps of an attempt. A VM
	// that was suspended for longer may have lost its claim to a VM that received
	// nothing from it.
	maxStepGap = 2 * clock.Second
	// pollPause is the pause between two checks for releases, seals or the new term.
	pollPause = clock.Millis(20)
	// claimRetryPause is the pause of a VM after an attempt, before it may start another.
	claimRetryPause = clock.Millis(400)
	// claimTakenPause replaces claimRetryPause when another VM holds the claim, so
	// that many VMs do not keep polling the store for its record.
	claimTakenPause = clock.Second
)

// ErrClaimTaken means that another VM holds the claim.
var ErrClaimTaken = errors.New("another VM holds the claim")

// errAttemptExpired means that another VM may hold the claim by now.
var errAttemptExpired = errors.New("the attempt took too long; another VM may hold the claim")

// errStoreRestored means that the store came back from a copy, which may lack a claim.
var errStoreRestored = errors.New("the store came back from a copy, which may lack a claim")

// ErrTargetDown means that the server to be promoted is not running.
var ErrTargetDown = errors.New("the server to be promoted is not running")

// ErrOrderRefused means that a server is certainly not promoted by the request.
var ErrOrderRefused = errors.New("the promotion service has refused the request")

// errTermAdvanced means that another claim was completed during the attempt.
var errTermAdvanced = errors.New("the group already has a later term")

// errTermBehind means that a claim for a later term than this VM knew has been written. The VM knows it now.
var errTermBehind = errors.New("a later term than the known one has been claimed")

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
	// the server is not running, and ErrOrderRefused if nothing was done; after any other
	// error the server may be promoted at once or seconds later. The fencing token is never
	// reused and rises with each claim.
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
	// former primary is leaving or evacuated.
	term          floor.Term
	formerPrimary string
	planned       bool
	// startedAt is the start of the attempt, sealedAt the time at which enough
	// servers were sealed.
	startedAt clock.Millis
	sealedAt  clock.Millis
	// released is set once every VM has released the term, ordered before the first order to
	// promote.
	released bool
	ordered  bool
	// acquired is the claim record as first written, with the order of an earlier attempt if
	// that may still take effect. unanswered counts this attempt's orders without an answer.
	acquired   failover.Claim
	unanswered int
	// logMissingSince is the time since which no sealed server has every acknowledged
	// commit, or 0.
	logMissingSince clock.Millis

	mu sync.Mutex
	// lastStep is the time of the last step; overdue is set once two steps were too
	// far apart, the attempt took too long or a later claim is known.
	lastStep clock.Millis
	overdue  bool
	// sealed holds the servers sealed for this claim, by ID.
	sealed map[string]seal
}

// seal is a server that is sealed, and the time of its last answer that says so.
type seal struct {
	server failover.Server
	at     clock.Millis
}

// holdsClaim reports whether the claim certainly still belongs to this VM, and
// records a step. After it has returned false the attempt must send no command: what
// this VM would unseal or promote may have been sealed by another claimant.
func (a *claimAttempt) holdsClaim() bool {
	now := a.group.options.Clock.Now()
	taken := a.group.knowsLaterClaim(a.token)
	a.mu.Lock()
	defer a.mu.Unlock()
	if taken || now-a.lastStep > maxStepGap || now-a.startedAt > failover.AttemptTimeout {
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
	case a.group.options.RestoredAtFunc() > a.startedAt:
		return errStoreRestored
	}
	return nil
}

// attemptClaim tries once to change the primary.
func (g *Group) attemptClaim(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, failover.AttemptTimeout.Duration())
	defer cancel()
	now := g.options.Clock.Now()
	a := &claimAttempt{group: g, startedAt: now, lastStep: now, sealed: map[string]seal{}}
	err := a.run(ctx)
	now = g.options.Clock.Now()
	g.mu.Lock()
	g.claiming, g.claimAfter = false, now+claimRetryPause
	if errors.Is(err, ErrClaimTaken) || errors.Is(err, errOrderPending) {
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
	if err := a.replace(ctx); err != nil {
		// After an order to promote the replicas stay sealed and the term stays released, since
		// a promotion that was not confirmed may take effect still.
		if !a.ordered && a.acquired.Target == "" || errors.Is(err, errTermAdvanced) {
			a.giveUp(ctx)
		}
		if errors.Is(err, errTermAdvanced) {
			a.settleOrder(ctx, a.unanswered-1)
		} else {
			a.withdrawOrder(ctx)
		}
		return err
	}
	a.finish(ctx)
	a.settleOrder(ctx, a.unanswered)
	return nil
}

// replace stops the use of the old term and promotes a server.
func (a *claimAttempt) replace(ctx context.Context) error {
	if err := a.sealLeaving(ctx); err != nil {
		return err
	}
	if err := a.sealAll(ctx); err != nil {
		return err
	}
	if err := a.checkSuccessor(ctx); err != nil {
		return err
	}
	a.stopFormer(ctx)
	if err := a.awaitRelease(ctx); err != nil {
		return err
	}
	return a.promote(ctx)
}

// giveUp lets the group go on in the old term.
func (a *claimAttempt) giveUp(ctx context.Context) {
	a.unsealReplicas(ctx)
	if a.holdsClaim() {
		a.group.endRelease(a.token)
		a.group.options.GossipFunc()
	}
}

// knowsLaterClaim reports whether a VM has released the term for a claim with a higher token.
func (g *Group) knowsLaterClaim(token uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.releasedToken > token
}

// awaitsClaims reports whether another VM may be at work on a claim that the store has lost.
func (g *Group) awaitsClaims(now clock.Millis) bool {
	return now-g.options.RestoredAtFunc() < failover.RestoreDelay
}

// acquireClaim writes this VM's claim to the record, unless another VM holds it.
func (a *claimAttempt) acquireClaim(ctx context.Context) error {
	g := a.group
	g.mu.Lock()
	a.term, a.formerPrimary = g.watch.Leader()
	g.mu.Unlock()
	old, version, now, err := g.options.Claims.ReadFunc(ctx, g.options.Name)
	if err != nil {
		return errors.Wrap(err, "read the claim record")
	}
	if g.awaitsClaims(g.options.Clock.Now()) {
		return errStoreRestored
	}
	g.mu.Lock()
	g.lastHolder = old.Holder
	g.mu.Unlock()
	if !old.CanTakeOver(g.options.Self, now, slices.Contains(g.options.LiveVMsFunc(), old.Holder)) {
		return ErrClaimTaken
	}
	if old.Term > a.term {
		g.learnClaimedTerm(old)
		return errTermBehind
	}
	if a.formerPrimary == "" && old.Term == a.term {
		a.formerPrimary = old.Former
	}
	a.planned = g.isLeavingOrEvacuated(a.formerPrimary)
	next, ok := old.WithHolder(g.options.Self, a.term, a.formerPrimary, now)
	if !ok {
		return errOrderPending
	}
	next = next.WithNeeded(g.acknowledgedPosition())
	a.claim, a.acquired = next, next
	if a.version, err = g.options.Claims.WriteFunc(ctx, g.options.Name, a.claim, version); err != nil {
		return errors.Wrap(err, "write the claim record")
	}
	a.token = a.version
	a.endEarlierReleases()
	g.mu.Lock()
	g.lastHolder = g.options.Self
	g.mu.Unlock()
	g.options.Log.Info("claiming the next term", "group", g.options.Name, "term", a.term, "primary", a.formerPrimary, "planned", a.planned, "token", a.token, "inherited_target", a.claim.Target, "last_holder", old.Holder, "last_claim_age", now-old.ClaimedAt, "needed", next.Needed)
	return nil
}

// learnClaimedTerm records the term of a claim record that no server or VM has reported to this VM. It was in
// force, since a VM claims only a term that a server reported to it. All that knew it may have ended.
//
// The attempt ends. The next one follows when the term has been without a known primary for
// failover.LostAfter; until then servers and VMs can report its primary, or a later term. The former primary,
// unless it is listed, counts as one that has just left the directory.
func (g *Group) learnClaimedTerm(c failover.Claim) {
	g.mu.Lock()
	defer g.mu.Unlock()
	known, _ := g.watch.Leader()
	g.options.Log.Info("learned a term from the claim record", "group", g.options.Name, "term", c.Term, "known_term", known, "primary", c.Former, "last_holder", c.Holder)
	g.setWatch(g.watch.WithTerm(c.Term, ""))
	if _, unlisted := g.unlistedSince[c.Former]; c.Former != "" && g.pools[c.Former] == nil && !unlisted {
		g.unlistedSince[c.Former] = g.options.Clock.Now()
	}
}

// runCommand runs a command of the claimant, unless the claim may belong to another VM once
// there is a connection to send it on.
func (a *claimAttempt) runCommand(ctx context.Context, server string, c Command, term floor.Term) (statement.ReplicationStatus, error) {
	pc, err := a.group.commandConn(ctx, server)
	if err != nil {
		return statement.ReplicationStatus{}, err
	}
	defer pc.Release()
	if !a.holdsClaim() {
		return statement.ReplicationStatus{}, errAttemptExpired
	}
	return pc.RunCommand(c, term, commandTimeout(ctx))
}
