package frontend

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
)

const (
	// listPause is the pause between two reads of the directory, in milliseconds.
	listPause = 2500 * clock.Millis(1)
	// listOld is the age of the directory from which a VM reads it itself.
	listOld = 4500 * clock.Millis(1)
	// listFirst is the pause between two reads before the first success.
	listFirst = clock.Millis(200)
	// leaveDivisor gives the part of the time for draining in which a leaving primary
	// gets work; the rest is for the directory to be read and for requests on their way.
	leaveDivisor = 2
)

// list reads the directory again and again until the context ends. One VM of each
// zone does so for the others, which read it themselves when they hear of none.
func (f *Frontend) list(ctx context.Context) {
	pause := listFirst
	for ctx.Err() == nil {
		if f.reads() && f.readServers(ctx) == nil {
			pause = listPause
		}
		_ = f.options.Clock.Sleep(ctx, pause)
	}
}

// readServers reads the directory and puts it in force.
func (f *Frontend) readServers(ctx context.Context) error {
	began := f.options.Clock.Now()
	servers, err := f.options.ServersFunc(ctx)
	f.dependency("directory", err)
	if err == nil {
		f.takeServers(servers, began)
	}
	return err
}

// reads reports whether this VM is to read the directory now.
func (f *Frontend) reads() bool {
	self := f.options.Self
	if f.mesh.IsRelay(self.Name, self.Zone) {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.options.Clock.Now()-f.listed >= listOld
}

// takeServers puts a directory in force that was read at a moment, unless a later
// one is.
func (f *Frontend) takeServers(servers []database.Server, at clock.Millis) {
	f.mu.Lock()
	if at <= f.listed {
		f.mu.Unlock()
		return
	}
	f.servers, f.listed = servers, at
	mark := markOf(servers)
	changed := mark != f.mark
	f.mark = mark
	f.mu.Unlock()
	if changed {
		f.arrange()
		f.mesh.Nudge()
	}
}

// markOf tells directories apart, whatever their order.
func markOf(servers []database.Server) uint64 {
	mark := uint64(len(servers)) + 1
	for _, s := range servers {
		mark += xxhash.Sum64String(fmt.Sprintf("%+v", s))
	}
	return mark
}

// hearServers takes in that another VM has a directory that was read at a moment,
// and asks for it when it is a later one and differs.
func (f *Frontend) hearServers(address string, mark uint64, at clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case mark == 0 || at <= f.listed:
	case mark == f.mark:
		f.listed = at
	case !f.asking:
		f.asking = true
		f.start(func() { f.fetchServers(address, at) })
	}
}

// fetchServers asks another VM for its directory, which is no older than a moment.
func (f *Frontend) fetchServers(address string, at clock.Millis) {
	ctx, cancel := context.WithTimeout(f.ctx, askTimeout.Duration())
	defer cancel()
	a, err := f.ask(ctx, address, inner.Ask{Topic: inner.TopicServers})
	f.mu.Lock()
	f.asking = false
	f.mu.Unlock()
	var servers []database.Server
	if err == nil {
		err = json.Unmarshal(a.Record, &servers)
	}
	if err != nil {
		f.options.Log.Info("directory not got from another VM", "address", address, "err", err)
		return
	}
	f.takeServers(servers, at)
}

// answerServers returns the directory for another VM.
func (f *Frontend) answerServers() inner.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	text, err := json.Marshal(f.servers)
	if err != nil || f.mark == 0 {
		return inner.Answer{Error: "the VM has no directory yet"}
	}
	return inner.Answer{Record: text}
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
		Protocol: o.Protocol, Counters: f.counters, Trace: o.Trace, SyncReplicas: synced, DrainTimeout: o.Drain / leaveDivisor,
		MaxConnsFunc: func(s database.Server) int { return f.allotment(s).most },
		KeepIdleFunc: func(s database.Server) int { return f.allotment(s).kept }, HolderCountFunc: func(s database.Server) int { return len(f.places.of(s)) }, RemoteConnFunc: f.forwarder.Remote,
		Self: o.Self.Name, LiveVMsFunc: func() []string { return names(f.mesh.Alive()) },
		RegionVMsFunc: f.near, ExpectedVMCountFunc: f.mesh.Known, RefreshVMsFunc: f.mesh.List,
		RefreshDirectoryFunc: f.readServers,
		GossipFunc:           f.mesh.Nudge, RegionGossipFunc: f.mesh.Refresh, StoppingFunc: f.stopping.Load, Claims: o.Claims,
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
