package primary

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// record is one write in a fake server's log; id is unique in a run.
type record struct {
	position floor.ReplicationPosition
	id       int
}

// server is a fake backend server. inSyncAt is when it last copied its primary's log,
// and answerDelay the added delay of its answers. With connectionsExhausted it answers
// probes without its state.
type server struct {
	name, leader, claimant string
	term                   floor.Term
	role                   Role
	log                    []record
	inSyncAt               clock.Millis
	down                   bool
	answerDelay            clock.Millis
	connectionsExhausted   bool
}

func (s *server) lastPosition() floor.ReplicationPosition {
	if len(s.log) == 0 {
		return floor.ReplicationPosition{}
	}
	return s.log[len(s.log)-1].position
}

func (w *world) handleSeal(s *server, a Action) Event {
	e := Event{Kind: Sealed, Server: s.name, Claimant: a.Claimant, Term: s.term}
	if a.Term < s.term || a.Term == s.term && s.claimant != a.Claimant {
		e.Refused = true
		return e
	}
	if a.Term > s.term {
		s.term, s.claimant, s.role, s.leader = a.Term, a.Claimant, RoleSealed, ""
	}
	e.Term, e.Position = s.term, s.lastPosition()
	return e
}

func (w *world) handlePromote(s *server, a Action) Event {
	e := Event{Kind: Promoted, Server: s.name, Claimant: a.Claimant, Term: s.term}
	if s.term != a.Term || s.claimant != a.Claimant {
		e.Refused = true
		return e
	}
	if s.role == RolePrimary {
		return e
	}
	if old := w.primaryByTerm[s.term]; old != "" && old != s.name {
		w.fail("term %d has the primaries %s and %s", s.term, old, s.name)
	}
	w.primaryByTerm[s.term] = s.name
	s.role, s.leader = RolePrimary, s.name
	w.checkAckedWrites(s)
	w.write(s)
	return e
}

// checkAckedWrites checks that a primary has every acknowledged write.
func (w *world) checkAckedWrites(s *server) {
	has := map[int]bool{}
	for _, r := range s.log {
		has[r.id] = true
	}
	for id := range w.acked {
		if !has[id] {
			w.fail("the primary %s of term %d lacks the acknowledged write %d", s.name, s.term, id)
		}
	}
}

func (w *world) handleFollow(s *server, a Action) {
	if a.Term < s.term || a.Leader == s.name || s.role == RolePrimary && a.Term == s.term {
		return
	}
	s.term, s.leader, s.role = a.Term, a.Leader, RoleReplica
}

func (w *world) write(s *server) {
	w.nextID++
	s.log = append(s.log, record{position: floor.ReplicationPosition{Term: s.term, Position: floor.Position(len(s.log) + 1)}, id: w.nextID})
}

// replicate writes one record at each primary, copies its log to its replicas and
// acknowledges the writes that a majority has.
func (w *world) replicate() {
	for _, p := range w.servers {
		if p.role != RolePrimary || p.down {
			continue
		}
		w.write(p)
		for _, r := range w.servers {
			if w.follows(r, p) && !r.down && !w.cutLinks[p.name+">"+r.name] && !w.cutLinks[r.name+">"+p.name] {
				r.copyLog(p)
				r.inSyncAt = w.now
			}
		}
		w.acknowledge(p)
	}
}

func (w *world) follows(r, p *server) bool {
	return r != p && r.leader == p.name && r.term == p.term
}

// copyLog makes the log equal to that of p.
func (s *server) copyLog(p *server) {
	commonLength := min(len(s.log), len(p.log))
	for commonLength > 0 && s.log[commonLength-1] != p.log[commonLength-1] {
		commonLength--
	}
	s.log = append(s.log[:commonLength:commonLength], p.log[commonLength:]...)
}

// has reports whether the log contains record i of p.
func (s *server) has(p *server, i int) bool { return len(s.log) > i && s.log[i] == p.log[i] }

// acknowledge finds the last record of the primary's own term that a majority has.
// That record and all before it are committed.
func (w *world) acknowledge(p *server) {
	i := len(p.log) - 1
	for ; i >= 0 && p.log[i].position.Term == p.term && !w.acked[p.log[i].id]; i-- {
		copies := 1
		for _, r := range w.servers {
			if w.follows(r, p) && r.has(p, i) {
				copies++
			}
		}
		if copies >= 2 {
			w.commit(p, i)
			return
		}
	}
}

// commit acknowledges the records of p up to index last. It records a failure if a
// majority of the servers is in a later term already.
func (w *world) commit(p *server, last int) {
	serversInLaterTerm := 0
	for _, s := range w.servers {
		if s.term > p.term {
			serversInLaterTerm++
		}
	}
	if serversInLaterTerm >= 2 {
		w.fail("%s acknowledges in term %d after a later one was sealed", p.name, p.term)
	}
	for i := last; i >= 0 && !w.acked[p.log[i].id]; i-- {
		w.acked[p.log[i].id] = true
	}
	w.gap, w.ackedAt = max(w.gap, w.now-w.ackedAt), w.now
}
