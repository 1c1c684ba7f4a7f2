package database

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/choice"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/regions"
)

// ErrNoServer means that no server is left to try.
var ErrNoServer = errors.New("no backend server is left to try")

// Requester identifies for whom a connection is requested.
type Requester struct {
	Account string
	// Weight is the account's share relative to others, and Priority the urgency of the request
	// among those of the account, 0 being the most urgent.
	Weight   int
	Priority int
	// Parent is the W3C traceparent of the statement's span, or "".
	Parent string
	// Regions are those of the servers and of the other VMs that the statement may reach.
	Regions regions.Allowed
	// RegionsFunc returns the allowed regions by the configuration in force at the call. A write
	// that has waited for a connection of another VM is sent only if they still contain the server
	// and that VM. The function may be nil.
	RegionsFunc func() regions.Allowed
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

// AcquireReader returns a connection to the server that is cheapest for the read. The error is
// ErrNoServer if no server is left, ErrEvacuated if all are in evacuated zones, a *RegionError if the
// allowed regions permit none, or an error of the pool.
func (g *Group) AcquireReader(ctx context.Context, r ReadRequest) (*PooledConn, error) {
	triedBefore := len(r.Tried)
	var regionErr error
	for {
		p := g.chooseReader(r)
		if p == nil && triedBefore == 0 && regionErr != nil {
			return nil, regionErr
		}
		if p == nil {
			return nil, g.noReaderError(r.Requester.Regions)
		}
		r.Tried[p.entry().ID] = true
		pc, err := g.acquire(ctx, p, ConnRequest{Group: g.options.Name, Server: p.entry(), Requester: r.Requester, Wait: r.Wait})
		if !errors.Is(err, ErrNoVMAllowed) {
			return pc, err
		}
		// VMs of the allowed regions may connect to another server.
		regionErr = err
	}
}

// chooseReader returns the pool of the cheapest server, or nil if none is left.
func (g *Group) chooseReader(r ReadRequest) *pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pools[choice.CheapestServer(g.readersLocked(g.options.Clock.Now()), g.requirements(r))]
}

// readersLocked returns the servers among which one is chosen for a read: all but a primary whose
// lease is not valid. The caller holds g.mu.
func (g *Group) readersLocked(now clock.Millis) []choice.Candidate {
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
			Leaving: p.entry().Leaving, Evacuated: p.isEvacuated(), Avoided: avoided,
			Applied: g.positions[id], AppliedAge: now - g.positionSeenAt[id],
			Latency: latency, InFlight: inFlight, Slots: p.entry().Slots,
		})
	}
	return candidates
}

// requirements returns what a read requires of a server.
func (g *Group) requirements(r ReadRequest) choice.Requirements {
	return choice.Requirements{Floor: r.Floor, Zone: g.options.Zone, Region: g.options.Region, Allowed: r.Requester.Regions, Tried: r.Tried}
}
