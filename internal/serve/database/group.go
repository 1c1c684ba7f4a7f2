package database

import (
	"context"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/base/trace"
	"github.com/sycamoredoor/sycamoredoor/internal/core/choice"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/tenure"
)

// Counters are those of all groups of a VM.
type Counters struct {
	connections    *metrics.Counter
	probes         *metrics.Counter
	primaryChanges *metrics.Counter
}

// NewCounters registers the counters.
func NewCounters() Counters {
	return Counters{
		connections:    metrics.GetOrCreateCounter("sycamoredoor_server_connections_total"),
		probes:         metrics.GetOrCreateCounter("sycamoredoor_server_probes_total"),
		primaryChanges: metrics.GetOrCreateCounter("sycamoredoor_primary_changes_total"),
	}
}

// Options makes a group.
type Options struct {
	Name     string
	Zone     member.Zone
	Region   string
	Clock    clock.Clock
	Log      *log.Logger
	Protocol Protocol
	Counters Counters
	Trace    *trace.Tracer
	// DrainTimeout is how long a leaving primary gets new work, in milliseconds; 0 sets no bound.
	DrainTimeout clock.Millis
	// SyncReplicas is the number of replicas that have a commit before it is acknowledged.
	SyncReplicas int
	// MaxConnsFunc returns the connections that this VM may have to a server, KeepFunc
	// those that it keeps while they are idle, and HoldersFunc the number of VMs that
	// share the server's.
	MaxConnsFunc    func(s Server) int
	KeepIdleFunc    func(s Server) int
	HolderCountFunc func(s Server) int
	// RemoteConnFunc returns a connection of the VM that holds those of the account, or
	// nil when this VM is to use its own. It may be nil.
	RemoteConnFunc func(ctx context.Context, a ConnRequest) *RemoteConn
	// Self is the name of this VM, VMsFunc lists those there with this one, and
	// KnownFunc counts those that should be there.
	Self        string
	LiveVMsFunc func() []string
	// RegionVMsFunc lists those of the own region that may be there.
	RegionVMsFunc       func() []string
	ExpectedVMCountFunc func() int
	// RefreshVMsFunc reads anew which VMs should be there.
	RefreshVMsFunc func(ctx context.Context) error
	// RefreshDirectoryFunc reads the directory of servers anew.
	RefreshDirectoryFunc func(ctx context.Context) error
	// GossipFunc has the other VMs told soon what this one knows, FreshFunc those of
	// the own region.
	GossipFunc       func()
	RegionGossipFunc func()
	// StoppingFunc reports whether this VM is to stop.
	StoppingFunc func() bool
	Claims       ClaimStore
}

// Group is a database group as one VM serves it.
type Group struct {
	options Options

	mu    sync.Mutex
	watch tenure.Watch
	pools map[string]*pool
	// marks are the latest state of each server, seen the moments they were seen at.
	marks          map[string]floor.ReplicationPosition
	positionSeenAt map[string]clock.Millis
	// leaderChanged is closed and replaced when the leader or its proof changed.
	leaderChanged chan struct{}
	// loggedLeader is what was logged last.
	loggedLeader string
	// probedAt holds the moments at which servers were asked last.
	probedAt map[string]clock.Millis
	// createdAt is the moment at which this VM began to serve the group.
	createdAt clock.Millis
	// learnedAt is the moment at which the term or its leader became known.
	learnedAt clock.Millis
	// unlistedSince holds the moments since which servers are off the directory.
	unlistedSince map[string]clock.Millis
	// leavingSince holds the moments since which servers are known to leave.
	leavingSince map[string]clock.Millis
	// fullSize is the number of servers that stay, as it was before one began to leave.
	fullSize int
	// committedAt is the moment of the last commit that this VM saw acknowledged.
	committedAt clock.Millis
	votes       map[string]vote
	received    map[string]receivedPosition
	// releasedToken is that of the last claim for which the term was given up.
	releasedToken uint64
	// claimHolder is the VM that made the last change of primary.
	claimHolder string
	// lostSince is the moment at which this VM lost the primary, or 0.
	lostSince clock.Millis
	// claiming is set during an attempt; none begins before claimAfter, and none
	// for replicas that receive nothing before stuckUntil.
	claiming         bool
	claimAfter       clock.Millis
	ignoreStallUntil clock.Millis
}

// NewGroup returns a group without servers.
func NewGroup(o Options) *Group {
	return &Group{
		options: o, createdAt: o.Clock.Now(), watch: tenure.New(o.SyncReplicas), pools: map[string]*pool{}, marks: map[string]floor.ReplicationPosition{}, positionSeenAt: map[string]clock.Millis{},
		leaderChanged: make(chan struct{}), probedAt: map[string]clock.Millis{}, unlistedSince: map[string]clock.Millis{}, leavingSince: map[string]clock.Millis{},
		votes: map[string]vote{}, received: map[string]receivedPosition{},
	}
}

// Update takes in the servers that the directory lists for the group.
func (g *Group) Update(servers []Server) {
	listed := map[string]bool{}
	g.mu.Lock()
	var closing []*pool
	for _, s := range servers {
		listed[s.ID] = true
		delete(g.unlistedSince, s.ID)
		if _, known := g.leavingSince[s.ID]; s.Leaving && !known {
			g.leavingSince[s.ID] = g.options.Clock.Now()
		}
		if !s.Leaving {
			delete(g.leavingSince, s.ID)
		}
		p := g.pools[s.ID]
		if p != nil && (p.entry().Address != s.Address || p.entry().Born != s.Born) {
			closing = append(closing, p)
			p = nil
		}
		if p == nil {
			g.pools[s.ID] = newPool(g, s)
			g.options.Log.Info("backend server listed", "group", g.options.Name, "server", s.ID, "zone", s.Zone, "leaving", s.Leaving)
			continue
		}
		if p.entry().Leaving != s.Leaving {
			g.options.Log.Info("backend server changed", "group", g.options.Name, "server", s.ID, "leaving", s.Leaving)
		}
		p.server.Store(&s)
	}
	for id, p := range g.pools {
		if !listed[id] {
			delete(g.pools, id)
			delete(g.marks, id)
			delete(g.positionSeenAt, id)
			g.unlistedSince[id] = g.options.Clock.Now()
			closing = append(closing, p)
			g.options.Log.Info("backend server gone", "group", g.options.Name, "server", id)
		}
	}
	g.updateFullSize()
	g.mu.Unlock()
	for _, p := range closing {
		p.close()
	}
}

// updateFullSize notes how many servers the group has while none leaves. One that has
// just been listed may be the replacement of one that is about to. It needs the lock.
func (g *Group) updateFullSize() {
	now := g.options.Clock.Now()
	for _, p := range g.pools {
		if p.entry().Leaving || g.fullSize > 0 && now-p.listedAt < establishedAfter {
			return
		}
	}
	g.fullSize = len(g.pools)
}

// establishedAfter is how long a server must be listed to count as one of the group's
// usual ones, in milliseconds.
const establishedAfter = 10 * clock.Second

// recordPosition takes in the end of a server's log as an answer gave it.
func (g *Group) recordPosition(server string, m floor.ReplicationPosition, sent clock.Millis) {
	if m.IsZero() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.marks[server] = g.marks[server].Max(m)
	g.positionSeenAt[server] = g.options.Clock.Now()
	g.setWatch(g.watch.WithPosition(server, m, sent))
}

func (g *Group) recordCommit(server string, m floor.ReplicationPosition, sent clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.committedAt = g.options.Clock.Now()
	g.setWatch(g.watch.WithCommit(server, m, sent))
}

// setWatch replaces the watch and tells those who wait for a leader. It needs the lock.
func (g *Group) setWatch(w tenure.Watch) {
	now := g.options.Clock.Now()
	before := g.watch.LeaseValid(now)
	oldTerm, oldLeader := g.watch.Leader()
	g.watch = w
	term, leader := w.Leader()
	if term != oldTerm || leader != oldLeader {
		g.learnedAt = now
	}
	if leader != g.loggedLeader && leader != "" {
		g.options.Counters.primaryChanges.Inc()
		g.options.Log.Info("primary of the group", "group", g.options.Name, "term", term, "server", leader, "before", g.loggedLeader)
		g.loggedLeader = leader
	}
	if !before && w.LeaseValid(now) {
		close(g.leaderChanged)
		g.leaderChanged = make(chan struct{})
	}
}

// Ready reports whether the group has a primary that may be used now.
func (g *Group) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.watch.LeaseValid(g.options.Clock.Now())
}

// Floor returns what a read must see that began at a moment: every commit older
// than age, and the mark of its session. It is false while that is not known.
func (g *Group) Floor(began, age clock.Millis, own floor.ReplicationPosition) (floor.ReplicationPosition, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f, ok := g.watch.Floor(began - age)
	if !ok {
		return floor.ReplicationPosition{}, false
	}
	return g.watch.RaiseFloor(f, own)
}

// Term returns the newest term known.
func (g *Group) Term() floor.Term {
	g.mu.Lock()
	defer g.mu.Unlock()
	term, _ := g.watch.Leader()
	return term
}

// PrimaryStatus returns the newest term known, its primary, and the age in
// milliseconds of the proof that it leads, or a negative one without a proof.
func (g *Group) PrimaryStatus() (floor.Term, string, clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	term, leader := g.watch.Leader()
	if g.watch.ProvedAt() == tenure.DistantPast {
		return term, leader, -1
	}
	return term, leader, g.options.Clock.Now() - g.watch.ProvedAt()
}

// ErrNoPrimary means that no server may be used as the primary now.
var ErrNoPrimary = errors.New("the database group has no confirmed primary now")

// ErrNoServer means that no server is left to try.
var ErrNoServer = errors.New("no backend server is left to try")

// Requester asks for a connection.
type Requester struct {
	Account string
	Weight  int
	// Parent is the W3C traceparent of the statement's span, or "".
	Parent string
}

// AcquirePrimary returns a connection to the primary within the wait in milliseconds.
func (g *Group) AcquirePrimary(ctx context.Context, w Requester, wait clock.Millis) (*PooledConn, error) {
	c := g.options.Clock
	end := c.Now() + wait
	p, err := g.awaitPrimary(ctx, end)
	if err != nil {
		return nil, err
	}
	h, err := g.acquire(ctx, p, ConnRequest{Group: g.options.Name, Server: p.entry(), Requester: w, Primary: true, Wait: end - c.Now()})
	if err != nil {
		return nil, err
	}
	if !g.confirmed(p) {
		h.Release()
		return nil, ErrNoPrimary
	}
	invariant.Check(!g.pastDrain(p.entry().ID), invariant.LeavingServer, "%s has left and would get work", p.entry().ID)
	return h, nil
}

// pastDrainLocked reports whether a server has been leaving for so long that it gets no
// new work, even as the primary. It needs the lock.
func (g *Group) pastDrainLocked(server string, now clock.Millis) bool {
	since, leaving := g.leavingSince[server]
	return leaving && g.options.DrainTimeout > 0 && now-since >= g.options.DrainTimeout
}

func (g *Group) pastDrain(server string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	// A little more than the bound, since the check comes after the choice.
	return g.pastDrainLocked(server, g.options.Clock.Now()-drainSlack)
}

// drainSlack is how long work may be on its way to a leaving server, in milliseconds.
const drainSlack = 2 * clock.Second

// confirmed reports whether a pool's server may be used as the primary now.
func (g *Group) confirmed(p *pool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, leader := g.watch.Leader()
	now := g.options.Clock.Now()
	return leader == p.entry().ID && g.watch.LeaseValid(now) && !g.pastDrainLocked(leader, now)
}

// awaitPrimary waits until the group has a confirmed primary.
func (g *Group) awaitPrimary(ctx context.Context, end clock.Millis) (*pool, error) {
	for {
		g.mu.Lock()
		now := g.options.Clock.Now()
		_, leader := g.watch.Leader()
		p, changed := g.pools[leader], g.leaderChanged
		usable := g.watch.LeaseValid(now) && (p == nil || !g.pastDrainLocked(leader, now))
		g.mu.Unlock()
		if usable && p != nil {
			return p, nil
		}
		if now >= end {
			return nil, ErrNoPrimary
		}
		fired, stop := g.options.Clock.AfterFunc(end - now)
		select {
		case <-changed:
		case <-fired:
		case <-ctx.Done():
		}
		stop()
		if ctx.Err() != nil {
			return nil, ErrNoPrimary
		}
	}
}

// ReadRequest is a read that may run on a replica.
type ReadRequest struct {
	Requester Requester
	Floor     floor.ReplicationPosition
	Tried     map[string]bool
	// Wait is in milliseconds.
	Wait clock.Millis
}

// AcquireReader returns a connection to the server that should answer a read best.
func (g *Group) AcquireReader(ctx context.Context, r ReadRequest) (*PooledConn, error) {
	p := g.chooseReader(r)
	if p == nil {
		return nil, ErrNoServer
	}
	r.Tried[p.entry().ID] = true
	return g.acquire(ctx, p, ConnRequest{Group: g.options.Name, Server: p.entry(), Requester: r.Requester, Wait: r.Wait})
}

func (g *Group) chooseReader(r ReadRequest) *pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Now()
	_, leader := g.watch.Leader()
	leaderUsable := g.watch.LeaseValid(now)
	candidates := make([]choice.Candidate, 0, len(g.pools))
	for id, p := range g.pools {
		if id == leader && !leaderUsable {
			continue
		}
		waiting, latency, avoided := p.load(now)
		candidates = append(candidates, choice.Candidate{
			Name: id, Zone: p.entry().Zone, Region: p.entry().Region, Primary: id == leader,
			Leaving: p.entry().Leaving, Avoided: avoided, Applied: g.marks[id], AppliedAge: now - g.positionSeenAt[id],
			Latency: latency, InFlight: waiting, Slots: p.entry().Slots,
		})
	}
	return g.pools[choice.CheapestServer(candidates, choice.Requirements{
		Floor: r.Floor, Zone: g.options.Zone, Region: g.options.Region, Tried: r.Tried,
	})]
}

// IsPrimary reports whether a server may be used as the primary now.
func (g *Group) IsPrimary(server string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, leader := g.watch.Leader()
	return leader == server && g.watch.LeaseValid(g.options.Clock.Now())
}
