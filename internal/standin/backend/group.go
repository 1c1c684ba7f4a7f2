// Package backend is a stand-in for a database group. Its backend servers speak
// the PostgreSQL protocol over in-memory tables of (id, v) rows, and model terms,
// log positions, delayed replication, slots and slow connects. Tests make them fail.
package backend

import (
	"context"
	"sync"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// Options configures the servers of a group.
type Options struct {
	// Slots is the number of statements that can occupy a slot of a server at once. It
	// has no effect if StatementTime is 0.
	Slots int
	// Connections is the number of connections that a server accepts. More are refused
	// with SQLSTATE 53300.
	Connections int
	// ConnectTime is how long opening a connection takes, in milliseconds.
	ConnectTime clock.Millis
	// StatementTime is how long a statement that reads or writes rows, or selects a
	// literal, occupies a slot.
	StatementTime time.Duration
	// ApplyDelay is the time from a record's append at the primary to its application
	// at a replica, in milliseconds.
	ApplyDelay clock.Millis
	// Clock is used for append times and delays.
	Clock clock.Clock
}

// record is one transaction's writes in the replication log. The logs of a group's
// servers point to the same records, so committed, which is set once a majority of the
// servers has the record, is set for all of them at once.
type record struct {
	position   floor.ReplicationPosition
	appendTime clock.Millis
	writes     []write
	committed  bool
}

// write sets or deletes one row.
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
	// changed is broadcast after each change that a session may wait for, and after each
	// round of replication.
	changed *sync.Cond
	servers []*Server
	// partitions is true for pairs of servers that do not replicate to each other.
	partitions map[[2]string]bool
	done       chan struct{}
}

// replicationInterval is the pause between two rounds of replication.
const replicationInterval = time.Millisecond

// NewGroup starts a group whose first server is the primary of term 1. The servers
// listen on free loopback ports until ctx ends. NewGroup fails if one cannot listen.
func NewGroup(ctx context.Context, name string, serverNames []string, o Options) (*Group, error) {
	g := &Group{name: name, options: o, partitions: map[[2]string]bool{}, done: make(chan struct{})}
	g.changed = sync.NewCond(&g.mu)
	for _, n := range serverNames {
		s, err := newServer(g, n, "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		g.servers = append(g.servers, s)
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
	go g.runReplication(ctx)
	return g, nil
}

// Done returns a channel that is closed once every server has stopped.
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

// Primary returns the primary of the highest term, or nil if no server is a primary.
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

// SetPartitioned stops replication between two servers, in both directions, or
// restores it. The servers must be named in the same order to restore it.
func (g *Group) SetPartitioned(a, b string, partitioned bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.partitions[[2]string{a, b}] = partitioned
}

// runReplication replicates every replicationInterval until ctx ends, then waits until
// every server has stopped and closes done.
func (g *Group) runReplication(ctx context.Context) {
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

// replicate copies the log of each primary to its replicas, commits what a majority
// has, and applies the records that are due. The caller holds the lock.
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
		s.applyDueRecords(now)
	}
	g.changed.Broadcast()
}

// connected reports whether no partition separates servers a and b.
func (g *Group) connected(a, b string) bool {
	return !g.partitions[[2]string{a, b}] && !g.partitions[[2]string{b, a}]
}

// copyLog replaces the part of the replica's log that differs from the primary's. It
// copies only to a replica that is up, is not partitioned from the primary and follows
// it in its term. Logs that share a record share every record before it, so the common
// part ends at the last shared record.
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

// commitReplicated commits the longest prefix of the primary's log that a majority
// holds and that ends in a record of the primary's own term. Records of earlier
// terms are committed only with such a record, as in Raft.
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

// countCopies returns how many servers, the primary included, hold the first length
// records of the primary's log. Of these it compares only the last, since logs that
// share a record share every record before it. A server that no longer follows the
// primary in its term does not count.
func (g *Group) countCopies(primary *Server, length int) int {
	n := 0
	for _, s := range g.servers {
		if s == primary || s.leader == primary.name && s.term == primary.term && len(s.log) >= length && s.log[length-1] == primary.log[length-1] {
			n++
		}
	}
	return n
}
