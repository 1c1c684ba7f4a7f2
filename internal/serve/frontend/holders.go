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
	// maxHolders bounds the VMs that hold connections to one server: more would
	// have fewer accounts each, and more connections between VMs.
	maxHolders = 6
	// holderOvercommit is the part of a server's connections that its holders may have
	// together; a busy one may have more than an even part while others need less.
	holderOvercommit = 1.1
	// restartConnsPerSlot is the connections for each slot of a server that VMs which start
	// after the loss of all must find free.
	restartConnsPerSlot = 5.0
	// nonHolderShare is the part of a server's connections that VMs which hold none of
	// them may use together, while no holder serves them.
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

// holderCache remembers the holders of servers for one list of VMs.
type holderCache struct {
	mu      sync.Mutex
	members []member.VM
	holders map[string][]member.VM
}

// setMembers takes in the VMs of a round, unless they are the same as before.
func (p *holderCache) setMembers(members []member.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Equal(p.members, members) {
		p.members, p.holders = members, map[string][]member.VM{}
	}
}

// holdersOf returns the holders of a server.
func (p *holderCache) holdersOf(s database.Server) []member.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, ok := p.holders[s.ID]
	if !ok {
		list = member.Holders(p.members, member.HolderQuery{Server: s.ID, Zone: s.Zone, Region: s.Region, MaxHolders: maxHolders})
		p.holders[s.ID] = list
	}
	return list
}

// beginRound begins a round of gossip.
func (f *Frontend) beginRound() {
	f.limiter.beginRound()
	f.holderCache.setMembers(f.mesh.Members())
}

// connLimits is what one VM may have of a server's connections.
type connLimits struct {
	// maxConns is the connections that it may have, kept those that it keeps while they
	// are idle.
	maxConns int
	keepIdle int
}

// holderConnLimits divides the connections of a server with some slots between its holders.
// What a loss of all VMs leaves open stays so for seconds, so that enough for the
// server's slots is not kept: those that start then have to find it.
func holderConnLimits(connections, slots, holders int) connLimits {
	even := 1 / float64(max(holders, 1))
	maxConns := max(int(holderOvercommit*float64(connections)*even), 1)
	keepIdle := int((float64(connections) - restartConnsPerSlot*float64(slots)) * even)
	return connLimits{maxConns: maxConns, keepIdle: min(max(keepIdle, 1), maxConns)}
}

// connLimits returns what this VM may have of a server's connections: an even part
// of a holder, and a little for others.
func (f *Frontend) connLimits(s database.Server) connLimits {
	c := f.catalog.Load()
	if c == nil {
		return connLimits{maxConns: 1, keepIdle: 1}
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
