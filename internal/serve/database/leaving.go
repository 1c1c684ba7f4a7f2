package database

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// catchUpTimeout is how long an attempt waits until a replica that stays has the logs of those that leave,
// in milliseconds. Commits wait as long.
const catchUpTimeout = clock.Millis(300)

// errStayingBehind means that no replica that stays has the logs of those that leave.
var errStayingBehind = errors.New("no replica that stays has received the log of one that leaves")

// sealLeaving seals, in a planned change, the replicas that leave or are evacuated before the others, and waits
// until one of the others has their logs. The primary goes on to acknowledge with the replicas that are
// sealed last, and one that leaves may end with its log before the others have that. It returns
// errStayingBehind if none has it in time, while the primary gets work for long enough to try again.
func (a *claimAttempt) sealLeaving(ctx context.Context) error {
	if !a.planned || a.acquired.Target != "" {
		return nil
	}
	leaving, staying := a.listedReplicas()
	if len(leaving) == 0 || len(staying) == 0 {
		return nil
	}
	once, cancel := context.WithTimeout(ctx, confirmTimeout.Duration())
	a.startSeals(once, leaving).Wait()
	cancel()
	var end floor.ReplicationPosition
	for _, s := range a.currentServers(leaving) {
		end = end.Max(s.LogEnd)
	}
	if a.awaitReceived(ctx, staying, end) || !a.group.mayRetryReplacement(a.formerPrimary) {
		return ctx.Err()
	}
	return errStayingBehind
}

// listedReplicas returns the listed replicas that leave or are evacuated, and the others.
func (a *claimAttempt) listedReplicas() (leaving, staying map[string]failover.Server) {
	leaving, staying = map[string]failover.Server{}, map[string]failover.Server{}
	for id, s := range a.group.failoverServers(a.formerPrimary) {
		switch {
		case s.FormerPrimary || !a.group.isListed(id):
		case s.Leaving || s.Evacuated:
			leaving[id] = s
		default:
			staying[id] = s
		}
	}
	return leaving, staying
}

// awaitReceived asks servers until one has received a position, for catchUpTimeout at most. It reports
// whether one has.
func (a *claimAttempt) awaitReceived(ctx context.Context, servers map[string]failover.Server, position floor.ReplicationPosition) bool {
	c := a.group.options.Clock
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout.Duration())
	defer cancel()
	for ctx.Err() == nil {
		received := make(chan bool, len(servers))
		for id := range servers {
			go func() {
				status, err := a.runCommand(ctx, id, QueryStatus, 0)
				received <- err == nil && status.Received.Covers(position)
			}()
		}
		for range servers {
			if <-received {
				return true
			}
		}
		_ = c.Sleep(ctx, pollPause)
	}
	return false
}

// isListed reports whether the directory lists a server.
func (g *Group) isListed(server string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pools[server] != nil
}

// mayRetryReplacement reports whether a leaving primary gets work for so long that its replacement may be
// tried again.
func (g *Group) mayRetryReplacement(primary string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mayRetryReplacementLocked(primary, g.options.Clock.Now())
}

// mayRetryReplacementLocked is mayRetryReplacement at time now. The caller holds g.mu.
func (g *Group) mayRetryReplacementLocked(primary string, now clock.Millis) bool {
	since, leaving := g.leavingSince[primary]
	return leaving && now-since < g.options.DrainTimeout*replacementPercent/100
}
