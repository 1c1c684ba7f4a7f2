package frontend

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
)

const (
	// listPause is the pause between two reads of the directory, in milliseconds.
	listPause = 3000 * clock.Millis(1)
	// listFirst is the same before the first success.
	listFirst = clock.Millis(200)
	// spareShare is the part of a server's connections that is left for questions
	// and for VMs that are new.
	spareShare = 0.9
	// overShare lets a busy VM have more than an even part while others need less.
	overShare = 1.5
)

// list reads the directory again and again until the context ends.
func (f *Frontend) list(ctx context.Context) {
	pause := listFirst
	for ctx.Err() == nil {
		servers, err := f.options.ServersFunc(ctx)
		f.dependency("directory", err)
		if err == nil {
			f.mu.Lock()
			f.servers = servers
			f.mu.Unlock()
			f.arrange()
			pause = listPause
		}
		_ = f.options.Clock.Sleep(ctx, pause)
	}
}

// arrange gives every group of the configuration its servers.
func (f *Frontend) arrange() {
	c := f.catalog.Load()
	if c == nil || !f.mesh.Registered() {
		return
	}
	f.mu.Lock()
	servers := f.servers
	for name, g := range c.Groups() {
		if f.groups[name] == nil {
			f.groups[name] = f.newGroup(name, g.Synced)
		}
	}
	groups := make(map[string]*database.Group, len(f.groups))
	for name, g := range f.groups {
		groups[name] = g
	}
	f.mu.Unlock()
	for name, g := range groups {
		var own []database.Server
		for _, s := range servers {
			if s.Group == name {
				own = append(own, s)
			}
		}
		g.Update(own)
	}
}

func (f *Frontend) newGroup(name string, synced int) *database.Group {
	o := f.options
	return database.NewGroup(database.Options{
		Name: name, Zone: o.Self.Zone, Region: o.Self.Region, Clock: o.Clock, Log: o.Log,
		Protocol: o.Protocol, Counters: f.counters, Synced: synced, Leave: o.Leave,
		ShareFunc: func() int { return f.share(name) },
		Self:      o.Self.Name, VMsFunc: func() []string { return names(f.mesh.Alive()) },
		NearFunc: func() []string { return names(f.mesh.Near()) }, KnownFunc: f.mesh.Known, RefreshFunc: f.mesh.List,
		NudgeFunc: f.mesh.Nudge, FreshFunc: f.mesh.Refresh, StoppingFunc: f.stopping.Load, Claims: o.Claims,
	})
}

// names returns the names of VMs.
func names(vms []member.VM) []string {
	out := make([]string, len(vms))
	for i, v := range vms {
		out[i] = v.Name
	}
	return out
}

// share returns the connections that this VM may have to one server of a group.
func (f *Frontend) share(group string) int {
	c := f.catalog.Load()
	if c == nil {
		return 1
	}
	g, _ := c.Group(group)
	even := spareShare * float64(g.Connections) / float64(f.mesh.Known())
	return max(int(even*overShare), 1)
}
