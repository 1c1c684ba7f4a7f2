package explore

import (
	"github.com/cespare/xxhash/v2"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

const (
	maxVMs     = 3
	maxServers = 4
	maxCommits = 3
	maxOrders  = 3
	// unset stands for no server or no VM.
	unset = uint8(0xff)
)

var (
	serverIDs = [maxServers]string{"s1", "s2", "s3", "s4"}
	vmNames   = [maxVMs]string{"vm1", "vm2", "vm3"}
)

// position is a log position in few bytes.
type position struct{ term, number uint8 }

func (p position) replication() floor.ReplicationPosition {
	return floor.ReplicationPosition{Term: floor.Term(p.term), Position: floor.Position(p.number)}
}

func (p position) max(o position) position {
	if p.replication().Covers(o.replication()) {
		return p
	}
	return o
}

// server is a backend server. Its log holds commits, counted from 1.
type server struct {
	up, primary bool
	// cut is set while no other server can reach it.
	cut bool
	// term is that of the primary that it last received from, or its own as primary.
	term uint8
	// paused is the term of the PAUSE in force, or 0.
	paused uint8
	length uint8
	log    [maxCommits]uint8
}

// contains reports whether the log has a commit.
func (s *server) contains(commit uint8) bool {
	for i := range s.length {
		if s.log[i] == commit {
			return true
		}
	}
	return false
}

// vm is a VM as far as one group is concerned. Its process forgets all of it at a restart.
type vm struct {
	term   uint8
	leader uint8
	// lease is set while a proof lets the VM use the leader.
	lease bool
	// released is set while a claimant may rely on the VM's release for releasedToken.
	released      bool
	releasedToken uint8
	acknowledged  position
	// forgot is set if the process is not the VM's first.
	forgot bool
	// stopping is set once the VM has left the list of VMs. It serves on until it ends.
	stopping bool
	attempt  attempt
}

// phase is the phase of an attempt to change the primary.
type phase uint8

const (
	idle phase = iota
	sealing
	releasing
	confirming
	ordered
	finishing
)

// sealed is a server's seal as the claimant knows it.
type sealed struct {
	held bool
	end  position
}

// attempt is a claimAttempt of serve/database.
type attempt struct {
	phase       phase
	token, term uint8
	former      uint8
	target      uint8
	seals       [maxServers]sealed
	// heard names the VMs whose release is known, forgetful those of them that had forgotten
	// what they acknowledged, late those that started during the attempt, and renewed those
	// that got a proof since the servers were sealed.
	heard, forgetful, late, renewed uint8
	reports                         [maxVMs]position
	// awaited is set once a release or the lease has been waited for.
	awaited, released, ordered bool
}

// record is the claim record in the store.
type record struct {
	holder, term, target, former, version uint8
	// ordered is set once Target was ordered, start is the number at which the last ordered
	// target's log ended.
	ordered bool
	start   uint8
}

// replaces reports whether a promotion that ends a term was ordered.
func (r *record) replaces(term uint8) bool {
	return r.term > term || r.ordered && r.term == term
}

// commitStatus is how far a commit has come.
type commitStatus uint8

const (
	unused commitStatus = iota
	// sent means that the statement is on its way to the server.
	sent
	appended
	// replicated means that the server acknowledged it; the answer is on its way.
	replicated
	acknowledged
	unknown
)

// commit is a write sent by a VM.
type commit struct {
	status commitStatus
	vm     uint8
	server uint8
	at     position
	// late is set if a later term had begun when the server wrote it.
	late bool
}

// order is a promotion order that the platform has not carried out yet.
type order struct {
	open   bool
	target uint8
	token  uint8
}

// violation is a broken promise.
type violation uint8

const (
	holds violation = iota
	lostCommit
	lateCommit
)

func (v violation) String() string {
	return [...]string{"none", "LOST: an acknowledged commit is missing at the promoted server", "ONE: a commit of a replaced primary was acknowledged"}[v]
}

// state is one state of the group and all that concerns it. It is a value: transitions copy
// it.
type state struct {
	servers [maxServers]server
	vms     [maxVMs]vm
	commits [maxCommits]commit
	orders  [maxOrders]order
	record  record
	// resumes names the servers to which a RESUME is on its way.
	resumes uint8
	// term is the newest term and leader the server last promoted.
	term, leader                 uint8
	faults, attempts, promotions uint8
	violation                    violation
}

// encoder appends the fields of a state to a buffer.
type encoder struct{ buffer []byte }

func (e *encoder) add(values ...uint8) { e.buffer = append(e.buffer, values...) }

func (e *encoder) flags(values ...bool) {
	b := uint8(0)
	for i, v := range values {
		if v {
			b |= 1 << i
		}
	}
	e.buffer = append(e.buffer, b)
}

func (e *encoder) vm(v *vm) {
	a := &v.attempt
	e.add(v.term, v.leader, v.releasedToken, v.acknowledged.term, v.acknowledged.number)
	e.flags(v.lease, v.released, v.forgot, v.stopping, a.awaited, a.released, a.ordered)
	e.add(uint8(a.phase))
	if a.phase == idle {
		return
	}
	e.add(a.token, a.term, a.former, a.target, a.heard, a.forgetful, a.late, a.renewed)
	for _, s := range a.seals {
		e.flags(s.held)
		e.add(s.end.term, s.end.number)
	}
	for _, r := range a.reports {
		e.add(r.term, r.number)
	}
}

// hash returns the hash by which states are told apart.
func (s *state) hash(e *encoder, size Size) uint64 {
	e.buffer = e.buffer[:0]
	for i := range s.servers[:size.Servers] {
		v := &s.servers[i]
		e.flags(v.up, v.primary, v.cut)
		e.add(v.term, v.paused, v.length)
		e.add(v.log[:]...)
	}
	for i := range s.vms[:size.VMs] {
		e.vm(&s.vms[i])
	}
	for _, c := range s.commits {
		e.add(uint8(c.status), c.vm, c.server, c.at.term, c.at.number)
		e.flags(c.late)
	}
	for _, o := range s.orders {
		e.flags(o.open)
		e.add(o.target, o.token)
	}
	r := &s.record
	e.add(r.holder, r.term, r.target, r.former, r.version, r.start)
	e.flags(r.ordered)
	e.add(s.resumes, s.term, s.leader, s.faults, s.attempts, s.promotions, uint8(s.violation))
	return xxhash.Sum64(e.buffer)
}
