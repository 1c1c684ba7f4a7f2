package frontend

import (
	"context"
	"slices"
	"sync"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/traffic"
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
	// reserveShare is the share of a server's connections that its reserves may use
	// together while no holder can be reached.
	reserveShare = 0.2
)

func (f *Frontend) newForwarder() *forward.Forwarder {
	o := f.options
	return forward.New(forward.Options{
		Self: o.Self.Name, Clock: o.Clock, Log: o.Log, Trace: o.Trace,
		HoldersFunc: func(s database.Server, account string) []member.VM {
			return f.rankHolders(s, account)
		},
		ReservesFunc: func(s database.Server, account string) []member.VM {
			return member.RankHolders(f.vmsOf(s).reserves, s.ID, account)
		},
		OpenFunc: func(ctx context.Context, v member.VM) (inner.Exchange, error) {
			t := f.transport.Load()
			if t == nil {
				return inner.Exchange{}, errNoTransport
			}
			x, err := t.Open(ctx, v.Address, peer.Label{Region: v.Region, Control: true})
			if err != nil || v.Region == o.Self.Region {
				return x, err
			}
			return x.WithObserver(
				func(bytes int) { traffic.AddBetweenRegions(traffic.Statements, bytes) },
				func(bytes int) { traffic.AddBetweenRegions(traffic.Answers, bytes) },
			), nil
		},
		DropFunc: func(v member.VM) { f.dropConn(v.Address) },
	})
}

// serverVMs holds the VMs that may open connections to a server.
type serverVMs struct {
	holders  []member.VM
	reserves []member.VM
}

// holderCache caches the holders of each server, and of each group, for one list of VMs and
// one directory. setMembers must be called before the others.
type holderCache struct {
	mu      sync.Mutex
	members []member.VM
	// servers is by the server's ID, groups by the name of the group.
	servers map[string]serverVMs
	groups  map[string][]member.VM
	// registered lists the VMs in the order of their registration, or is nil while that is not
	// known.
	registered []member.VM
	// senders holds the VMs that may send to a server while it is cold, by the server's ID.
	senders map[string]coldSenders
}

// setMembers replaces the list of VMs and empties the cache, unless the list is the same.
func (c *holderCache) setMembers(members []member.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Equal(c.members, members) {
		c.members = members
		c.clearLocked()
	}
}

// clear empties the cache. It is called when the directory has changed.
func (c *holderCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clearLocked()
}

func (c *holderCache) clearLocked() {
	c.servers, c.groups, c.senders = map[string]serverVMs{}, map[string][]member.VM{}, map[string]coldSenders{}
}

// vmsOf returns the VMs that may open connections to a server.
func (c *holderCache) vmsOf(s database.Server) serverVMs {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vmsOfLocked(s)
}

func (c *holderCache) vmsOfLocked(s database.Server) serverVMs {
	v, ok := c.servers[s.ID]
	if !ok {
		q := member.HolderQuery{Server: s.ID, Zone: s.Zone, Region: s.Region, MaxHolders: maxHolders}
		v.holders = member.Holders(c.members, q)
		v.reserves = member.Reserves(c.members, v.holders, q)
		c.servers[s.ID] = v
	}
	return v
}

// groupHolders returns the VMs that hold connections to any server of a group, each once.
func (c *holderCache) groupHolders(group string, directory []database.Server) []member.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	if out, ok := c.groups[group]; ok {
		return out
	}
	var out []member.VM
	for _, s := range directory {
		if s.Group != group {
			continue
		}
		for _, v := range c.vmsOfLocked(s).holders {
			if !slices.Contains(out, v) {
				out = append(out, v)
			}
		}
	}
	c.groups[group] = out
	return out
}

// candidates returns the VMs that may replace the primary of a group: all while relays are
// not used, else those that hold connections to its servers.
func (f *Frontend) candidates(group string) []string {
	if !f.mesh.UsesRelays() {
		return nil
	}
	return vmNames(f.groupHolders(group))
}

// probers returns the VMs that probe the servers of a group along with this one: those of its
// region or, while relays are used, the group's holders in its zone. Proofs pass within a zone
// in half a second, and holders of other zones need their own. In a zone without holders no VM
// probes.
func (f *Frontend) probers(group string) []string {
	if !f.mesh.UsesRelays() {
		return f.regionVMs()
	}
	holders := f.groupHolders(group)
	near := slices.DeleteFunc(slices.Clone(holders), func(v member.VM) bool { return v.Zone != f.options.Self.Zone })
	if len(near) == 0 {
		return vmNames(holders)
	}
	return vmNames(near)
}

func (f *Frontend) groupHolders(group string) []member.VM {
	f.mu.Lock()
	directory := f.directory
	f.mu.Unlock()
	return f.holderCache.groupHolders(group, directory)
}

// beginRound begins a round of gossip: it brings the limiter's usages and the VMs from
// which holders are chosen up to date.
func (f *Frontend) beginRound() {
	f.limiter.beginRound()
	f.observeReach()
	f.holderCache.setMembers(f.mesh.Members())
	f.holderCache.setRegistered(f.registeredVMs())
	if now := f.options.Clock.Now(); now-f.heldCountedAt >= heldCountInterval {
		f.heldCountedAt = now
		f.countHeld()
	}
}

// heldCountInterval is the least pause between two counts of the servers held, in
// milliseconds.
const heldCountInterval = clock.Second

// countHeld counts the servers whose connections this VM holds by its list of VMs, and those
// of which it is a reserve. Over all VMs a server is held maxHolders times if the lists agree.
func (f *Frontend) countHeld() {
	f.mu.Lock()
	directory := f.directory
	f.mu.Unlock()
	isSelf := func(v member.VM) bool { return v.Name == f.options.Self.Name }
	held, reserved := 0, 0
	for _, s := range directory {
		vms := f.holderCache.vmsOf(s)
		if slices.ContainsFunc(vms.holders, isSelf) {
			held++
		}
		if slices.ContainsFunc(vms.reserves, isSelf) {
			reserved++
		}
	}
	f.heldGauge.Set(float64(held))
	f.reservedGauge.Set(float64(reserved))
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

// connLimits returns this VM's bounds on connections to a server: those of a holder, a small
// share without kept idle connections for a reserve, and none for any other VM. Both bounds
// are 1 while there is no catalog.
func (f *Frontend) connLimits(s database.Server) connLimits {
	c := f.catalog.Load()
	if c == nil {
		return connLimits{maxConns: 1, maxIdle: 1}
	}
	g, _ := c.Group(s.Group)
	vms := f.vmsOf(s)
	isSelf := func(v member.VM) bool { return v.Name == f.options.Self.Name }
	switch {
	case slices.ContainsFunc(vms.holders, isSelf):
		return holderConnLimits(g.MaxConnections, s.Slots, len(vms.holders))
	case slices.ContainsFunc(vms.reserves, isSelf):
		return connLimits{maxConns: max(int(reserveShare*float64(g.MaxConnections)/float64(len(vms.reserves))), 1)}
	}
	return connLimits{}
}
