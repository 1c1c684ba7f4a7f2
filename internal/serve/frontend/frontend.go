// Package frontend runs one VM that serves callers' sessions statement by
// statement. It connects the configuration, the directory of backend servers, the
// database groups, the gossip with other VMs and the callers' sessions.
package frontend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/trace"
	"github.com/sycamoredoor/sycamoredoor/internal/core/evacuation"
	"github.com/sycamoredoor/sycamoredoor/internal/core/freshness"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/shutdown"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/memory"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/peer"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/forward"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/gossip"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/session"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/keys"
)

// Options configures a VM.
type Options struct {
	Self  member.VM
	Clock clock.Clock
	Log   *log.Logger
	Trace *trace.Tracer
	// Listen is the IP:port on which callers connect.
	Listen string
	// StopTimeout is how long a planned stop may take, in milliseconds.
	StopTimeout clock.Millis
	// Source provides the operators' configuration.
	Source Source
	// EraFunc returns the highest era of the store in an answer so far, or 0. The era rises
	// when the store is restored from a copy, which lacks the last writes.
	EraFunc func() uint64
	// ServersFunc reads the directory of backend servers.
	ServersFunc func(ctx context.Context) ([]database.Server, error)
	Protocol    database.Protocol
	// AcceptFunc reads the startup message of a caller. After an error the connection is
	// closed.
	AcceptFunc func(c net.Conn, m *memory.Owner) (session.Caller, error)
	// Memory accounts for what callers and other VMs make this process hold; nil grants everything.
	Memory    *memory.Pool
	Registry  Registry
	Claims    database.ClaimStore
	Tolerance Tolerance
	// ColdExcess and ColdSlack are those of slowstart.Limit.
	ColdExcess float64
	ColdSlack  float64
	// DrainPeriod is how long requests may still reach a leaving backend server, in
	// milliseconds.
	DrainPeriod clock.Millis
	// ConfigurationDeadline is the time within which a configuration that the store has accepted
	// must be in force at each VM that reaches the store, in milliseconds; 0 means a default.
	ConfigurationDeadline clock.Millis
	// EvacuationDeadline is the time after the acknowledgement of an evacuation from which no
	// statement of a caller may reach a server of the zone, in milliseconds; 0 means a default.
	EvacuationDeadline clock.Millis
}

// Frontend is a running VM.
type Frontend struct {
	options        Options
	bounds         freshness.Bounds
	listener       net.Listener
	sessionOptions session.Options
	counters       database.Counters
	catalog        atomic.Pointer[catalog.Catalog]
	// evacuations is what this VM knows of evacuations, nil before the first report.
	evacuations atomic.Pointer[evacuation.State]
	// stop is the planned stop, or nil before it begins; closingSessions is set once idle
	// sessions are to end, and ended once no statement is taken any more.
	stop            atomic.Pointer[shutdown.Stop]
	closingSessions atomic.Bool
	ended           atomic.Bool
	// openConns counts the callers' connections, those without a session too.
	openConns atomic.Int64
	tasks     sync.WaitGroup
	done      chan struct{}
	ctx       context.Context
	mesh      *gossip.Mesh
	limiter   *limiter
	// forwarder sends statements to the VMs that hold the connections to a server;
	// holder runs the statements that other VMs send to this one.
	forwarder   *forward.Forwarder
	holder      *forward.Holder
	holderCache holderCache
	// transport is nil until the VM has its keys.
	transport atomic.Pointer[peer.Transport]
	// keyring holds the VM's keys, which authority issued. keysLock is held while they are
	// issued; authority is nil before.
	keysLock  sync.Mutex
	authority *keys.Authority
	keyring   *keys.Keyring
	// fetchFailures counts the failed fetches from other VMs.
	fetchFailures *metrics.Counter
	// refusedCallers counts the connections that were closed right after they were accepted.
	refusedCallers *metrics.Counter
	// eraGauge shows era.
	eraGauge *metrics.Gauge
	// ageGauge shows the age of the configuration, and configCalls counts the calls of the store
	// for it.
	ageGauge    *metrics.Gauge
	configCalls *metrics.Counter
	// heldGauge and reservedGauge show the servers of which this VM is a holder or a reserve.
	heldGauge     *metrics.Gauge
	reservedGauge *metrics.Gauge
	// unknownRegionsGauge shows the number of unknownRegions.
	unknownRegionsGauge *metrics.Gauge
	// reachGauge shows the reach of the limiter. partSince is the time since which VMs have been
	// out of reach, or 0, and partLogged is set once that is logged; only beginRound uses them.
	reachGauge *metrics.Gauge
	partSince  clock.Millis
	partLogged bool
	// heldCountedAt is the time of the last count; only beginRound uses it.
	heldCountedAt clock.Millis
	// listRequestedAt is the time at which the list of VMs was last read because it lacked this VM;
	// only beginRound uses it.
	listRequestedAt clock.Millis
	// coldReadAt is directoryReadAt in milliseconds, and coldUntil the time until which each cold
	// server of the directory stays cold, by ID. They are atomic because pools read them with
	// their locks held.
	coldReadAt atomic.Int64
	coldUntil  atomic.Pointer[map[string]clock.Millis]
	// first decides when a VM without a configuration reads it from the store, and configured is
	// closed once there is one.
	first      freshness.First
	configured chan struct{}
	// compressed is the configuration, compressedList the list of VMs for other VMs.
	compressed     compressedText
	compressedList compressedText

	mu sync.Mutex
	// fetchingConfiguration is set while a configuration is being fetched from another VM,
	// and nextFetchAt is the time before which the next fetch does not start.
	fetchingConfiguration bool
	nextFetchAt           clock.Millis
	// configText is the text of catalog, and configCopy its source and age. follower decides
	// whether this VM reads the store while it is a follower. laterKnownAt is the time at which
	// another VM first reported a later version, or 0.
	configText   []byte
	configCopy   freshness.Copy
	follower     freshness.Follower
	laterKnownAt clock.Millis
	// storeAskedAt is the start of the last call that reads the configuration from the store.
	storeAskedAt clock.Millis
	// poll is the poll of the store in progress, or nil.
	poll *poll
	// era is the last observed era of the store, and restoredAt the time at which this VM
	// learned that the store had come back from a copy.
	era        uint64
	restoredAt clock.Millis
	// lostDependencies and groups are by name. A dependency is lost when the last call to
	// it failed.
	lostDependencies map[string]bool
	groups           map[string]*database.Group
	// directory is the latest directory of backend servers, read at directoryReadAt.
	// VMs compare directories by directoryHash; it is 0 before the first read.
	directory       []database.Server
	directoryReadAt clock.Millis
	directoryHash   uint64
	// unknownRegions names the regions to which routes or accounts are constrained and in which
	// no server is listed.
	unknownRegions []string
	// observedZones holds the zones that were last logged as evacuated, and announceEvacuationsUntil
	// is the time until which this VM sends its state of evacuations even if no zone is evacuated.
	observedZones            []member.Zone
	announceEvacuationsUntil clock.Millis
	// fetchingDirectory is set while a directory is being fetched from another VM.
	fetchingDirectory bool
	// conns holds the connections of callers with a session.
	conns map[net.Conn]bool
}

// Start listens for callers and serves them until the context ends.
func Start(ctx context.Context, o Options) (*Frontend, error) {
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, err
	}
	f := &Frontend{
		options: o, bounds: freshness.NewBounds(o.ConfigurationDeadline), listener: l, ctx: ctx, keyring: &keys.Keyring{},
		counters: database.NewCounters(), done: make(chan struct{}),
		configured: make(chan struct{}), configCopy: freshness.New(), lostDependencies: map[string]bool{},
		directoryReadAt: clock.DistantPast, restoredAt: clock.DistantPast,
		groups: map[string]*database.Group{}, conns: map[net.Conn]bool{},
	}
	f.sessionOptions = session.Options{
		Clock: o.Clock, Log: o.Log, Protocol: o.Protocol, Counters: session.NewCounters(), Trace: o.Trace,
		CatalogFunc: f.catalog.Load, AwaitCatalogFunc: f.awaitConfiguration, CopyFunc: f.configurationCopy, GroupFunc: f.Group,
		StoppingFunc: f.closingSessions.Load, ExpiresFunc: f.expiresTransactions, TakesFunc: f.takes,
		AdmitFunc:  func(_ context.Context, a catalog.Account, priority int) bool { return f.limiter.take(a, priority) },
		RefundFunc: func(a catalog.Account) { f.limiter.refund(a) },
	}
	f.mesh = f.newMesh()
	f.follower = freshness.NewFollower(f.bounds, drawOf(f.mesh.Process()))
	f.first = freshness.NewFirst(drawOf(f.mesh.Process()), o.Clock.Now())
	f.fetchFailures = metrics.GetOrCreateCounter("sycamoredoor_fetch_failures_total")
	f.refusedCallers = metrics.GetOrCreateCounter("sycamoredoor_connections_refused_total")
	f.eraGauge = metrics.GetOrCreateGauge("sycamoredoor_store_era", nil)
	f.ageGauge = metrics.GetOrCreateGauge("sycamoredoor_configuration_age_seconds", nil)
	f.configCalls = metrics.GetOrCreateCounter("sycamoredoor_configuration_calls_total")
	f.heldGauge = metrics.GetOrCreateGauge("sycamoredoor_servers_held", nil)
	f.reservedGauge = metrics.GetOrCreateGauge("sycamoredoor_servers_reserved", nil)
	f.unknownRegionsGauge = metrics.GetOrCreateGauge("sycamoredoor_regions_without_server", nil)
	f.reachGauge = metrics.GetOrCreateGauge("sycamoredoor_limit_reach", nil)
	f.holderCache.setMembers(f.mesh.Members())
	f.forwarder = f.newForwarder()
	f.holder = &forward.Holder{Clock: o.Clock, GroupFunc: f.Group, StoppingFunc: f.isStopping, TakesFunc: f.takes}
	f.limiter = f.newLimiter()
	f.spawn(func() { f.mesh.RunRegistration(ctx) })
	f.spawn(func() { f.servePeers(ctx) })
	f.spawn(func() { f.fetchFirstConfiguration(ctx) })
	f.spawn(func() { f.followConfiguration(ctx) })
	f.spawn(func() { f.pollDirectory(ctx) })
	f.spawn(func() { f.tick(ctx) })
	f.spawn(func() { f.accept(ctx) })
	f.spawn(func() { f.sweepCallers(ctx) })
	go func() {
		<-ctx.Done()
		_ = l.Close()
		f.tasks.Wait()
		close(f.done)
	}()
	return f, nil
}

// newLimiter returns the limiter of this VM, connected to the frontend's state.
func (f *Frontend) newLimiter() *limiter {
	l := newLimiter(f.options.Clock, f.options.Tolerance)
	l.region = f.options.Self.Region
	l.vmCountFunc, l.processFunc = f.mesh.ExpectedCount, f.mesh.Process
	l.roleFunc = f.mesh.Role
	l.regionGossipFunc, l.gossipFunc = f.mesh.RegionGossipSoon, f.mesh.GossipSoon
	l.accountFunc = func(name string) (catalog.Account, bool) {
		c := f.catalog.Load()
		if c == nil {
			return catalog.Account{}, false
		}
		return c.Account(name)
	}
	return l
}

// Done is closed once every goroutine of the VM has ended.
func (f *Frontend) Done() <-chan struct{} { return f.done }

// Address returns the IP:port on which callers connect.
func (f *Frontend) Address() string { return f.listener.Addr().String() }

// Go runs a task in its own goroutine. The task must return when the context of
// Start ends; Done is not closed before it has returned.
func (f *Frontend) Go(task func()) { f.spawn(task) }

func (f *Frontend) spawn(task func()) {
	f.tasks.Add(1)
	go func() {
		defer f.tasks.Done()
		task()
	}()
}

// Group returns the database group of that name, or nil.
func (f *Frontend) Group(name string) *database.Group {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.groups[name]
}

// Ready reports whether the VM should get new callers: it has a configuration and
// a directory of servers, is registered and is not stopping.
func (f *Frontend) Ready() bool {
	if f.isStopping() || f.catalog.Load() == nil || !f.mesh.Registered() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.directory) > 0
}

// tickInterval is the pause between two ticks of the groups, in milliseconds.
const tickInterval = clock.Millis(100)

func (f *Frontend) tick(ctx context.Context) {
	for f.options.Clock.Sleep(ctx, tickInterval) == nil {
		f.observeEra()
		f.observeAge()
		f.observeEvacuations()
		for _, g := range f.allGroups() {
			g.Tick(ctx, f.spawn)
		}
	}
}

func (f *Frontend) allGroups() []*database.Group {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*database.Group, 0, len(f.groups))
	for _, g := range f.groups {
		out = append(out, g)
	}
	return out
}

func (f *Frontend) serve(ctx context.Context, c net.Conn, m *memory.Owner) {
	defer f.openConns.Add(-1)
	defer m.Close()
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	caller, err := f.options.AcceptFunc(c, m)
	if err != nil {
		f.options.Log.Debug("starting a caller's session failed", "err", err)
		return
	}
	f.addConn(c)
	defer f.removeConn(c)
	session.Serve(ctx, f.sessionOptions, caller)
}

func (f *Frontend) addConn(c net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[c] = true
}

func (f *Frontend) removeConn(c net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}
