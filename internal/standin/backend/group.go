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
	// ConnectTime is how long opening a connection takes, in milliseconds.
	ConnectTime clock.Millis
	// StatementTime is how long a statement on rows keeps its slot.
	StatementTime time.Duration
	// ApplyDelay is how long a replica waits before it applies a record, in milliseconds.
	ApplyDelay clock.Millis
	// Clock times the replication.
	Clock clock.Clock
}

// record is one committed change in a log. The records of one group are shared
// between the logs that hold them; committed is set once a majority has it.
type record struct {
	position   floor.ReplicationPosition
	appendTime clock.Millis
	writes     []write
	committed  bool
}

type write struct {
	table   string
	id      string
	value   string
	deleted bool
}

// Group is a database group: one primary and its replicas.
type Group struct {
	name       string
	options    Options
	mu         sync.Mutex
	changed    *sync.Cond
	servers    []*Server
	partitions map[[2]string]bool
	done       chan struct{}
}

// replicationInterval is the pause between two rounds of replication.
const replicationInterval = time.Millisecond

// NewGroup makes a group whose first server is the primary of term 1. The
// servers listen on addresses chosen by the system on the loopback network.
func NewGroup(ctx context.Context, name string, servers []string, o Options) (*Group, error) {
	g := &Group{name: name, options: o, partitions: map[[2]string]bool{}, done: make(chan struct{})}
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
		s.serveUntilDone(ctx)
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
	var primary *Server
	for _, s := range g.servers {
		if s.role == rolePrimary && (primary == nil || s.term > primary.term) {
			primary = s
		}
	}
	return primary
}

// SetPartitioned stops or restores replication from one server to another.
func (g *Group) SetPartitioned(a, b string, partitioned bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.partitions[[2]string{a, b}] = partitioned
}

func (g *Group) run(ctx context.Context) {
	defer close(g.done)
	t := time.NewTicker(replicationInterval)
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
		g.commitReplicated(p)
	}
	now := g.options.Clock.Now()
	for _, s := range g.servers {
		s.applyDue(now)
	}
	g.changed.Broadcast()
}

func (g *Group) connected(a, b string) bool {
	return !g.partitions[[2]string{a, b}] && !g.partitions[[2]string{b, a}]
}

func (g *Group) copyLog(primary, replica *Server) {
	if replica == primary || replica.down || replica.role == rolePrimary || replica.leader != primary.name || replica.term != primary.term {
		return
	}
	if !g.connected(primary.name, replica.name) {
		return
	}
	common := len(replica.log)
	for common > 0 && (common > len(primary.log) || primary.log[common-1] != replica.log[common-1]) {
		common--
	}
	replica.log = append(replica.log[:common:common], primary.log[common:]...)
	if replica.applied > common {
		replica.rebuildRows(common)
	}
}

// commitReplicated marks as committed what a majority holds in the primary's own term.
func (g *Group) commitReplicated(primary *Server) {
	for i := len(primary.log); i > 0 && !primary.log[i-1].committed && primary.log[i-1].position.Term == primary.term; i-- {
		if g.countCopies(primary, i) <= len(g.servers)/2 {
			continue
		}
		for _, r := range primary.log[:i] {
			r.committed = true
		}
		return
	}
}

func (g *Group) countCopies(primary *Server, length int) int {
	n := 0
	for _, s := range g.servers {
		if s == primary || s.leader == primary.name && s.term == primary.term && len(s.log) >= length && s.log[length-1] == primary.log[length-1] {
			n++
		}
	}
	return n
}
