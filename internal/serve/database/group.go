package database

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/trace"
	"github.com/sycamoredoor/sycamoredoor/internal/core/evacuation"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/tenure"
)

// Options configures a group.
type Options struct {
	Name     string
	Zone     member.Zone
	Region   string
	Clock    clock.Clock
	Log      *log.Logger
	Protocol Protocol
	Counters Counters
	Trace    *trace.Tracer
	// DrainTimeout is how long a leaving primary gets new work, in milliseconds; 0
	// means without limit.
	DrainTimeout clock.Millis
	// SyncReplicas is the number of replicas that must have a commit before it is
	// acknowledged.
	SyncReplicas int
	// MaxConnsFunc returns the number of connections that this VM may open to a
	// server.
	MaxConnsFunc func(s Server) int
	// MaxIdleFunc returns the number of open connections up to which idle ones to a
	// server stay open for keptIdleTimeout instead of idleTimeout.
	MaxIdleFunc func(s Server) int
	// HolderCountFunc returns the number of VMs that hold connections to a server.
	HolderCountFunc func(s Server) int
	// RemoteConnFunc returns a connection of a VM that holds the account's connections to the
	// server, or nil if this VM should use its own. The error is ErrNoVMAllowed if the allowed
	// regions permit neither. The function may be nil.
	RemoteConnFunc func(ctx context.Context, a ConnRequest) (*RemoteConn, error)
	// ColdFunc returns the configuration and the directory's report of a server's cold starts,
	// and ColdShareFunc the number of callers' statements in any second that this VM may send to
	// the server while it is cold. The functions may be nil.
	ColdFunc      func(s Server) Cold
	ColdShareFunc func(s Server) int
	// Self is the name of this VM, and LiveVMsFunc lists the live VMs including this
	// one.
	Self        string
	LiveVMsFunc func() []string
	// LeavingVMsFunc lists the VMs that are leaving and still send messages: they may still use a
	// primary. The function may be nil.
	LeavingVMsFunc func() []string
	// VMRemovedAtFunc returns the time at which this VM last learned that another had left for
	// good, or an early time. The function may be nil.
	VMRemovedAtFunc func() clock.Millis
	// ProbersFunc lists the VMs near this one that probe the group's servers. An
	// empty list means that this VM does, and one without this VM that it does not.
	ProbersFunc func() []string
	// SettledFunc reports whether this VM knows which VMs there are. Until then it probes no
	// servers and claims nothing. The function may be nil.
	SettledFunc func() bool
	// UsesRelaysFunc reports whether the VMs learn of each other's proofs through relays. The
	// function may be nil.
	UsesRelaysFunc func() bool
	// CandidatesFunc lists the VMs that may replace the group's primary; an empty list
	// means all.
	CandidatesFunc func() []string
	// ExpectedVMCountFunc returns the number of VMs that should be running.
	ExpectedVMCountFunc func() int
	// RefreshVMsFunc rereads which VMs should be running.
	RefreshVMsFunc func(ctx context.Context) error
	// RefreshDirectoryFunc rereads the directory of servers.
	RefreshDirectoryFunc func(ctx context.Context) error
	// ProvedFunc is called when the primary is proved after a time without a valid proof. It may
	// be nil, and must not call the group.
	ProvedFunc func()
	// GossipFunc requests an early gossip round to the other VMs, RegionGossipFunc
	// one to those of this VM's region.
	GossipFunc       func()
	RegionGossipFunc func()
	// StoppingFunc reports whether this VM is stopping.
	StoppingFunc func() bool
	Claims       ClaimStore
	// RestoredAtFunc returns the time at which this VM learned that the store, which holds the
	// claims, had been restored from a backup, or clock.DistantPast.
	RestoredAtFunc func() clock.Millis
	// EvacuatedSinceFunc returns the time from which an availability zone is evacuated, and false
	// if it is not. The function may be nil. Evacuation holds the time limits for the use of
	// servers there.
	EvacuatedSinceFunc func(z member.Zone) (clock.Millis, bool)
	Evacuation         evacuation.Bounds
}

// Group is a database group as served by one VM.
type Group struct {
	options Options
	// connectionCount is the number of connections opened so far.
	connectionCount atomic.Uint64

	mu sync.Mutex
	// watch holds the term, the primary, and the proofs that it may be used.
	watch tenure.Watch
	// pools holds the connections to each listed server, by server ID.
	pools map[string]*pool
	// positions holds the latest known log position of each server, positionSeenAt
	// the time of its last answer with a position.
	positions      map[string]floor.ReplicationPosition
	positionSeenAt map[string]clock.Millis
	// primaryReady is closed and replaced when the primary becomes usable.
	primaryReady chan struct{}
	// loggedLeader is the last primary that was logged.
	loggedLeader string
	// leaderDoubtedAt is the time at which a holder last denied that the leader is the confirmed
	// primary.
	leaderDoubtedAt clock.Millis
	// probedAt holds the time of the last probe of each server.
	probedAt map[string]clock.Millis
	// leaderAskedAt is the time of the first probe of the leader since its last proof.
	leaderAskedAt clock.Millis
	// createdAt is the time at which this VM began to serve the group, settledAt that of the
	// first Tick after it knew which VMs there are, or 0.
	createdAt clock.Millis
	settledAt clock.Millis
	// leaderChangedAt is the time at which the known term or its primary last changed.
	leaderChangedAt clock.Millis
	// unlistedSince holds, for each server removed from the directory, the time of
	// its removal.
	unlistedSince map[string]clock.Millis
	// born holds the last known start of each server by ID, and restartedIn, for each server
	// that has started anew under its ID since and has not reported itself as primary, the
	// term known at that time.
	born        map[string]int64
	restartedIn map[string]floor.Term
	// leavingSince holds the time at which each leaving server was first seen to
	// leave.
	leavingSince map[string]clock.Millis
	// fullSize is the number of servers of the group while none is leaving.
	fullSize int
	// committedAt is the time of the last commit that this VM saw acknowledged.
	committedAt clock.Millis
	// votes holds the last report of each other VM, and receivedPositions the log
	// position in the last status of each server.
	votes             map[string]vote
	receivedPositions map[string]receivedPosition
	// releasedToken is the fencing token of the last claim for which this VM released
	// the term.
	releasedToken uint64
	// acknowledged is the furthest position of a commit that this VM acknowledged.
	acknowledged floor.ReplicationPosition
	// reported is the furthest position that another VM has reported as acknowledged. The VM
	// may have restarted since.
	reported floor.ReplicationPosition
	// lostTerm is the last term whose leader lacked acknowledged commits, lostAfter the end of
	// its log then. What lies beyond of earlier terms is lost.
	lostTerm  floor.Term
	lostAfter floor.ReplicationPosition
	// lastHolder is the VM that held the claim when this VM last read its record.
	lastHolder string
	// lostSince is the time at which this VM lost the primary, or 0.
	lostSince clock.Millis
	// claiming is set during an attempt to change the primary. No attempt starts
	// before claimAfter, and none because of stalled replication before
	// ignoreStallUntil.
	claiming         bool
	claimAfter       clock.Millis
	ignoreStallUntil clock.Millis
	// barredCount is the number of servers that an evacuation barred at the last Tick.
	barredCount int
}

// NewGroup returns a group without servers.
func NewGroup(o Options) *Group {
	now := o.Clock.Now()
	return &Group{
		// Earlier processes of this VM and others have ended, and servers may have left.
		watch:   tenure.New(o.SyncReplicas).WithDeparture(now).WithServerDeparture(now),
		options: o, createdAt: now, leaderDoubtedAt: clock.DistantPast, leaderAskedAt: clock.DistantPast,
		pools: map[string]*pool{}, positions: map[string]floor.ReplicationPosition{}, positionSeenAt: map[string]clock.Millis{},
		primaryReady: make(chan struct{}), probedAt: map[string]clock.Millis{},
		unlistedSince: map[string]clock.Millis{}, leavingSince: map[string]clock.Millis{},
		born: map[string]int64{}, restartedIn: map[string]floor.Term{},
		votes: map[string]vote{}, receivedPositions: map[string]receivedPosition{},
	}
}

// recordPosition records the log position that a server returned with an answer. sent
// is the time at which the statement was sent or the opening of the connection began.
func (g *Group) recordPosition(server string, position floor.ReplicationPosition, sent clock.Millis) {
	if position.IsZero() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.positions[server] = g.positions[server].Max(position)
	g.positionSeenAt[server] = g.options.Clock.Now()
	g.setWatch(g.watch.WithPosition(server, position, sent))
}

// recordCommit records a commit that a server acknowledged. sent is the time at which
// the statement was sent. It returns an error if the caller must not be told that it is
// committed: errReplaced if a later term is known, errReleased if this VM has released the
// term to a claimant, which may promote a server without the commit, errNoPosition if this VM
// could not report to a claimant that it was acknowledged.
func (g *Group) recordCommit(server string, position floor.ReplicationPosition, sent clock.Millis) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Now()
	var err error
	switch term, _ := g.watch.Leader(); {
	case position.IsZero():
		err = errNoPosition
	case position.Term < term:
		err = errReplaced
	case position.Term == term && g.watch.Released(now):
		err = errReleased
	}
	if err != nil {
		g.options.Counters.unknownCommits.Inc()
		return err
	}
	g.committedAt = now
	g.acknowledged = g.acknowledged.Max(position)
	g.setWatch(g.watch.WithCommit(server, position, sent))
	return nil
}

// setWatch replaces the watch, logs and counts a new primary, and wakes those waiting
// for a usable one. The caller holds g.mu.
func (g *Group) setWatch(w tenure.Watch) {
	now := g.options.Clock.Now()
	wasValid := g.watch.LeaseValid(now)
	oldProvedAt := g.watch.ProvedAt()
	oldTerm, oldLeader := g.watch.Leader()
	g.watch = w
	term, leader := w.Leader()
	if term != oldTerm || leader != oldLeader {
		g.leaderChangedAt, g.leaderDoubtedAt = now, clock.DistantPast
	}
	if leader != g.loggedLeader && leader != "" {
		g.options.Counters.primaryChanges.Inc()
		g.options.Log.Info("new primary of the group", "group", g.options.Name, "term", term, "server", leader, "before", g.loggedLeader)
		g.loggedLeader = leader
	}
	if !wasValid && w.LeaseValid(now) && g.options.ProvedFunc != nil {
		g.options.ProvedFunc()
	}
	if leader != "" && (leader != oldLeader || !wasValid && w.LeaseValid(now) || g.leaderDoubtedAt > oldProvedAt && w.ProvedAt() > g.leaderDoubtedAt) {
		g.wakeWaitersLocked()
	}
}

// wakeWaitersLocked wakes those waiting for a usable primary. The caller holds g.mu.
func (g *Group) wakeWaitersLocked() {
	close(g.primaryReady)
	g.primaryReady = make(chan struct{})
}

// Ready reports whether the group has a usable primary.
func (g *Group) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.watch.LeaseValid(g.options.Clock.Now())
}

// Floor returns the position that a read must see if it began at the time began. It
// covers every commit that was then older than age milliseconds, and own, the position
// of the session's own last write. Floor returns false if the position is not known.
func (g *Group) Floor(began, age clock.Millis, own floor.ReplicationPosition) (floor.ReplicationPosition, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f, ok := g.watch.Floor(began - age)
	if !ok {
		return floor.ReplicationPosition{}, false
	}
	return g.watch.RaiseFloor(f, own)
}

// Term returns the highest known term.
func (g *Group) Term() floor.Term {
	g.mu.Lock()
	defer g.mu.Unlock()
	term, _ := g.watch.Leader()
	return term
}

// PrimaryStatus returns the highest known term, its primary, and the age in
// milliseconds of the proof that it is the primary, or -1 without a proof.
func (g *Group) PrimaryStatus() (floor.Term, string, clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	term, leader := g.watch.Leader()
	if g.watch.ProvedAt() == clock.DistantPast {
		return term, leader, -1
	}
	return term, leader, g.options.Clock.Now() - g.watch.ProvedAt()
}

// IsPrimary reports whether a server is the primary with a valid lease. Unlike
// isConfirmedPrimary it ignores the drain timeout.
func (g *Group) IsPrimary(server string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, leader := g.watch.Leader()
	return leader == server && g.watch.LeaseValid(g.options.Clock.Now())
}
