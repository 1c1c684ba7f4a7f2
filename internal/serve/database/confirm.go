package database

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
)

const (
	// sealMaxAge is how long the answer of a sealed server counts before an order to
	// promote, confirmTimeout how long the claimant waits for the next one.
	sealMaxAge     = clock.Millis(300)
	confirmTimeout = clock.Millis(300)
)

// confirmSafe makes sure that a promotion is safe still: an attempt may last for seconds. What
// is not sealed any more, or new in the directory, is sealed. If a VM that was not heard may
// have used the old term by it, its lease is waited out anew.
func (a *claimAttempt) confirmSafe(ctx context.Context) error {
	for ctx.Err() == nil {
		confirmed := a.confirmSeals(ctx)
		safe := a.isSafe(a.group.failoverServers(a.formerPrimary))
		if safe && (confirmed || a.formerStopped()) {
			return nil
		}
		if err := a.sealListed(ctx); err != nil {
			return err
		}
		if a.released || a.formerStopped() {
			continue
		}
		if err := a.awaitRelease(ctx); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// confirmSeals asks each sealed server anew whose last answer is older than sealMaxAge, and
// forgets the seal if the server does not confirm it: a restart ends a seal, and a server
// that starts anew may have lost its log. It reports whether all have confirmed it.
func (a *claimAttempt) confirmSeals(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout.Duration())
	defer cancel()
	var pending sync.WaitGroup
	var lost atomic.Bool
	for _, s := range a.oldSeals() {
		pending.Go(func() {
			if !a.confirmSeal(ctx, s) {
				lost.Store(true)
			}
		})
	}
	pending.Wait()
	return !lost.Load()
}

// oldSeals returns the sealed servers whose last answer is older than sealMaxAge.
func (a *claimAttempt) oldSeals() []failover.Server {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []failover.Server
	for _, s := range a.sealed {
		if a.group.options.Clock.Now()-s.at > sealMaxAge {
			out = append(out, s.server)
		}
	}
	return out
}

// confirmSeal asks one sealed server, and forgets its seal unless it confirms it.
func (a *claimAttempt) confirmSeal(ctx context.Context, s failover.Server) bool {
	sent := a.group.options.Clock.Now()
	status, err := a.runCommand(ctx, s.ID, QueryStatus, 0)
	holds := s.FormerPrimary || status.Sealed > a.term
	confirmed := err == nil && !status.Primary && holds && status.Received.Covers(s.LogEnd)
	if err == nil {
		// The server may lead a later term.
		a.group.recordStatus(s.ID, status, clock.DistantPast)
	}
	if !confirmed {
		a.group.options.Log.Warn("a sealed server does not confirm its seal", "group", a.group.options.Name, "server", s.ID, "term", status.Term, "sealed", status.Sealed, "received", status.Received, "err", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.sealed, s.ID)
	if confirmed {
		a.sealed[s.ID] = seal{server: s, at: sent}
	}
	return confirmed
}
