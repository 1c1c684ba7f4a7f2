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
	// mostHolders bounds the VMs that hold connections to one server: more would
	// have fewer accounts each, and more connections between VMs.
	mostHolders = 6
	// holderShare is the part of a server's connections that its holders may have
	// together; a busy one may have more than an even part while others need less.
	holderShare = 1.1
	// restartSlot is the connections for each slot of a server that VMs which start
	// after the loss of all must find free.
	restartSlot = 5.0
	// strayShare is the part of a server's connections that VMs which hold none of
	// them may use together, while no holder serves them.
	strayShare = 0.2
)

func (f *Frontend) newForwarder() *forward.Forwarder {
	o := f.options
	return forward.New(forward.Options{
		Self: o.Self.Name, Clock: o.Clock, Log: o.Log, Trace: o.Trace,
		HoldersFunc: func(s database.Server, account string) []member.VM {
			return member.RankHolders(f.places.of(s), s.ID, account)
		},
		OpenFunc: func(ctx context.Context, v member.VM) (inner.Exchange, error) {
			t := f.transport.Load()
			if t == nil {
				return inner.Exchange{}, errNoTransport
			}
			return t.Open(ctx, v.Address, peer.Label{Region: v.Region, Control: true})
		},
		DropFunc: func(v member.VM) { f.drop(v.Address) },
	})
}

// places remembers the holders of servers for one list of VMs.
type places struct {
	mu      sync.Mutex
	members []member.VM
	holders map[string][]member.VM
}

// replace takes in the VMs of a round, unless they are the same as before.
func (p *places) replace(members []member.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Equal(p.members, members) {
		p.members, p.holders = members, map[string][]member.VM{}
	}
}

// of returns the holders of a server.
func (p *places) of(s database.Server) []member.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, ok := p.holders[s.ID]
	if !ok {
		list = member.Holders(p.members, member.HolderQuery{Server: s.ID, Zone: s.Zone, Region: s.Region, MaxHolders: mostHolders})
		p.holders[s.ID] = list
	}
	return list
}

// round begins a round of gossip.
func (f *Frontend) round() {
	f.limits.round()
	f.places.replace(f.mesh.Members())
}

// allotment is what one VM may have of a server's connections.
type allotment struct {
	// most is the connections that it may have, kept those that it keeps while they
	// are idle.
	most int
	kept int
}

// allot divides the connections of a server with some slots between its holders.
// What a loss of all VMs leaves open stays so for seconds, so that enough for the
// server's slots is not kept: those that start then have to find it.
func allot(connections, slots, holders int) allotment {
	even := 1 / float64(max(holders, 1))
	most := max(int(holderShare*float64(connections)*even), 1)
	kept := int((float64(connections) - restartSlot*float64(slots)) * even)
	return allotment{most: most, kept: min(max(kept, 1), most)}
}

// allotment returns what this VM may have of a server's connections: an even part
// of a holder, and a little for others.
func (f *Frontend) allotment(s database.Server) allotment {
	c := f.catalog.Load()
	if c == nil {
		return allotment{most: 1, kept: 1}
	}
	g, _ := c.Group(s.Group)
	holders := f.places.of(s)
	for _, v := range holders {
		if v.Name == f.options.Self.Name {
			return allot(g.Connections, s.Slots, len(holders))
		}
	}
	return allotment{most: max(int(strayShare*float64(g.Connections)/float64(f.mesh.Known())), 1)}
}
