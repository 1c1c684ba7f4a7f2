package database

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
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
	if !listed || !former.FormerPrimary || a.formerStopped() {
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
	return listed && former.FormerPrimary && a.isSealed(former)
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

// stepDownEarlier makes a server step down that leads an earlier term than the known one. It is not used any
// more, but would lead until it reaches the primary of a later term, which may be gone.
func (g *Group) stepDownEarlier(ctx context.Context, server string, status statement.ReplicationStatus) {
	term := g.Term()
	if !status.Primary || status.Term >= term {
		return
	}
	g.logEarlierPrimary(server, status.Term, term)
	status, err := g.RunCommand(ctx, server, StepDown, term)
	if err != nil {
		g.options.Log.Debug("stepping down the primary of an earlier term failed", "group", g.options.Name, "server", server, "err", err)
		return
	}
	g.recordStatus(server, status, clock.DistantPast)
}

func (g *Group) logEarlierPrimary(server string, led, term floor.Term) {
	g.options.Log.Info("stepping down the primary of an earlier term", "group", g.options.Name, "server", server, "led", led, "term", term)
}
