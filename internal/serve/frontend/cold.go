package frontend

import (
	"math/rand/v2"
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/slowstart"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
)

// restoredListTime is how long after a restore of the store its list of VMs may lack some that run,
// in milliseconds.
const restoredListTime = 10 * clock.Second

// coldLeftStep is the granularity with which VMs compare the rest of a cold start in directories, in
// milliseconds.
const coldLeftStep = 5 * clock.Second

// listRequestPause is the least time between two calls of requestList that read the list of VMs, in
// milliseconds.
const listRequestPause = 2 * clock.Second

// setCold records until when the servers of a directory are cold. The rest of a cold start counts from
// now instead of from readAt, which may be earlier than the actual read.
func (f *Frontend) setCold(servers []database.Server, readAt clock.Millis) {
	now := f.options.Clock.Now()
	until := map[string]clock.Millis{}
	for _, s := range servers {
		if s.ColdLeft > 0 {
			until[s.ID] = now + s.ColdLeft
		}
	}
	f.coldUntil.Store(&until)
	f.coldReadAt.Store(int64(readAt))
}

// coldEnd returns the time until which a server is cold, or 0.
func (f *Frontend) coldEnd(server string) clock.Millis {
	if until := f.coldUntil.Load(); until != nil {
		return (*until)[server]
	}
	return 0
}

// agedDirectory returns a directory with the rest of the cold starts as of now.
func (f *Frontend) agedDirectory(servers []database.Server) []database.Server {
	now := f.options.Clock.Now()
	out := slices.Clone(servers)
	for i := range out {
		out[i].ColdLeft = max(f.coldEnd(out[i].ID)-now, 0)
	}
	return out
}

// coldSenders holds the VMs that may send to a server while it is cold, for one limit.
type coldSenders struct {
	limit   slowstart.Limit
	senders []slowstart.Sender
}

// registeredVMs returns the VMs in the order of their registration. It returns nil while the list has no
// row that equals this VM or, for restoredListTime after a restore of the store, lacks a running VM.
func (f *Frontend) registeredVMs() []member.VM {
	list := f.mesh.List().VMs
	if !slices.Contains(list, f.options.Self) {
		f.requestList()
		return nil
	}
	if f.options.Clock.Now()-f.lastRestore() < restoredListTime {
		isListed := func(v member.VM) bool {
			return slices.ContainsFunc(list, func(o member.VM) bool { return o.Name == v.Name })
		}
		if slices.ContainsFunc(f.mesh.Members(), func(v member.VM) bool { return !isListed(v) }) {
			return nil
		}
	}
	return list
}

// requestList reads the list of VMs if there is a limit for cold servers. A list from before the
// registration of this VM lacks it, and the next periodic read may be much later.
func (f *Frontend) requestList() {
	c, now := f.catalog.Load(), f.options.Clock.Now()
	if c == nil || f.options.ColdExcess <= 0 || !f.mesh.Registered() || f.listRequestedAt != 0 && now-f.listRequestedAt < listRequestPause {
		return
	}
	for _, g := range c.Groups() {
		if g.ColdRate > 0 {
			f.listRequestedAt = now
			f.spawn(func() { _ = f.mesh.RefreshVMs(f.ctx) })
			return
		}
	}
}

// setRegistered replaces the list of VMs in the order of their registration.
func (c *holderCache) setRegistered(vms []member.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Equal(c.registered, vms) {
		c.registered = vms
		clear(c.senders)
	}
}

// sendersOf returns the VMs that may send to a server while it is cold.
func (c *holderCache) sendersOf(s database.Server, l slowstart.Limit) []slowstart.Sender {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sendersOfLocked(s, l)
}

// sendersOfLocked is sendersOf for a caller that holds c.mu.
func (c *holderCache) sendersOfLocked(s database.Server, l slowstart.Limit) []slowstart.Sender {
	v, ok := c.senders[s.ID]
	if !ok || v.limit != l {
		v = coldSenders{limit: l, senders: slowstart.Senders(c.registered, s.Zone, l)}
		if c.senders != nil {
			c.senders[s.ID] = v
		}
	}
	return v.senders
}

// runningSenders returns those of sendersOf that are presumably running.
func (c *holderCache) runningSenders(s database.Server, l slowstart.Limit) []slowstart.Sender {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(c.sendersOfLocked(s, l)), func(o slowstart.Sender) bool {
		return !slices.ContainsFunc(c.members, func(v member.VM) bool { return v.Name == o.VM.Name && !v.Leaving })
	})
}

// coldGroup returns the group of a server and the limit for its cold servers. The limit is not set
// before there is a catalog.
func (f *Frontend) coldGroup(s database.Server) (catalog.Group, slowstart.Limit) {
	c := f.catalog.Load()
	if c == nil {
		return catalog.Group{}, slowstart.Limit{}
	}
	g, _ := c.Group(s.Group)
	return g, slowstart.Limit{PerSecond: g.ColdRate, Excess: f.options.ColdExcess, Slack: f.options.ColdSlack}
}

// cold returns what the configuration and the directory report of a server's cold starts.
func (f *Frontend) cold(s database.Server) database.Cold {
	g, l := f.coldGroup(s)
	if !l.IsSet() {
		return database.Cold{}
	}
	return database.Cold{Limited: true, Until: f.coldEnd(s.ID), ReadAt: clock.Millis(f.coldReadAt.Load()), StartTime: g.ColdTime}
}

// coldShare returns the number of callers' statements in any second that this VM may send to a
// server while it is cold: none after the end of service, since this VM then leaves the list.
func (f *Frontend) coldShare(s database.Server) int {
	if f.ended.Load() {
		return 0
	}
	_, l := f.coldGroup(s)
	for _, o := range f.holderCache.sendersOf(s, l) {
		if o.VM.Name == f.options.Self.Name {
			return o.Share
		}
	}
	return 0
}

// isCold reports whether a server is cold by the directory, and there is a limit.
func (f *Frontend) isCold(s database.Server) bool {
	end := f.coldEnd(s.ID)
	return end != 0 && f.options.Clock.Now() < end && f.cold(s).Limited
}

// vmsOf returns the VMs that may open connections to a server now. Those of a cold server are the
// ones that may send to it, without reserves.
func (f *Frontend) vmsOf(s database.Server) serverVMs {
	if !f.isCold(s) {
		return f.holderCache.vmsOf(s)
	}
	_, l := f.coldGroup(s)
	var out serverVMs
	for _, o := range f.holderCache.runningSenders(s, l) {
		out.holders = append(out.holders, o.VM)
	}
	return out
}

// rankHolders returns the holders of a server in the order in which a request of an account tries
// them. Those of a cold server take turns in proportion to their shares, because an account whose
// statements all went to one of them would be limited to its share.
func (f *Frontend) rankHolders(s database.Server, account string) []member.VM {
	if !f.isCold(s) {
		return member.RankHolders(f.holderCache.vmsOf(s).holders, s.ID, account)
	}
	_, l := f.coldGroup(s)
	return slowstart.Order(f.holderCache.runningSenders(s, l), rand.Uint64())
}
