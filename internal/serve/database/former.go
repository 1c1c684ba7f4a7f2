package database

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// stepDownTimeout bounds the command by which the former primary steps down, before and
// after another server is promoted.
const stepDownTimeout = clock.Millis(200)

// stopFormer makes the former primary step down, wherever it can be reached. From then on
// it acknowledges nothing, also not through a server that is in nobody's list. For a former
// primary that has not answered recently the attempt does not wait.
func (a *claimAttempt) stopFormer(ctx context.Context) {
	g := a.group
	former, listed := g.failoverServers(a.formerPrimary)[a.formerPrimary]
	if !listed || a.formerStopped() {
		return
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(ctx, stepDownTimeout.Duration())
		defer cancel()
		// A busy server refuses commands.
		for ctx.Err() == nil && !a.isSealed(former) {
			a.sealServer(ctx, a.formerPrimary, former)
			_ = g.options.Clock.Sleep(ctx, pollPause)
		}
	}()
	if g.answersRecently(a.formerPrimary) {
		<-stopped
	}
}

// formerStopped reports whether the former primary has stepped down.
func (a *claimAttempt) formerStopped() bool {
	former, listed := a.group.failoverServers(a.formerPrimary)[a.formerPrimary]
	return listed && a.isSealed(former)
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
