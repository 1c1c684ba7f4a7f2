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
	connections *metrics.Counter
	probes      *metrics.Counter
	leaders     *metrics.Counter
}

// NewCounters registers the counters.
func NewCounters() Counters {
	return Counters{
		connections: metrics.GetOrCreateCounter("sycamoredoor_server_connections_total"),
		probes:      metrics.GetOrCreateCounter("sycamoredoor_server_probes_total"),
		leaders:     metrics.GetOrCreateCounter("sycamoredoor_primary_changes_total"),
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
	// Leave is how long a leaving primary gets new work, in milliseconds; 0 sets no bound.
	Leave clock.Millis
	// Synced is the number of replicas that have a commit before it is acknowledged.
	Synced int
	// ShareFunc returns the connections that this VM may have to a server, KeepFunc
	// those that it keeps while they are idle, and HoldersFunc the number of VMs that
	// share the server's.
	ShareFunc   func(s Server) int
	KeepFunc    func(s Server) int
	HoldersFunc func(s Server) int
	// RemoteFunc returns a connection of the VM that holds those of the account, or
	// nil when this VM is to use its own. It may be nil.
	RemoteFunc func(ctx context.Context, a Ask) *Remote
	// Self is the name of this VM, VMsFunc lists those there with this one, and
	// KnownFunc counts those that should be there.
	Self    string
	VMsFunc func() []string
	// NearFunc lists those of the own region that may be there.
	NearFunc  func() []string
	KnownFunc func() int
	// RefreshFunc reads anew which VMs should be there.
	RefreshFunc func(ctx context.Context) error
	// DirectoryFunc reads the directory of servers anew.
	DirectoryFunc func(ctx context.Context) error
	// NudgeFunc has the other VMs told soon what this one knows, FreshFunc those of
	// the own region.
	NudgeFunc func()
	FreshFunc func()
	// StoppingFunc reports whether this VM is to stop.
	StoppingFunc func() bool
	Claims       Claims
}

// Group is a database group as one VM serves it.
type Group struct {
	options Options

	mu    sync.Mutex
	watch tenure.Watch
	pools map[string]*pool
	// marks are the latest state of each server, seen the moments they were seen at.
	marks map[string]floor.ReplicationPosition
	seen  map[string]clock.Millis
	// changed is closed and replaced when the leader or its proof changed.
	changed chan struct{}
	// leader is what was logged last.
	leader string
	// probing holds the moments at which servers were asked last.
	probing map[string]clock.Millis
	// created is the moment at which this VM began to serve the group.
	created clock.Millis
	// learned is the moment at which the term or its leader became known.
	learned clock.Millis
	// unlisted holds the moments since which servers are off the directory.
	unlisted map[string]clock.Millis
	// leaving holds the moments since which servers are known to leave.
	leaving map[string]clock.Millis
	// staying is the number of servers that stay, as it was before one began to leave.
	staying int
	// committed is the moment of the last commit that this VM saw acknowledged.
	committed clock.Millis
	votes     map[string]vote
	received  map[string]received
	// token is that of the last claim for which the term was given up.
	token uint64
	// holder is the VM that made the last change of primary.
	holder string
	// lostSince is the moment at which this VM lost the primary, or 0.
	lostSince clock.Millis
	// claiming is set during an attempt; none begins before claimAfter, and none
	// for replicas that receive nothing before stuckUntil.
	claiming   bool
	claimAfter clock.Millis
	stuckUntil clock.Millis
}

// NewGroup returns a group without servers.
func NewGroup(o Options) *Group {
	return &Group{
		options: o, created: o.Clock.Now(), watch: tenure.New(o.Synced), pools: map[string]*pool{}, marks: map[string]floor.ReplicationPosition{}, seen: map[string]clock.Millis{},
		changed: make(chan struct{}), probing: map[string]clock.Millis{}, unlisted: map[string]clock.Millis{}, leaving: map[string]clock.Millis{},
		votes: map[string]vote{}, received: map[string]received{},
	}
}

// Update takes in the servers that the directory lists for the group.
func (g *Group) Update(servers []Server) {
	listed := map[string]bool{}
	g.mu.Lock()
	var closing []*pool
	for _, s := range servers {
		listed[s.ID] = true
		delete(g.unlisted, s.ID)
		if _, known := g.leaving[s.ID]; s.Leaving && !known {
			g.leaving[s.ID] = g.options.Clock.Now()
		}
		if !s.Leaving {
			delete(g.leaving, s.ID)
		}
		p := g.pools[s.ID]
		if p != nil && (p.info().Address != s.Address || p.info().Born != s.Born) {
			closing = append(closing, p)
			p = nil
		}
		if p == nil {
			g.pools[s.ID] = newPool(g, s)
			g.options.Log.Info("backend server listed", "group", g.options.Name, "server", s.ID, "zone", s.Zone, "leaving", s.Leaving)
			continue
		}
		if p.info().Leaving != s.Leaving {
			g.options.Log.Info("backend server changed", "group", g.options.Name, "server", s.ID, "leaving", s.Leaving)
		}
		p.server.Store(&s)
	}
	for id, p := range g.pools {
		if !listed[id] {
			delete(g.pools, id)
			delete(g.marks, id)
			delete(g.seen, id)
			g.unlisted[id] = g.options.Clock.Now()
			closing = append(closing, p)
			g.options.Log.Info("backend server gone", "group", g.options.Name, "server", id)
		}
	}
	g.countStaying()
	g.mu.Unlock()
	for _, p := range closing {
		p.close()
	}
}

// countStaying notes how many servers the group has while none leaves. One that has
// just been listed may be the replacement of one that is about to. It needs the lock.
func (g *Group) countStaying() {
	now := g.options.Clock.Now()
	for _, p := range g.pools {
		if p.info().Leaving || g.staying > 0 && now-p.listed < settledAfter {
			return
		}
	}
	g.staying = len(g.pools)
}

// settledAfter is how long a server must be listed to count as one of the group's
// usual ones, in milliseconds.
const settledAfter = 10 * clock.Second

// noteMark takes in the end of a server's log as an answer gave it.
func (g *Group) noteMark(server string, m floor.ReplicationPosition, sent clock.Millis) {
	if m.IsZero() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.marks[server] = g.marks[server].Max(m)
	g.seen[server] = g.options.Clock.Now()
	g.put(g.watch.WithMark(server, m, sent))
}

func (g *Group) noteCommit(server string, m floor.ReplicationPosition, sent clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.committed = g.options.Clock.Now()
	g.put(g.watch.WithCommit(server, m, sent))
}

// put replaces the watch and tells those who wait for a leader. It needs the lock.
func (g *Group) put(w tenure.Watch) {
	now := g.options.Clock.Now()
	before := g.watch.LeaseValid(now)
	oldTerm, oldLeader := g.watch.Leader()
	g.watch = w
	term, leader := w.Leader()
	if term != oldTerm || leader != oldLeader {
		g.learned = now
	}
	if leader != g.leader && leader != "" {
		g.options.Counters.leaders.Inc()
		g.options.Log.Info("primary of the group", "group", g.options.Name, "term", term, "server", leader, "before", g.leader)
		g.leader = leader
	}
	if !before && w.LeaseValid(now) {
		close(g.changed)
		g.changed = make(chan struct{})
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

// Standing returns the newest term known, its primary, and the age in
// milliseconds of the proof that it leads, or a negative one without a proof.
func (g *Group) Standing() (floor.Term, string, clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	term, leader := g.watch.Leader()
	if g.watch.ProvedAt() == tenure.DistantPast {
		return term, leader, -1
	}
	return term, leader, g.options.Clock.Now() - g.watch.ProvedAt()
}

// ErrLeaderless means that no server may be used as the primary now.
var ErrLeaderless = errors.New("the database group has no confirmed primary now")

// ErrNone means that no server is left to try.
var ErrNone = errors.New("no backend server is left to try")

// Who asks for a connection.
type Who struct {
	Account string
	Weight  int
	// Parent is the W3C traceparent of the statement's span, or "".
	Parent string
}

// Primary returns a connection to the primary within the wait in milliseconds.
func (g *Group) Primary(ctx context.Context, w Who, wait clock.Millis) (*Held, error) {
	c := g.options.Clock
	end := c.Now() + wait
	p, err := g.primary(ctx, end)
	if err != nil {
		return nil, err
	}
	h, err := g.take(ctx, p, Ask{Group: g.options.Name, Server: p.info(), Who: w, Primary: true, Wait: end - c.Now()})
	if err != nil {
		return nil, err
	}
	if !g.confirmed(p) {
		h.Release()
		return nil, ErrLeaderless
	}
	invariant.Check(!g.left(p.info().ID), invariant.LeavingServer, "%s has left and would get work", p.info().ID)
	return h, nil
}

// leftLocked reports whether a server has been leaving for so long that it gets no
// new work, even as the primary. It needs the lock.
func (g *Group) leftLocked(server string, now clock.Millis) bool {
	since, leaving := g.leaving[server]
	return leaving && g.options.Leave > 0 && now-since >= g.options.Leave
}

func (g *Group) left(server string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	// A little more than the bound, since the check comes after the choice.
	return g.leftLocked(server, g.options.Clock.Now()-leaveSlack)
}

// leaveSlack is how long work may be on its way to a leaving server, in milliseconds.
const leaveSlack = 2 * clock.Second

// confirmed reports whether a pool's server may be used as the primary now.
func (g *Group) confirmed(p *pool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, leader := g.watch.Leader()
	now := g.options.Clock.Now()
	return leader == p.info().ID && g.watch.LeaseValid(now) && !g.leftLocked(leader, now)
}

// primary waits until the group has a confirmed primary.
func (g *Group) primary(ctx context.Context, end clock.Millis) (*pool, error) {
	for {
		g.mu.Lock()
		now := g.options.Clock.Now()
		_, leader := g.watch.Leader()
		p, changed := g.pools[leader], g.changed
		may := g.watch.LeaseValid(now) && (p == nil || !g.leftLocked(leader, now))
		g.mu.Unlock()
		if may && p != nil {
			return p, nil
		}
		if now >= end {
			return nil, ErrLeaderless
		}
		fired, stop := g.options.Clock.AfterFunc(end - now)
		select {
		case <-changed:
		case <-fired:
		case <-ctx.Done():
		}
		stop()
		if ctx.Err() != nil {
			return nil, ErrLeaderless
		}
	}
}

// Read is a read that may run on a replica.
type Read struct {
	Who   Who
	Floor floor.ReplicationPosition
	Tried map[string]bool
	// Wait is in milliseconds.
	Wait clock.Millis
}

// Reader returns a connection to the server that should answer a read best.
func (g *Group) Reader(ctx context.Context, r Read) (*Held, error) {
	p := g.choose(r)
	if p == nil {
		return nil, ErrNone
	}
	r.Tried[p.info().ID] = true
	return g.take(ctx, p, Ask{Group: g.options.Name, Server: p.info(), Who: r.Who, Wait: r.Wait})
}

func (g *Group) choose(r Read) *pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Now()
	_, leader := g.watch.Leader()
	may := g.watch.LeaseValid(now)
	candidates := make([]choice.Candidate, 0, len(g.pools))
	for id, p := range g.pools {
		if id == leader && !may {
			continue
		}
		waiting, latency, avoided := p.load(now)
		candidates = append(candidates, choice.Candidate{
			Name: id, Zone: p.info().Zone, Region: p.info().Region, Primary: id == leader,
			Leaving: p.info().Leaving, Avoided: avoided, Applied: g.marks[id], AppliedAge: now - g.seen[id],
			Latency: latency, InFlight: waiting, Slots: p.info().Slots,
		})
	}
	return g.pools[choice.CheapestServer(candidates, choice.Requirements{
		Floor: r.Floor, Zone: g.options.Zone, Region: g.options.Region, Tried: r.Tried,
	})]
}

// IsLeader reports whether a server may be used as the primary now.
func (g *Group) IsLeader(server string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, leader := g.watch.Leader()
	return leader == server && g.watch.LeaseValid(g.options.Clock.Now())
}
