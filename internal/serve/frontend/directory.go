package frontend

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/evacuation"
	"github.com/sycamoredoor/sycamoredoor/internal/core/freshness"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
)

const (
	// directoryInterval is the pause between two reads of the directory, in
	// milliseconds.
	directoryInterval = 2500 * clock.Millis(1)
	// directoryMaxAge is the age, in milliseconds, from which a VM reads the directory
	// although another one reads it for the region.
	directoryMaxAge = 4500 * clock.Millis(1)
	// directoryRetryInterval is the pause between two reads until the first one
	// succeeds, in milliseconds.
	directoryRetryInterval = clock.Millis(200)
	// directoryCheckInterval is the pause between two checks of the age of the directory by a
	// VM that another one reads it for, in milliseconds.
	directoryCheckInterval = clock.Millis(500)
	// drainDivisor divides the drain period into the time in which a leaving primary
	// still gets new work and the rest, in which VMs learn from the directory that it
	// leaves and requests in flight finish.
	drainDivisor = 2
)

// pollDirectory reads the directory periodically until the context ends. One VM of a region
// reads it for the others, which read it themselves only when theirs is directoryMaxAge
// old.
func (f *Frontend) pollDirectory(ctx context.Context) {
	reader := directoryReader{frontend: f, follower: freshness.NewFollower(freshness.Bounds{MaxAge: directoryMaxAge}, drawOf(f.mesh.Process()))}
	for ctx.Err() == nil {
		_ = f.options.Clock.Sleep(ctx, reader.next(ctx))
	}
}

// directoryReader reads the directory when it is due. follower decides that on a VM that does not
// read it for its region.
type directoryReader struct {
	frontend *Frontend
	follower freshness.Follower
	hasRead  bool
}

// next reads the directory if that is due, and returns the pause before the next call.
func (r *directoryReader) next(ctx context.Context) clock.Millis {
	f := r.frontend
	readsForRegion := f.mesh.ReadsForRegion()
	if !readsForRegion && !r.isDue() {
		return directoryCheckInterval
	}
	err := f.readDirectory(ctx)
	switch {
	case err == nil:
		r.hasRead, r.follower = true, r.follower.WithSuccess()
		return directoryInterval
	case !r.hasRead:
		return directoryRetryInterval
	case readsForRegion:
		return errorRetryDelay
	}
	r.follower = r.follower.WithFailure(f.options.Clock.Now())
	return directoryRetryInterval
}

// isDue reports whether the directory is too old, and this VM's turn to read it has come.
func (r *directoryReader) isDue() bool {
	f := r.frontend
	vms, now := f.mesh.KnownCount(), f.options.Clock.Now()
	f.mu.Lock()
	age := now - f.directoryReadAt
	f.mu.Unlock()
	r.follower = r.follower.WithAge(age, vms, now)
	return r.follower.MayCall(now) && r.follower.Reads(now)
}

// readDirectory reads the directory and applies it. The directory counts as read at the
// start of the call, since later changes may be missing from it.
func (f *Frontend) readDirectory(ctx context.Context) error {
	startedAt := f.options.Clock.Now()
	servers, err := f.options.ServersFunc(ctx)
	f.recordDependency("directory", err)
	if err == nil {
		f.applyDirectory(f.completeDirectory(servers), startedAt)
	}
	return err
}

// restoredDirectoryTime is how long after a restore of the store its directory may be older
// than the known one, in milliseconds. Servers register again within 2 s.
const restoredDirectoryTime = 3 * clock.Second

// completeDirectory merges the known directory into one just read, if the store was restored
// less than restoredDirectoryTime ago.
func (f *Frontend) completeDirectory(servers []database.Server) []database.Server {
	if f.options.Clock.Now()-f.lastRestore() >= restoredDirectoryTime {
		return servers
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return mergeRestored(f.directory, servers)
}

// mergeRestored completes the directory of a restored store by the known one: the copy may
// lack servers, and be older than a server's last start or the beginning of its leaving.
func mergeRestored(known, restored []database.Server) []database.Server {
	knownByID := map[string]database.Server{}
	for _, s := range known {
		knownByID[s.ID] = s
	}
	var out []database.Server
	for _, s := range restored {
		k, isKnown := knownByID[s.ID]
		delete(knownByID, s.ID)
		if isKnown && s.Born < k.Born {
			s = k
		}
		s.Leaving = s.Leaving || isKnown && s.Born == k.Born && k.Leaving
		out = append(out, s)
	}
	for _, s := range known {
		if _, missing := knownByID[s.ID]; missing {
			out = append(out, s)
		}
	}
	return out
}

// applyDirectory replaces the directory, unless the present one was read at readAt or
// later.
func (f *Frontend) applyDirectory(servers []database.Server, readAt clock.Millis) {
	f.mu.Lock()
	if readAt <= f.directoryReadAt {
		f.mu.Unlock()
		return
	}
	f.directory, f.directoryReadAt = servers, readAt
	f.setCold(servers, readAt)
	hash := hashDirectory(servers)
	changed := hash != f.directoryHash
	f.directoryHash = hash
	f.mu.Unlock()
	if changed {
		f.holderCache.clear()
		f.updateGroups()
		f.checkRegionNames()
		f.mesh.GossipSoon()
	}
}

// hashDirectory returns a hash of a directory, whatever the order of its servers. That
// of an empty directory is 1, since 0 stands for no directory. What is left of cold starts counts
// in steps of coldLeftStep, since it falls all the time.
func hashDirectory(servers []database.Server) uint64 {
	hash := uint64(len(servers)) + 1
	for _, s := range servers {
		s.ColdLeft = (s.ColdLeft + coldLeftStep - 1) / coldLeftStep * coldLeftStep
		hash += xxhash.Sum64String(fmt.Sprintf("%#v", s))
	}
	return hash
}

// compareDirectory compares this VM's directory with that of the VM at address, which
// has the given hash and was read at readAt. A later directory that differs is fetched;
// for a later one that is the same, only directoryReadAt advances.
func (f *Frontend) compareDirectory(address string, hash uint64, readAt clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case hash == 0 || readAt <= f.directoryReadAt:
	case hash == f.directoryHash:
		f.directoryReadAt = readAt
		f.coldReadAt.Store(int64(readAt))
	case !f.fetchingDirectory:
		f.fetchingDirectory = true
		f.spawn(func() { f.fetchDirectory(address, readAt) })
	}
}

// fetchDirectory asks another VM for its directory, which was read at readAt or later,
// and applies it.
func (f *Frontend) fetchDirectory(address string, readAt clock.Millis) {
	asked := f.options.Clock.Now()
	answer, err := f.ask(address, inner.Question{Topic: inner.TopicServers})
	f.mu.Lock()
	f.fetchingDirectory = false
	f.mu.Unlock()
	var servers []database.Server
	if err == nil {
		err = json.Unmarshal(answer.Payload, &servers)
	}
	if err != nil {
		f.fetchFailures.Inc()
		f.options.Log.Info("fetching the directory from another VM failed", "address", address, "took", f.options.Clock.Now()-asked, "err", err)
		return
	}
	f.applyDirectory(servers, readAt)
}

// answerDirectory answers another VM that asks for the directory.
func (f *Frontend) answerDirectory() inner.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	text, err := json.Marshal(f.agedDirectory(f.directory))
	if err != nil || f.directoryHash == 0 {
		return inner.Answer{Error: "the VM has no directory yet"}
	}
	return inner.Answer{Payload: text}
}

// updateGroups creates the groups of the configuration that do not exist yet and gives
// every group its servers. It does nothing before this VM has a configuration and is
// registered.
func (f *Frontend) updateGroups() {
	c := f.catalog.Load()
	if c == nil || !f.mesh.Registered() {
		return
	}
	f.mu.Lock()
	servers := f.directory
	for name, g := range c.Groups() {
		if f.groups[name] == nil {
			f.groups[name] = f.newGroup(name, g.SyncReplicas)
		}
	}
	groups := make(map[string]*database.Group, len(f.groups))
	for name, g := range f.groups {
		groups[name] = g
	}
	f.mu.Unlock()
	for name, g := range groups {
		var groupServers []database.Server
		for _, s := range servers {
			if s.Group == name {
				groupServers = append(groupServers, s)
			}
		}
		g.Update(groupServers)
	}
}

func (f *Frontend) newGroup(name string, syncReplicas int) *database.Group {
	o := f.options
	return database.NewGroup(database.Options{
		Name: name, Zone: o.Self.Zone, Region: o.Self.Region, Clock: o.Clock, Log: o.Log,
		Protocol: o.Protocol, Counters: f.counters, Trace: o.Trace, SyncReplicas: syncReplicas, DrainTimeout: o.DrainPeriod / drainDivisor,
		MaxConnsFunc:    func(s database.Server) int { return f.connLimits(s).maxConns },
		MaxIdleFunc:     func(s database.Server) int { return f.connLimits(s).maxIdle },
		HolderCountFunc: func(s database.Server) int { return len(f.vmsOf(s).holders) }, RemoteConnFunc: f.forwarder.Remote,
		ColdFunc: f.cold, ColdShareFunc: f.coldShare,
		Self: o.Self.Name, LiveVMsFunc: func() []string { return vmNames(f.mesh.Alive()) },
		LeavingVMsFunc: func() []string { return vmNames(f.mesh.Leaving()) }, VMRemovedAtFunc: f.mesh.RemovedAt,
		SettledFunc:    f.mesh.Settled,
		UsesRelaysFunc: f.mesh.UsesRelays,
		ProbersFunc:    func() []string { return f.probers(name) },
		CandidatesFunc: func() []string { return f.candidates(name) }, ExpectedVMCountFunc: f.mesh.KnownCount, RefreshVMsFunc: f.mesh.RefreshVMs,
		RefreshDirectoryFunc: f.readDirectory,
		ProvedFunc:           f.announceProof,
		GossipFunc:           f.mesh.GossipSoon, RegionGossipFunc: f.mesh.RegionGossipSoon,
		StoppingFunc: f.isStopping, Claims: o.Claims, RestoredAtFunc: f.lastRestore,
		EvacuatedSinceFunc: f.evacuatedSince, Evacuation: evacuation.NewBounds(o.EvacuationDeadline),
	})
}

// vmNames returns the names of VMs.
func vmNames(vms []member.VM) []string {
	out := make([]string, len(vms))
	for i, v := range vms {
		out[i] = v.Name
	}
	return out
}
