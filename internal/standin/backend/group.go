// Package backend is a stand-in for a database group: backend servers that
// speak the PostgreSQL protocol over a toy table of rows, with terms, log
// positions, delayed replication, slots and slow connects. They fail on demand.
package backend

import (
	"context"
	"sync"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// Options sizes the servers of a group.
type Options struct {
	// Slots is the number of statements that run at once.
	Slots int
	// Connections is the number of connections that a server accepts.
	Connections int
	// Connect is how long opening a connection takes, in milliseconds.
	Connect clock.Millis
	// Work is how long a statement on rows keeps its slot.
	Work time.Duration
	// Lag is how long a replica waits before it applies a record, in milliseconds.
	Lag clock.Millis
	// Clock times the replication.
	Clock clock.Clock
}

// record is one committed change in a log. The records of one group are shared
// between the logs that hold them; committed is set once a majority has it.
type record struct {
	mark      floor.ReplicationPosition
	at        clock.Millis
	writes    []write
	committed bool
}

type write struct {
	table   string
	id      string
	value   string
	deleted bool
}

// Group is a database group: one primary and its replicas.
type Group struct {
	name    string
	options Options
	mu      sync.Mutex
	changed *sync.Cond
	servers []*Server
	cut     map[[2]string]bool
	done    chan struct{}
}

// tick is the pause between two rounds of replication.
const tick = time.Millisecond

// NewGroup makes a group whose first server is the primary of term 1. The
// servers listen on addresses chosen by the system on the loopback network.
func NewGroup(ctx context.Context, name string, servers []string, o Options) (*Group, error) {
	g := &Group{name: name, options: o, cut: map[[2]string]bool{}, done: make(chan struct{})}
	g.changed = sync.NewCond(&g.mu)
	for _, s := range servers {
		v, err := newServer(g, s, "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		g.servers = append(g.servers, v)
	}
	first := g.servers[0]
	for _, s := range g.servers {
		s.term, s.leader = 1, first.name
	}
	first.role = rolePrimary
	first.startTerm()
	for _, s := range g.servers {
		s.start(ctx)
	}
	go g.run(ctx)
	return g, nil
}

// Done is closed once every server has stopped.
func (g *Group) Done() <-chan struct{} { return g.done }

// Servers returns the servers in the order of their names given to NewGroup.
func (g *Group) Servers() []*Server { return g.servers }

// Server returns the server called name, or nil.
func (g *Group) Server(name string) *Server {
	for _, s := range g.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

// Primary returns the primary of the highest term.
func (g *Group) Primary() *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	var best *Server
	for _, s := range g.servers {
		if s.role == rolePrimary && (best == nil || s.term > best.term) {
			best = s
		}
	}
	return best
}

// Cut stops or restores replication from one server to another.
func (g *Group) Cut(from, to string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[[2]string{from, to}] = cut
}

func (g *Group) run(ctx context.Context) {
	defer close(g.done)
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, s := range g.servers {
				<-s.done
			}
			return
		case <-t.C:
			g.mu.Lock()
			g.replicate()
			g.mu.Unlock()
		}
	}
}

// replicate copies logs to the replicas, settles what a majority has, and
// applies what has come due. The caller holds the lock.
func (g *Group) replicate() {
	for _, p := range g.servers {
		if p.role != rolePrimary || p.down {
			continue
		}
		for _, r := range g.servers {
			g.copyLog(p, r)
		}
		g.settle(p)
	}
	now := g.options.Clock.Now()
	for _, s := range g.servers {
		s.applyDue(now)
	}
	g.changed.Broadcast()
}

func (g *Group) linked(a, b string) bool {
	return !g.cut[[2]string{a, b}] && !g.cut[[2]string{b, a}]
}

func (g *Group) copyLog(p, r *Server) {
	if r == p || r.down || r.role == rolePrimary || r.leader != p.name || r.term != p.term {
		return
	}
	if !g.linked(p.name, r.name) {
		return
	}
	same := len(r.log)
	for same > 0 && (same > len(p.log) || p.log[same-1] != r.log[same-1]) {
		same--
	}
	r.log = append(r.log[:same:same], p.log[same:]...)
	if r.applied > same {
		r.rebuild(same)
	}
}

// settle marks as committed what a majority holds in the primary's own term.
func (g *Group) settle(p *Server) {
	for i := len(p.log); i > 0 && !p.log[i-1].committed && p.log[i-1].mark.Term == p.term; i-- {
		if g.holders(p, i) <= len(g.servers)/2 {
			continue
		}
		for _, r := range p.log[:i] {
			r.committed = true
		}
		return
	}
}

func (g *Group) holders(p *Server, length int) int {
	n := 0
	for _, s := range g.servers {
		if s == p || s.leader == p.name && s.term == p.term && len(s.log) >= length && s.log[length-1] == p.log[length-1] {
			n++
		}
	}
	return n
}
