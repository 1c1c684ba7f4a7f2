package database

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/choice"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// ErrNoServer means that no server is left to try.
var ErrNoServer = errors.New("no backend server is left to try")

// Requester identifies for whom a connection is requested.
type Requester struct {
	Account string
	Weight  int
	// Parent is the W3C traceparent of the statement's span, or "".
	Parent string
}

// ReadRequest requests a connection for a read that may run on a replica.
type ReadRequest struct {
	Requester Requester
	// Floor is the position that the read must see. Servers that are known to have
	// applied it are preferred.
	Floor floor.ReplicationPosition
	// Tried names servers to skip. It must not be nil: AcquireReader adds the one it
	// chose.
	Tried map[string]bool
	// Wait is the longest wait for the connection, without the time to open it, in
	// milliseconds.
	Wait clock.Millis
}

// AcquireReader returns a connection to the server that is cheapest for the read. It
// returns ErrNoServer if none is left, ErrEvacuated if all are in evacuated zones, or an error of the
// pool.
func (g *Group) AcquireReader(ctx context.Context, r ReadRequest) (*PooledConn, error) {
	p := g.chooseReader(r)
	if p == nil {
		return nil, g.noReaderError()
	}
	r.Tried[p.entry().ID] = true
	return g.acquire(ctx, p, ConnRequest{Group: g.options.Name, Server: p.entry(), Requester: r.Requester, Wait: r.Wait})
}

func (g *Group) chooseReader(r ReadRequest) *pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Now()
	_, leader := g.watch.Leader()
	leaderUsable := g.watch.LeaseValid(now)
	candidates := make([]choice.Candidate, 0, len(g.pools))
	for id, p := range g.pools {
		if id == leader && !leaderUsable {
			continue
		}
		inFlight, latency, avoided := p.load(now)
		candidates = append(candidates, choice.Candidate{
			Name: id, Zone: p.entry().Zone, Region: p.entry().Region, Primary: id == leader,
			Leaving: p.entry().Leaving, Evacuated: p.isEvacuated(), Avoided: avoided, Applied: g.positions[id], AppliedAge: now - g.positionSeenAt[id],
			Latency: latency, InFlight: inFlight, Slots: p.entry().Slots,
		})
	}
	return g.pools[choice.CheapestServer(candidates, choice.Requirements{
		Floor: r.Floor, Zone: g.options.Zone, Region: g.options.Region, Tried: r.Tried,
	})]
}
