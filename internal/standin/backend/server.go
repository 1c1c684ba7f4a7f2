package backend

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

type role string

const (
	rolePrimary role = "primary"
	roleReplica role = "replica"
	// roleSealed is a server that waits for a new primary to be chosen.
	roleSealed role = "sealed"
)

// Server is one backend server.
type Server struct {
	name     string
	group    *Group
	listener net.Listener
	slots    chan struct{}
	done     chan struct{}
	stopped  <-chan struct{}

	// The fields below are guarded by the group's lock.
	role          role
	term          floor.Term
	claimant      string
	leader        string
	log           []*record
	applied       int
	caughtUpTime  clock.Millis
	contactTime   clock.Millis
	rows          map[string]map[string]string
	rowLocks      map[[2]string]*session
	advisoryLocks map[int64]*session
	sessions      map[uint32]*session
	nextPID       uint32
	down          bool
	unresponsive  bool
	applyDelay    clock.Millis
	statementFunc func(sql string)
}

func newServer(g *Group, name, address string) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Server{
		name: name, group: g, listener: l, role: roleReplica, applyDelay: g.options.ApplyDelay,
		slots: make(chan struct{}, g.options.Slots), done: make(chan struct{}),
		rows: map[string]map[string]string{}, rowLocks: map[[2]string]*session{},
		advisoryLocks: map[int64]*session{}, sessions: map[uint32]*session{},
	}, nil
}

// Name returns the server's name.
func (s *Server) Name() string { return s.name }

// Address returns IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// SetDown stops or restarts the server: its connections end and no new ones are
// accepted.
func (s *Server) SetDown(down bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.down = down
	if down {
		s.closeSessions()
	}
	s.group.changed.Broadcast()
}

func (s *Server) isDown() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.down
}

// SetUnresponsive isolates the server from its callers, or ends that: connections are
// accepted but neither answered nor closed. Replication goes on.
func (s *Server) SetUnresponsive(unresponsive bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.unresponsive = unresponsive
	s.group.changed.Broadcast()
}

// SetApplyDelay changes how long the server waits before it applies a record.
func (s *Server) SetApplyDelay(delay clock.Millis) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.applyDelay = delay
}

// SetStatementFunc has every statement text passed to f, for tests of what servers see.
func (s *Server) SetStatementFunc(f func(sql string)) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.statementFunc = f
}

// Leader returns the name of the primary that the server follows or is.
func (s *Server) Leader() string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.leader
}

// SessionCount returns the number of open connections.
func (s *Server) SessionCount() int {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return len(s.sessions)
}

// Value returns what a read on this server would see.
func (s *Server) Value(table, id string) (string, bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	v, ok := s.rows[table][id]
	return v, ok
}

// closeSessions cuts every connection. The caller holds the group's lock.
func (s *Server) closeSessions() {
	for _, c := range s.sessions {
		c.terminateSession()
	}
}

func (s *Server) serveUntilDone(ctx context.Context) {
	s.stopped = ctx.Done()
	go func() {
		<-ctx.Done()
		_ = s.listener.Close()
	}()
	go s.accept(ctx)
}

func (s *Server) accept(ctx context.Context) {
	defer close(s.done)
	var running sync.WaitGroup
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			continue
		}
		running.Add(1)
		go func() {
			defer running.Done()
			s.serve(ctx, c)
		}()
	}
	s.group.mu.Lock()
	s.closeSessions()
	s.group.changed.Broadcast()
	s.group.mu.Unlock()
	running.Wait()
}

// demote ends the transactions that could write, as a server does that stops
// being the primary. The session that asked for it goes on.
func (s *Server) demote(requester *session) {
	if s.role != rolePrimary {
		return
	}
	for _, c := range s.sessions {
		if c != requester && c.txn != nil && !c.txn.readOnly {
			c.terminateSession()
		}
	}
}

// startTerm writes the first record of the server's term. The caller holds the
// group's lock, or nobody else knows the group yet.
func (s *Server) startTerm() { s.appendRecord(nil) }

func (s *Server) appendRecord(writes []write) *record {
	r := &record{
		position:   floor.ReplicationPosition{Term: s.term, Position: floor.Position(len(s.log) + 1)},
		appendTime: s.group.options.Clock.Now(),
		writes:     writes,
	}
	s.log = append(s.log, r)
	return r
}

// applyDue applies committed records in order once their lag has passed.
func (s *Server) applyDue(now clock.Millis) {
	if s.role == rolePrimary || s.group.primaryReachable(s) {
		s.contactTime = now
	}
	for s.applied < len(s.log) {
		r := s.log[s.applied]
		if !r.committed {
			return
		}
		if s.role != rolePrimary && now < r.appendTime+s.applyDelay {
			// What the primary had before this record is all applied.
			s.caughtUpTime = max(s.caughtUpTime, r.appendTime-1)
			return
		}
		s.applyRecord(r)
		s.applied++
	}
	if s.role == rolePrimary || s.group.primaryReachable(s) {
		s.caughtUpTime = now
	}
}

func (g *Group) primaryReachable(s *Server) bool {
	for _, p := range g.servers {
		if p.name == s.leader {
			return !p.down && p.role == rolePrimary && p.term == s.term && g.connected(p.name, s.name)
		}
	}
	return false
}

func (s *Server) applyRecord(r *record) {
	for _, w := range r.writes {
		if w.deleted {
			delete(s.rows[w.table], w.id)
			continue
		}
		if s.rows[w.table] == nil {
			s.rows[w.table] = map[string]string{}
		}
		s.rows[w.table][w.id] = w.value
	}
}

// rebuildRows forgets what was applied beyond length after the log was cut back.
func (s *Server) rebuildRows(logLength int) {
	s.rows = map[string]map[string]string{}
	s.applied = 0
	for s.applied < logLength && s.log[s.applied].committed {
		s.applyRecord(s.log[s.applied])
		s.applied++
	}
}

func (s *Server) appliedPosition() floor.ReplicationPosition {
	if s.applied == 0 {
		return floor.ReplicationPosition{}
	}
	return s.log[s.applied-1].position
}

func (s *Server) lastPosition() floor.ReplicationPosition {
	if len(s.log) == 0 {
		return floor.ReplicationPosition{}
	}
	return s.log[len(s.log)-1].position
}
