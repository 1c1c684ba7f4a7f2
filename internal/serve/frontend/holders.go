package frontend

import (
	"context"
	"slices"
	"sync"

	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/peer"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/forward"
)

const (
	// maxHolders is the largest number of VMs that hold connections to one server. With
	// more, each would serve fewer accounts and there would be more connections between
	// VMs.
	maxHolders = 6
	// holderOvercommit is the share of a server's connections that its holders may open
	// together. It is above 1 so that a busy holder may have more than an even share
	// while others need less.
	holderOvercommit = 1.1
	// restartConnsPerSlot is the number of connections for each slot of a server that
	// must be free for the VMs that start after the loss of all VMs.
	restartConnsPerSlot = 5.0
	// nonHolderShare is the share of a server's connections that the VMs which are not
	// its holders may use together while no holder serves them.
	nonHolderShare = 0.2
)

func (f *Frontend) newForwarder() *forward.Forwarder {
	o := f.options
	return forward.New(forward.Options{
		Self: o.Self.Name, Clock: o.Clock, Log: o.Log, Trace: o.Trace,
		HoldersFunc: func(s database.Server, account string) []member.VM {
			return member.RankHolders(f.holderCache.holdersOf(s), s.ID, account)
		},
		OpenFunc: func(ctx context.Context, v member.VM) (inner.Exchange, error) {
			t := f.transport.Load()
			if t == nil {
				return inner.Exchange{}, errNoTransport
			}
			return t.Open(ctx, v.Address, peer.Label{Region: v.Region, Control: true})
		},
		DropFunc: func(v member.VM) { f.dropConn(v.Address) },
	})
}

// holderCache caches the holders of each server for one list of VMs. setMembers must be
// called before holdersOf.
type holderCache struct {
	mu      sync.Mutex
	members []member.VM
	// holders is by the server's ID.
	holders map[string][]member.VM
}

// setMembers replaces the list of VMs and empties the cache, unless the list is the same.
func (c *holderCache) setMembers(members []member.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Equal(c.members, members) {
		c.members, c.holders = members, map[string][]member.VM{}
	}
}

// holdersOf returns the VMs that hold the connections to a server.
func (c *holderCache) holdersOf(s database.Server) []member.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	list, ok := c.holders[s.ID]
	if !ok {
		list = member.Holders(c.members, member.HolderQuery{Server: s.ID, Zone: s.Zone, Region: s.Region, MaxHolders: maxHolders})
		c.holders[s.ID] = list
	}
	return list
}

// beginRound begins a round of gossip: it brings the limiter's usages and the VMs from
// which holders are chosen up to date.
func (f *Frontend) beginRound() {
	f.limiter.beginRound()
	f.holderCache.setMembers(f.mesh.Members())
}

// connLimits bounds one VM's connections to a server.
type connLimits struct {
	// maxConns is the number of connections that the VM may open, maxIdle the number of
	// open ones up to which idle ones are kept for longer.
	maxConns int
	maxIdle  int
}

// holderConnLimits divides a server's connections between its holders. After a loss of
// all VMs the server keeps their connections open for seconds. The holders therefore keep
// so few idle ones that the VMs which start next find restartConnsPerSlot free for each
// slot of the server.
func holderConnLimits(connections, slots, holders int) connLimits {
	evenShare := 1 / float64(max(holders, 1))
	maxConns := max(int(holderOvercommit*float64(connections)*evenShare), 1)
	maxIdle := int((float64(connections) - restartConnsPerSlot*float64(slots)) * evenShare)
	return connLimits{maxConns: maxConns, maxIdle: min(max(maxIdle, 1), maxConns)}
}

// connLimits returns this VM's bounds on connections to a server: those of a holder, or
// a small share without kept idle connections if it is not one. Both bounds are 1 while
// there is no catalog.
func (f *Frontend) connLimits(s database.Server) connLimits {
	c := f.catalog.Load()
	if c == nil {
		return connLimits{maxConns: 1, maxIdle: 1}
	}
	g, _ := c.Group(s.Group)
	holders := f.holderCache.holdersOf(s)
	for _, v := range holders {
		if v.Name == f.options.Self.Name {
			return holderConnLimits(g.MaxConnections, s.Slots, len(holders))
		}
	}
	return connLimits{maxConns: max(int(nonHolderShare*float64(g.MaxConnections)/float64(f.mesh.KnownCount())), 1)}
}
