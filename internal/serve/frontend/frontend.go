// Package frontend is one running VM for callers whose sessions are served
// statement by statement: it joins the configuration, the directory of backend
// servers, the database groups and the callers' sessions.
package frontend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/trace"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/quota"
	"github.com/sycamoredoor/sycamoredoor/internal/core/tenure"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/peer"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/forward"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/gossip"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/session"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
)

// Options makes a VM.
type Options struct {
	Self  member.VM
	Clock clock.Clock
	Log   *log.Logger
	Trace *trace.Tracer
	// Listen is IP:port for callers.
	Listen string
	// Grace is how long a planned stop may take, in milliseconds.
	Grace  clock.Millis
	Source Source
	// ServersFunc lists the backend servers.
	ServersFunc func(ctx context.Context) ([]database.Server, error)
	Protocol    database.Protocol
	// AcceptFunc reads the start of a caller's session.
	AcceptFunc func(c net.Conn) (session.Caller, error)
	Registry   Registry
	Claims     database.ClaimStore
	Tolerance  Tolerance
	// Drain is how long requests may reach a server that leaves, in milliseconds.
	Drain clock.Millis
}

// Frontend is a running VM.
type Frontend struct {
	options  Options
	listener net.Listener
	sessions session.Options
	counters database.Counters
	catalog  atomic.Pointer[catalog.Catalog]
	// stopping is set once the VM is to stop, closing once sessions are to end.
	stopping atomic.Bool
	closing  atomic.Bool
	open     atomic.Int64
	parts    sync.WaitGroup
	done     chan struct{}
	ctx      context.Context
	mesh     *gossip.Mesh
	limits   *limits
	// forwarder sends statements to the VMs that hold connections, holder serves
	// those that others send.
	forwarder *forward.Forwarder
	holder    *forward.Holder
	places    places
	// transport is nil until the VM has its keys.
	transport atomic.Pointer[peer.Transport]

	mu sync.Mutex
	// fetching is the moment until which no configuration is asked of another VM.
	fetching clock.Millis
	text     []byte
	lost     map[string]bool
	groups   map[string]*database.Group
	// servers is the directory as it was read last, at the moment listed; mark tells
	// different ones apart.
	servers []database.Server
	listed  clock.Millis
	mark    uint64
	// asking is set while another VM is asked for its directory.
	asking bool
	conns  map[net.Conn]bool
}

// Start listens for callers and serves until the context ends.
func Start(ctx context.Context, o Options) (*Frontend, error) {
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, err
	}
	f := &Frontend{
		options: o, listener: l, ctx: ctx, counters: database.NewCounters(), done: make(chan struct{}),
		lost: map[string]bool{}, listed: tenure.DistantPast, groups: map[string]*database.Group{}, conns: map[net.Conn]bool{},
	}
	f.sessions = session.Options{
		Clock: o.Clock, Log: o.Log, Protocol: o.Protocol, Counters: session.NewCounters(), Trace: o.Trace,
		CatalogFunc: f.catalog.Load, GroupFunc: f.Group, StoppingFunc: f.closing.Load,
		AdmitFunc:  func(_ context.Context, a catalog.Account) bool { return f.limits.take(a) },
		RefundFunc: func(a catalog.Account) { f.limits.back(a) },
	}
	f.mesh = f.newMesh()
	f.places.replace(f.mesh.Members())
	f.forwarder = f.newForwarder()
	f.holder = &forward.Holder{Clock: o.Clock, GroupFunc: f.Group, StoppingFunc: f.stopping.Load}
	f.limits = &limits{
		clock: o.Clock, tolerance: o.Tolerance, vmsFunc: f.mesh.Known, processFunc: f.mesh.Process, nudgeFunc: f.mesh.Refresh,
		accountFunc: func(name string) (catalog.Account, bool) {
			c := f.catalog.Load()
			if c == nil {
				return catalog.Account{}, false
			}
			return c.Account(name)
		},
		buckets: map[string]quota.Bucket{}, reported: map[string]uint64{}, zone: sums{}, rest: sums{},
	}
	f.start(func() { f.mesh.Enroll(ctx) })
	f.start(func() { f.join(ctx) })
	f.start(func() { f.follow(ctx) })
	f.start(func() { f.list(ctx) })
	f.start(func() { f.tick(ctx) })
	f.start(func() { f.accept(ctx) })
	go func() {
		<-ctx.Done()
		_ = l.Close()
		f.parts.Wait()
		close(f.done)
	}()
	return f, nil
}

// Done is closed once every part has ended.
func (f *Frontend) Done() <-chan struct{} { return f.done }

// Address returns IP:port for callers.
func (f *Frontend) Address() string { return f.listener.Addr().String() }

// Part runs a part of the VM that ends with the context of Start; Done waits for it.
func (f *Frontend) Part(part func()) { f.start(part) }

func (f *Frontend) start(part func()) {
	f.parts.Add(1)
	go func() {
		defer f.parts.Done()
		part()
	}()
}

// Group returns a database group, or nil.
func (f *Frontend) Group(name string) *database.Group {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.groups[name]
}

// Ready reports whether the VM should get new callers: it has a configuration
// and the servers, and is not to stop.
func (f *Frontend) Ready() bool {
	if f.stopping.Load() || f.catalog.Load() == nil || !f.mesh.Registered() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.servers) > 0
}

// tickPause is the pause between two looks at the groups, in milliseconds.
const tickPause = clock.Millis(100)

func (f *Frontend) tick(ctx context.Context) {
	for f.options.Clock.Sleep(ctx, tickPause) == nil {
		for _, g := range f.allGroups() {
			g.Tick(ctx, f.start)
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

// accept serves every caller that connects.
func (f *Frontend) accept(ctx context.Context) {
	for {
		c, err := f.listener.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.options.Log.Warn("a caller could not be accepted", "err", err)
			_ = f.options.Clock.Sleep(ctx, errorPause)
			continue
		}
		f.start(func() { f.serve(ctx, c) })
	}
}

func (f *Frontend) serve(ctx context.Context, c net.Conn) {
	f.open.Add(1)
	defer f.open.Add(-1)
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	caller, err := f.options.AcceptFunc(c)
	if err != nil {
		f.options.Log.Debug("no session", "err", err)
		return
	}
	f.register(c)
	defer f.forget(c)
	session.Serve(ctx, f.sessions, caller)
}

func (f *Frontend) register(c net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[c] = true
}

func (f *Frontend) forget(c net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}
