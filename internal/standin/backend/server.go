package backend

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// role is a server's role in its group, as group_state reports it.
type role string

const (
	rolePrimary role = "primary"
	roleReplica role = "replica"
	// roleSealed is the role after group_seal has moved the server to a new term that has
	// no primary yet. It lasts until group_promote or group_follow.
	roleSealed role = "sealed"
)

// Server is one backend server of a group.
type Server struct {
	name     string
	group    *Group
	listener net.Listener
	// slots has an element for each statement that occupies a slot.
	slots chan struct{}
	// done is closed once the listener is closed and every connection has ended.
	done chan struct{}
	// stopped is closed when the group's context ends.
	stopped <-chan struct{}

	// The fields below are guarded by the group's lock.
	role role
	term floor.Term
	// claimant identifies the claim, an observer's attempt to choose the primary of a term,
	// for which the server was last sealed. No other claim may promote the server in that
	// term.
	claimant string
	// leader names the primary of term; it is empty while the server is sealed.
	leader string
	log    []*record
	// applied is the number of records of log that are applied to rows.
	applied int
	// caughtUpTime is the last time at which rows included every record of the primary.
	caughtUpTime clock.Millis
	// contactTime is the last time at which the server was, or could reach, its primary.
	contactTime clock.Millis
	// rows holds values by table and id.
	rows map[string]map[string]string
	// rowLocks holds the owner of a lock by table and id.
	rowLocks map[[2]string]*session
	// advisoryLocks holds the owner of a lock by its key.
	advisoryLocks map[int64]*session
	// sessions holds the open connections by process ID.
	sessions      map[uint32]*session
	nextPID       uint32
	down          bool
	unresponsive  bool
	applyDelay    clock.Millis
	statementFunc func(sql string)
}

// newServer returns a replica that listens on address. serveUntilDone makes it serve
// connections.
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

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// SetDown stops or restarts the server. While it is down it has no sessions, closes
// new connections and neither sends nor receives records; its log and rows stay.
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

// SetUnresponsive makes the server accept connections but neither answer nor close
// them, or ends that. Replication goes on.
func (s *Server) SetUnresponsive(unresponsive bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.unresponsive = unresponsive
	s.group.changed.Broadcast()
}

// SetApplyDelay replaces Options.ApplyDelay for this server, in milliseconds.
func (s *Server) SetApplyDelay(delay clock.Millis) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.applyDelay = delay
}

// SetStatementFunc has f called with the text of every statement before it runs. f is
// called with the group's lock held, so calling the group or its servers would deadlock.
func (s *Server) SetStatementFunc(f func(sql string)) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.statementFunc = f
}

// Leader returns the name of the primary that the server follows or is, or "" while
// the server is sealed.
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

// Value returns the applied value of a row on this server, and whether there is one.
func (s *Server) Value(table, id string) (string, bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	v, ok := s.rows[table][id]
	return v, ok
}

// closeSessions closes every connection. The caller holds the group's lock.
func (s *Server) closeSessions() {
	for _, c := range s.sessions {
		c.terminateSession()
	}
}

// serveUntilDone starts to serve connections and returns at once. When ctx ends, the
// listener is closed.
func (s *Server) serveUntilDone(ctx context.Context) {
	s.stopped = ctx.Done()
	go func() {
		<-ctx.Done()
		_ = s.listener.Close()
	}()
	go s.accept(ctx)
}

// accept serves connections until the listener is closed, then terminates the sessions
// and waits for all connections to end.
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

// terminateWriters terminates a primary's sessions whose transactions may write, before
// it stops being the primary. The session of the requester continues. The caller holds the
// group's lock.
func (s *Server) terminateWriters(requester *session) {
	if s.role != rolePrimary {
		return
	}
	for _, c := range s.sessions {
		if c != requester && c.txn != nil && !c.txn.readOnly {
			c.terminateSession()
		}
	}
}

// startTerm appends an empty record, the first of the server's term, so that records
// of earlier terms can be committed. The caller holds the group's lock, or no other
// goroutine has the group yet.
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

// applyDueRecords applies, in order, the committed records whose apply delay has passed,
// and updates contactTime and caughtUpTime. A primary applies without delay. The caller
// holds the group's lock and has just copied the primary's log, so that a server that is
// up and reaches its primary has all of the primary's records.
func (s *Server) applyDueRecords(now clock.Millis) {
	if s.role == rolePrimary || s.group.primaryReachable(s) {
		s.contactTime = now
	}
	for s.applied < len(s.log) {
		r := s.log[s.applied]
		if !r.committed {
			return
		}
		if s.role != rolePrimary && now < r.appendTime+s.applyDelay {
			// Every record that the primary appended before this one is applied.
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

// primaryReachable reports whether s follows a primary of its own term that is up
// and not partitioned from s.
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

// rebuildRows empties the rows and applies the first logLength records again, up to the
// first uncommitted one. It is called when later records that were applied have been
// replaced.
func (s *Server) rebuildRows(logLength int) {
	s.rows = map[string]map[string]string{}
	s.applied = 0
	for s.applied < logLength && s.log[s.applied].committed {
		s.applyRecord(s.log[s.applied])
		s.applied++
	}
}

// appliedPosition returns the position of the last record that is visible to reads, or
// the zero position if none is applied.
func (s *Server) appliedPosition() floor.ReplicationPosition {
	if s.applied == 0 {
		return floor.ReplicationPosition{}
	}
	return s.log[s.applied-1].position
}

// lastPosition returns the position of the last record in the log, or the zero position
// if the log is empty.
func (s *Server) lastPosition() floor.ReplicationPosition {
	if len(s.log) == 0 {
		return floor.ReplicationPosition{}
	}
	return s.log[len(s.log)-1].position
}
