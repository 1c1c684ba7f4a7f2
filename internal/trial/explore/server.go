package explore

// The transitions of servers. Each cites the sentence of the page that allows it.

// position returns the end of a server's log as the server reports it. "The position is
// TERM.NUMBER of the server's log": the page does not say whether TERM is that of the server
// or that of the last commit, which Surroundings.ServerTerms decides.
func (m *Model) position(s *state, id uint8) position {
	v := &s.servers[id]
	p := position{term: v.term, number: v.length}
	if m.Surroundings.ServerTerms || v.primary {
		return p
	}
	p.term = 1
	if v.length > 0 {
		p.term = s.commits[v.log[v.length-1]-1].at.term
	}
	return p
}

// appendCommit writes a commit at a primary: "Each commit that writes is assigned the next
// number."
func (s *state) appendCommit(id, number uint8, sender uint8) {
	v := &s.servers[id]
	v.log[v.length] = number + 1
	v.length++
	s.commits[number] = commit{status: appended, vm: sender, server: id, at: position{term: v.term, number: v.length}, late: v.term < s.term}
}

// canReceive reports whether a replica receives from a primary. "PAUSE with a term above the
// newest term stops a replica from receiving until RESUME, a promote, or the replica's
// restart." A replica that follows a later term receives nothing of an earlier one.
func (s *state) canReceive(replica, from uint8) bool {
	r, p := &s.servers[replica], &s.servers[from]
	return replica != from && s.reaches(replica, from) && !r.primary && p.primary && r.paused == 0 && r.term <= p.term
}

// receive hands a replica the next commit of a primary, and reports whether it changed
// anything. "Replicas receive the commit over the network and apply it later." "Replicas that
// were ahead are rolled back": the first contact with the primary of a later term removes what
// that primary does not have. "When syncReplicas is 1, the commit is acknowledged once one
// replica has received it."
func (s *state) receive(replica, from uint8) bool {
	r, p := &s.servers[replica], &s.servers[from]
	if r.term < p.term {
		r.join(p)
		return true
	}
	if r.length >= p.length {
		return false
	}
	c := p.log[r.length]
	r.log[r.length] = c
	r.length++
	if s.commits[c-1].status == appended && s.commits[c-1].at.term == p.term {
		s.commits[c-1].status = replicated
	}
	return true
}

// join makes a replica follow a primary of a later term.
func (v *server) join(p *server) {
	v.term = p.term
	common := uint8(0)
	for common < min(v.length, p.length) && v.log[common] == p.log[common] {
		common++
	}
	v.length = common
	clear(v.log[common:])
}

// follow makes every replica follow the primary of the latest term that it can receive from.
func (s *state) follow() {
	for i := range s.servers {
		for j := range s.servers {
			if s.canReceive(uint8(i), uint8(j)) && s.servers[i].term < s.servers[j].term {
				s.servers[i].join(&s.servers[j])
			}
		}
	}
}

// reaches reports whether two servers can reach each other.
func (s *state) reaches(a, b uint8) bool {
	x, y := &s.servers[a], &s.servers[b]
	return x.up && y.up && !x.cut && !y.cut
}

// pause runs PAUSE with a term at a replica.
func (s *state) pause(id, term uint8) {
	if v := &s.servers[id]; !v.primary && term > v.term {
		v.paused = max(v.paused, term)
	}
}

// stepDown runs STEPDOWN: "STEPDOWN with a term makes a primary of a lower term a replica."
func (s *state) stepDown(id, term uint8) {
	if v := &s.servers[id]; v.term < term {
		v.primary = false
	}
}

// meetsLater reports whether a replaced primary can step down by itself: "The old primary
// continues until STEPDOWN, or until a second after it can reach the new primary."
func (s *state) meetsLater(id uint8) bool {
	v := &s.servers[id]
	if !v.up || !v.primary || v.cut {
		return false
	}
	for i := range s.servers {
		if o := &s.servers[i]; o.up && o.primary && !o.cut && o.term > v.term {
			return true
		}
	}
	return false
}

// promote carries out an order: "Some hundred ms after that call, the named server leads the
// next term with what it had received and nothing more." "For the present primary, the call
// returns 200, and nothing changes." "A 409 response also indicates that this server is not
// running": promote then returns false.
func (m *Model) promote(s *state, id uint8) bool {
	v := &s.servers[id]
	if !v.up {
		return false
	}
	if v.primary && v.term == s.term {
		return true
	}
	s.promotions++
	s.term++
	s.leader = id
	v.primary, v.term, v.paused = true, s.term, 0
	if m.Surroundings.PromoteEndsPauses {
		for i := range s.servers {
			if s.reaches(id, uint8(i)) {
				s.servers[i].paused = 0
			}
		}
	}
	for i, c := range s.commits {
		if c.status == acknowledged && !v.contains(uint8(i+1)) {
			s.violation = lostCommit
		}
	}
	return true
}

// start starts a server that crashed: "A primary that crashed comes back with its log, as a
// replica if another server was promoted." A pause lasts until "the replica's restart".
func (s *state) start(id uint8) {
	v := &s.servers[id]
	v.up, v.paused = true, 0
	if v.term < s.term {
		v.primary = false
	}
}
