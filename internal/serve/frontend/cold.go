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

// coldLeftStep is the step of what is left of a cold start by which VMs compare directories, in
// milliseconds.
const coldLeftStep = 5 * clock.Second

// listAskPause is the least pause between two reads of the list of VMs because it lacks this one, in
// milliseconds.
const listAskPause = 2 * clock.Second

// setCold records until when the servers of a directory are cold. What is left counts from now, and
// not from the time of the read, which may be known as too early.
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

// agedDirectory returns a directory with what is left of the cold starts now.
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

// registeredVMs returns the VMs in the order of their registration, or nil while that is not known:
// the list does not have this VM as it is now, or lacks some that run since the store was restored.
func (f *Frontend) registeredVMs() []member.VM {
	list := f.mesh.List().VMs
	if !slices.Contains(list, f.options.Self) {
		f.askForList()
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

// askForList reads the list of VMs if there is a limit for cold servers: the one that this VM read
// before its registration lacks it, and the next periodic read may be far off.
func (f *Frontend) askForList() {
	c, now := f.catalog.Load(), f.options.Clock.Now()
	if c == nil || f.options.ColdExcess <= 0 || !f.mesh.Registered() || f.listAskedAt != 0 && now-f.listAskedAt < listAskPause {
		return
	}
	for _, g := range c.Groups() {
		if g.ColdRate > 0 {
			f.listAskedAt = now
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

// cold returns what is stated of a server's cold starts.
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

// isCold reports whether the directory says that a server is cold, and there is a limit.
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
// them. Those of a cold server are first according to their shares: an account whose statements
// all went to one of them would get that share only.
func (f *Frontend) rankHolders(s database.Server, account string) []member.VM {
	if !f.isCold(s) {
		return member.RankHolders(f.holderCache.vmsOf(s).holders, s.ID, account)
	}
	_, l := f.coldGroup(s)
	return slowstart.Order(f.holderCache.runningSenders(s, l), rand.Uint64())
}
