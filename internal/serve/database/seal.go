package database

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

const (
	// sealRetryPause is the pause between two attempts to seal a server.
	sealRetryPause = clock.Millis(150)
	// formerSealDelay is how long only replicas are sealed before the former primary
	// is told to step down too: one that is cut off from its replicas may have the
	// furthest log, and would be promoted again. In a planned change all replicas are sealed by then, unless
	// one cannot be reached or has just left.
	formerSealDelay = clock.Millis(500)
)

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

// sealListed rereads the directory and seals the servers that it lists and that are not
// sealed yet. Without the directory it fails, unless the former primary has stepped down.
func (a *claimAttempt) sealListed(ctx context.Context) error {
	err := a.group.options.RefreshDirectoryFunc(ctx)
	stopped := a.formerStopped()
	if err != nil && !stopped {
		return errors.Wrap(err, "reread the directory")
	}
	if stopped {
		// A promotion is safe without these, but one of them may have the furthest log.
		once, cancel := context.WithTimeout(ctx, confirmTimeout.Duration())
		defer cancel()
		a.startSeals(once, a.group.failoverServers(a.formerPrimary)).Wait()
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
		a.awaitSafe(ctx, a.startSeals(ctx, servers), servers)
		if a.isSafe(servers) {
			a.sealedAt = c.Now()
			return nil
		}
		if a.group.primaryRecovered() && !a.planned && a.acquired.Target == "" {
			return errPrimaryRecovered
		}
		_ = c.Sleep(ctx, sealRetryPause)
	}
	return errors.Errorf("not enough servers could be sealed; the following accepted no seal: %s", strings.Join(a.unsealedServers(), ", "))
}

// unsealedServers returns the IDs of the servers that are not sealed, in order, without the former primary,
// which need not be.
func (a *claimAttempt) unsealedServers() []string {
	var out []string
	for _, s := range a.currentServers(a.group.failoverServers(a.formerPrimary)) {
		if !s.Sealed && !s.FormerPrimary {
			out = append(out, s.ID)
		}
	}
	slices.Sort(out)
	return out
}

// startSeals sends a command to each of the servers that is not sealed, and returns what
// waits for their answers.
func (a *claimAttempt) startSeals(ctx context.Context, servers map[string]failover.Server) *sync.WaitGroup {
	pending := &sync.WaitGroup{}
	for id, s := range servers {
		if a.isSealed(s) || s.FormerPrimary && a.sparesFormer(s) {
			continue
		}
		pending.Add(1)
		go func() {
			defer pending.Done()
			a.sealServer(ctx, id, s)
		}()
	}
	return pending
}

// sparesFormer reports whether the former primary is not asked to step down yet. One that is replaced because
// its zone is evacuated goes on until it is known that another can replace it.
func (a *claimAttempt) sparesFormer(former failover.Server) bool {
	return former.Evacuated && !former.Leaving || a.group.options.Clock.Now()-a.startedAt < formerSealDelay
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

// isSealed reports whether a server is sealed. The seal ends when the server starts anew.
func (a *claimAttempt) isSealed(s failover.Server) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sealed[s.ID].holds(s)
}

// holds reports whether the seal is one of the present start of a server, as far as the
// directory knows it.
func (l seal) holds(s failover.Server) bool {
	return l.server.Sealed && (s.Born == 0 || s.Born == l.server.Born)
}

// currentServers returns the given servers, with Sealed and LogEnd of those already
// sealed. A server that has started anew since is not sealed.
func (a *claimAttempt) currentServers(servers map[string]failover.Server) []failover.Server {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]failover.Server, 0, len(servers))
	for id, s := range servers {
		if l := a.sealed[id]; l.holds(s) {
			l.server.Leaving, l.server.LeavingSince, l.server.Evacuated = s.Leaving, s.LeavingSince, s.Evacuated
			s = l.server
		}
		out = append(out, s)
	}
	return out
}

// isSafe reports whether enough of the given servers are sealed for a promotion.
func (a *claimAttempt) isSafe(servers map[string]failover.Server) bool {
	return failover.SafeToPromote(a.currentServers(servers), a.group.options.SyncReplicas)
}

// sealServer seals a replica, or makes the former primary step down. One that has started anew
// in its term may have stepped down without its log, and is not recorded.
func (a *claimAttempt) sealServer(ctx context.Context, id string, s failover.Server) {
	sent := a.group.options.Clock.Now()
	status, err := a.commandSeal(ctx, id, s)
	if err != nil {
		a.group.options.Log.Debug("sealing a server failed", "group", a.group.options.Name, "server", id, "err", err)
		return
	}
	if status.Primary || !s.FormerPrimary && status.Sealed < a.term+1 || status.Term > a.term {
		a.group.options.Log.Info("server did not seal for the claim's term", "group", a.group.options.Name, "server", id, "primary", status.Primary, "term", status.Term, "sealed", status.Sealed)
		a.group.recordStatus(id, status, clock.DistantPast)
		return
	}
	g := a.group
	if s.FormerPrimary && a.group.hasRestarted(id) {
		g.options.Log.Info("former primary has started anew and may lack its log", "group", g.options.Name, "server", id, "received", status.Received)
		return
	}
	g.options.Log.Info("server sealed", "group", g.options.Name, "server", id, "token", a.token, "former", s.FormerPrimary, "term", status.Term, "log_end", status.Received, "took", g.options.Clock.Now()-sent)
	s.Sealed, s.LogEnd = true, status.Received
	a.mu.Lock()
	a.sealed[id] = seal{server: s, at: sent}
	a.mu.Unlock()
}

// commandSeal sends the command that seals a server, and returns the answer. A primary of an earlier term
// than the one to be replaced does not seal before it has stepped down.
func (a *claimAttempt) commandSeal(ctx context.Context, id string, s failover.Server) (statement.ReplicationStatus, error) {
	if s.FormerPrimary {
		return a.runCommand(ctx, id, StepDown, a.term+1)
	}
	status, err := a.runCommand(ctx, id, Seal, a.term+1)
	if err != nil || !status.Primary || status.Term >= a.term {
		return status, err
	}
	a.group.logEarlierPrimary(id, status.Term, a.term)
	if _, err := a.runCommand(ctx, id, StepDown, a.term); err != nil {
		return status, err
	}
	return a.runCommand(ctx, id, Seal, a.term+1)
}

// unsealReplicas lets the sealed replicas receive again, unless another VM may have
// sealed them since. A claimant that is gone may have sealed others, so it asks all that answer.
func (a *claimAttempt) unsealReplicas(ctx context.Context) {
	if !a.holdsClaim() {
		return
	}
	// The commands are sent even if ctx has ended, but end before another VM can take over
	// the claim: AttemptTimeout plus probeTimeout does not exceed SilentHolderTimeout.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout.Duration())
	defer cancel()
	var pending sync.WaitGroup
	a.group.options.Log.Info("unsealing the replicas", "group", a.group.options.Name, "token", a.token)
	for _, s := range a.currentServers(a.group.failoverServers(a.formerPrimary)) {
		if !s.Sealed && !a.group.answersRecently(s.ID) || s.FormerPrimary || s.ID == a.claim.Target && a.group.Term() > a.term {
			continue
		}
		pending.Add(1)
		go func() {
			defer pending.Done()
			if status, err := a.runCommand(ctx, s.ID, Unseal, 0); err == nil {
				a.group.recordStatus(s.ID, status, clock.DistantPast)
			}
		}()
	}
	pending.Wait()
}
