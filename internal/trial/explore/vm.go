package explore

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/core/tenure"
)

// now is the time at which each step is decided. Time passes only as far as events say so.
const now = clock.Millis(100_000)

// knowledge is what a VM's tenure.Watch tells of a group.
type knowledge struct {
	term, leader uint8
	released     bool
	// proved is set while a proof made by the last event is valid.
	proved bool
}

// answer is a server's answer to a command: "role, term, position received, term held".
type answer struct {
	server, term, sealed uint8
	primary              bool
	end                  position
}

// answer returns what a server answers now.
func (m *Model) answer(s *state, id uint8) answer {
	v := &s.servers[id]
	return answer{server: id, primary: v.primary, term: v.term, sealed: max(v.term, v.paused), end: m.position(s, id)}
}

func (a answer) status() statement.ReplicationStatus {
	return statement.ReplicationStatus{
		Primary: a.primary, Term: floor.Term(a.term), Sealed: floor.Term(a.sealed), Received: a.end.replication(),
	}
}

// observation is what a VM knows and the answers that it gets: one, or those of its leader
// and a replica.
type observation struct {
	before        knowledge
	first, second answer
	both          bool
}

// watch returns the tenure.Watch of a VM that has no proof.
func (k knowledge) watch() tenure.Watch {
	w := tenure.New(1)
	if k.term > 0 {
		w = w.WithTerm(floor.Term(k.term), leaderID(k.leader))
	}
	if k.released {
		w = w.WithRelease(now)
	}
	return w
}

// after returns what the VM knows after the answers.
func (o observation) after() knowledge {
	w := o.before.watch()
	if o.both {
		w = w.WithStatus(serverIDs[o.first.server], o.first.status(), now).WithStatus(serverIDs[o.second.server], o.second.status(), now)
	} else {
		w = w.WithStatus(serverIDs[o.first.server], o.first.status(), clock.DistantPast)
	}
	return knownBy(w)
}

// knownBy returns what a watch knows.
func knownBy(w tenure.Watch) knowledge {
	term, id := w.Leader()
	k := knowledge{term: uint8(term), leader: unset, released: w.Released(now), proved: w.LeaseValid(now)}
	for i, s := range serverIDs {
		if s == id {
			k.leader = uint8(i)
		}
	}
	return k
}

// observe returns what a VM knows after the answers. It asks tenure.Watch once for each
// observation.
func (m *Model) observe(o observation) knowledge {
	k, known := m.observed[o]
	if !known {
		if m.observed == nil {
			m.observed = map[observation]knowledge{}
		}
		k = o.after()
		m.observed[o] = k
	}
	return k
}

func (v *vm) knowledge() knowledge {
	return knowledge{term: v.term, leader: v.leader, released: v.released}
}

// setKnowledge takes over what a watch knows after an event, and reports whether anything
// changed. An earlier proof lasts while the term and the leader stay.
func (v *vm) setKnowledge(k knowledge) bool {
	before := v.knowledge()
	had := v.lease
	kept := had && k.term == v.term && k.leader == v.leader && !k.released
	v.term, v.leader, v.released, v.lease = k.term, k.leader, k.released, k.proved || kept
	return v.knowledge() != before || v.lease != had
}

// learn applies a server's status to a VM.
func (m *Model) learn(s *state, v *vm, id uint8) bool {
	return v.setKnowledge(m.observe(observation{before: v.knowledge(), first: m.answer(s, id)}))
}

// renew lets a VM ask its leader and a replica, and reports whether that is a proof.
func (m *Model) renew(s *state, number, replica uint8) bool {
	v := &s.vms[number]
	if v.leader == unset || replica == v.leader || !s.servers[v.leader].up || !s.servers[replica].up {
		return false
	}
	if m.Rules.ReadsClaimBeforeProof && !v.lease && (s.record.replaces(v.term) || s.isClaimed(v.term)) {
		return false
	}
	k := m.observe(observation{before: v.knowledge(), first: m.answer(s, v.leader), second: m.answer(s, replica), both: true})
	if !k.proved {
		return false
	}
	v.setKnowledge(k)
	for i := range s.vms {
		s.vms[i].attempt.renewed |= 1 << number
	}
	return true
}

// stepDownEarlier lets a VM tell a primary of an earlier term to step down, as Group.stepDownEarlier does.
func (s *state) stepDownEarlier(number, id uint8) bool {
	v := &s.servers[id]
	if !v.up || !v.primary || v.term >= s.vms[number].term {
		return false
	}
	v.primary = false
	return true
}

// write sends a commit to the leader, if the VM may use it.
func (s *state) write(number, next uint8) bool {
	v := &s.vms[number]
	if !v.lease || v.released || v.leader == unset {
		return false
	}
	leader := &s.servers[v.leader]
	if !leader.up || !leader.primary || leader.length >= maxCommits {
		return false
	}
	s.appendCommit(v.leader, next, number)
	return true
}

// sendWrite sends a commit to the leader that arrives later.
func (s *state) sendWrite(number, next uint8) bool {
	v := &s.vms[number]
	if !v.lease || v.released || v.leader == unset {
		return false
	}
	s.commits[next] = commit{status: sent, vm: number, server: v.leader}
	return true
}

// arrive lets a server write a commit that was on its way.
func (s *state) arrive(number uint8) bool {
	c := s.commits[number]
	p := &s.servers[c.server]
	if c.status != sent || !p.up || !p.primary || p.length >= maxCommits {
		return false
	}
	s.appendCommit(c.server, number, c.vm)
	return true
}

// acknowledge tells the caller of a commit that it is committed, as Group.recordCommit does,
// and reports whether it may.
func (m *Model) acknowledge(s *state, number uint8) bool {
	c := &s.commits[number]
	if c.status != replicated {
		return false
	}
	v := &s.vms[c.vm]
	if c.at.term < v.term || c.at.term == v.term && v.released {
		return false
	}
	if m.Rules.ChecksLeaseAtAnswer && !v.lease {
		return false
	}
	c.status = acknowledged
	v.acknowledged = v.acknowledged.max(c.at)
	if c.late {
		s.violation = lateCommit
	}
	if s.term > c.at.term && !s.servers[s.leader].contains(number+1) {
		s.violation = lostCommit
	}
	return true
}

// report returns the position that a VM reports as acknowledged when it releases a term, as
// Group.View does.
func (m *Model) report(v *vm) position {
	if m.Rules.AcknowledgedAcrossTerms || v.acknowledged.term == v.term {
		return v.acknowledged
	}
	return position{}
}

// dropCommits makes the outcome of a VM's commits without an answer unknown.
func (s *state) dropCommits(number uint8) {
	for i := range s.commits {
		if c := &s.commits[i]; c.vm == number && (c.status == sent || c.status == appended || c.status == replicated) {
			c.status = unknown
		}
	}
}

// stop makes a VM leave the list of VMs, and reports whether it was there.
func (m *Model) stop(s *state, number uint8) bool {
	if s.vms[number].stopping {
		return false
	}
	s.vms[number].stopping = true
	for i := range m.Size.VMs {
		if s.vms[i].attempt.phase == releasing {
			m.checkReleased(s, uint8(i))
		}
	}
	return true
}

// restartVM ends a VM's process and starts another, which knows nothing of the earlier one.
func (m *Model) restartVM(s *state, number uint8) {
	s.vms[number] = vm{leader: unset, forgot: true}
	s.dropCommits(number)
	for i := range s.vms {
		a := &s.vms[i].attempt
		if a.phase == idle {
			continue
		}
		a.late |= 1 << number
		a.heard &^= 1 << number
		if !m.Rules.AccountsForRestarts {
			// Group.MergeView replaces the vote by that of the new process.
			a.reports[number] = position{}
		}
	}
}
