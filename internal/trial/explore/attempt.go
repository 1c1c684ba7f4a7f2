package explore

import (
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// claim begins an attempt, as claimAttempt.acquireClaim does.
func (m *Model) claim(s *state, number uint8) bool {
	v := &s.vms[number]
	if v.attempt.phase != idle || v.term == 0 || v.stopping || s.attempts >= m.Bounds.Attempts {
		return false
	}
	if m.Rules.WaitsOutOrders && s.hasOpenOrder() {
		return false
	}
	old := s.record
	if m.Rules.RefusesEarlierTerm && old.term > v.term {
		return false
	}
	if !s.canTakeOver(number) {
		return false
	}
	a := attempt{phase: sealing, term: v.term, former: v.leader, target: unset}
	s.record = record{holder: number, term: v.term, target: unset, version: old.version + 1, start: old.start}
	if old.term == v.term {
		if a.former == unset {
			a.former = old.former
		}
		s.record.target, s.record.ordered = old.target, old.ordered
		if m.Rules.KeepsOrderedTarget && old.ordered {
			a.ordered, a.target = true, old.target
		}
	}
	a.token, s.record.former = s.record.version, a.former
	v.attempt = a
	s.attempts++
	return true
}

// isClaimed reports whether the claim record tells of an attempt for a term that may be in
// progress.
func (s *state) isClaimed(term uint8) bool {
	r := &s.record
	return r.holder != unset && r.term == term && s.vms[r.holder].attempt.phase != idle
}

// canTakeOver asks failover.Claim. The claim of a running attempt is young; all others are
// as old as they need to be.
func (s *state) canTakeOver(number uint8) bool {
	if s.record.holder == unset {
		return true
	}
	age := failover.LiveHolderTimeout
	if s.vms[s.record.holder].attempt.phase != idle {
		age = failover.AttemptTimeout
	}
	c := failover.Claim{Holder: vmNames[s.record.holder]}
	return c.CanTakeOver(vmNames[number], age, true)
}

func (s *state) hasOpenOrder() bool {
	for _, o := range s.orders {
		if o.open {
			return true
		}
	}
	return false
}

// end ends a VM's attempt without another command.
func (v *vm) end() { v.attempt = attempt{} }

// holdsClaim reports whether an attempt may go on. It ends one whose VM has released the
// term for a later claim.
func (v *vm) holdsClaim() bool {
	if v.attempt.phase == idle {
		return false
	}
	if v.releasedToken > v.attempt.token {
		v.end()
		return false
	}
	return true
}

// servers returns the servers as the attempt knows them.
func (m *Model) servers(a *attempt) []failover.Server {
	out := make([]failover.Server, 0, maxServers)
	for i := range m.Size.Servers {
		out = append(out, failover.Server{
			ID: serverIDs[i], Sealed: a.seals[i].held, LogEnd: a.seals[i].end.replication(), FormerPrimary: uint8(i) == a.former,
		})
	}
	return out
}

func (m *Model) isSafe(a *attempt) bool { return failover.SafeToPromote(m.servers(a), 1) }

func (a *attempt) formerStopped() bool { return a.former != unset && a.seals[a.former].held }

// seal seals a server, as claimAttempt.sealServer does.
func (m *Model) seal(s *state, number, id uint8) bool {
	v := &s.vms[number]
	a := &v.attempt
	if a.phase != sealing && a.phase != releasing && a.phase != confirming || a.seals[id].held || !s.servers[id].up || !v.holdsClaim() {
		return false
	}
	if id == a.former {
		s.stepDown(id, a.term+1)
	} else {
		s.stepDown(id, a.term)
		s.pause(id, a.term+1)
	}
	status := m.answer(s, id).status()
	if status.Primary || id != a.former && status.Sealed < floor.Term(a.term+1) || status.Term > floor.Term(a.term) {
		m.learn(s, v, id)
		return true
	}
	a.seals[id] = sealed{held: true, end: m.position(s, id)}
	if a.phase == sealing && m.isSafe(a) {
		m.sealedEnough(s, number)
	}
	return true
}

// sealedEnough goes on to claimAttempt.awaitRelease, or back to confirmSafe if what it waits
// for has been waited for already.
func (m *Model) sealedEnough(s *state, number uint8) {
	v := &s.vms[number]
	a := &v.attempt
	if a.awaited && (a.released || a.formerStopped()) {
		a.phase = confirming
		return
	}
	a.phase, a.renewed = releasing, 0
	m.giveUpTerm(s, number, max(v.releasedToken, a.token))
	m.checkReleased(s, number)
}

// giveUpTerm makes a VM release the term, as tenure.Watch.WithRelease does.
func (m *Model) giveUpTerm(s *state, number, token uint8) {
	v := &s.vms[number]
	v.releasedToken, v.released, v.lease = token, true, false
	if m.Rules.DropsCommitsAtRelease {
		s.dropCommits(number)
	}
}

// checkReleased ends the wait once every other VM has released the term, as
// Group.termReleased decides: at present a VM that is stopping is not waited for.
func (m *Model) checkReleased(s *state, number uint8) {
	a := &s.vms[number].attempt
	for i := range m.Size.VMs {
		if s.vms[i].stopping && !m.Rules.CountsStoppingVMs {
			continue
		}
		if i != int(number) && (a.heard&(1<<i) == 0 || a.late&(1<<i) != 0) {
			return
		}
	}
	a.awaited, a.released, a.phase = true, true, confirming
}

// release lets another VM release the term and the claimant hear of it, as Group.MergeView
// does at both.
func (m *Model) release(s *state, number, other uint8) bool {
	v, w := &s.vms[number], &s.vms[other]
	a := &v.attempt
	if number == other || a.phase != releasing || !v.holdsClaim() {
		return false
	}
	if v.term > w.term {
		w.setKnowledge(knownBy(w.knowledge().watch().WithTerm(floor.Term(v.term), leaderID(v.leader))))
	}
	if a.token > w.releasedToken && w.term == v.term {
		m.giveUpTerm(s, other, a.token)
	}
	if w.releasedToken < a.token {
		return false
	}
	a.heard |= 1 << other
	if w.term == a.term {
		report := m.report(w)
		if m.Rules.AccountsForRestarts {
			report = report.max(a.reports[other])
		}
		a.reports[other] = report
	}
	if w.forgot {
		a.forgetful |= 1 << other
	}
	m.checkReleased(s, number)
	return true
}

func leaderID(id uint8) string {
	if id == unset {
		return ""
	}
	return serverIDs[id]
}

// awaitLease ends the wait when every lease has expired that was not renewed since the
// servers were sealed.
func (s *state) awaitLease(number uint8) bool {
	v := &s.vms[number]
	a := &v.attempt
	if a.phase != releasing || !v.holdsClaim() {
		return false
	}
	for i := range s.vms {
		if a.renewed&(1<<i) == 0 {
			s.vms[i].lease = false
		}
	}
	a.awaited, a.phase = true, confirming
	return true
}

// order confirms the seals and orders a promotion, as claimAttempt.promote does. What happens
// between the confirmation and the effect of the order happens while the order is open.
func (m *Model) order(s *state, number uint8) bool {
	v := &s.vms[number]
	a := &v.attempt
	if a.phase != confirming || v.term > a.term || !v.holdsClaim() {
		return false
	}
	confirmed := m.confirmSeals(s, a)
	if !m.isSafe(a) || !confirmed && !a.formerStopped() {
		a.phase = sealing
		if m.isSafe(a) {
			m.sealedEnough(s, number)
		}
		return true
	}
	target := m.target(s, v)
	if target == unset {
		return false
	}
	if a.ordered && target != a.target {
		v.end()
		return true
	}
	a.target, a.ordered, a.phase = target, true, ordered
	s.record.target, s.record.ordered = target, true
	s.record.version++
	s.record.start = a.seals[target].end.number
	return s.send(order{open: true, target: target, token: a.token})
}

func (s *state) send(o order) bool {
	for i := range s.orders {
		if !s.orders[i].open {
			s.orders[i] = o
			return true
		}
	}
	return false
}

// confirmSeals asks each sealed server anew and reports whether all confirm it.
func (m *Model) confirmSeals(s *state, a *attempt) bool {
	confirmed := true
	for i := range m.Size.Servers {
		l := &a.seals[i]
		if !l.held {
			continue
		}
		status := m.answer(s, uint8(i)).status()
		holds := uint8(i) == a.former || status.Sealed > floor.Term(a.term)
		if !s.servers[i].up || status.Primary || !holds || !status.Received.Covers(l.end.replication()) {
			*l, confirmed = sealed{}, false
		}
	}
	return confirmed
}

// target returns the server to promote, or unset.
func (m *Model) target(s *state, v *vm) uint8 {
	a := &v.attempt
	covered := position{}
	if m.Rules.AcknowledgedAcrossTerms || v.acknowledged.term == a.term {
		covered = v.acknowledged
	}
	for _, r := range a.reports {
		covered = covered.max(r)
	}
	complete := a.released
	if m.Rules.AccountsForRestarts && (v.forgot || a.forgetful != 0) {
		complete = false
	}
	servers := m.servers(a)
	if m.Rules.CoversTermStart {
		for i := range servers {
			l := servers[i].LogEnd
			if l.Position < floor.Position(s.record.start) || l.Position < floor.Position(covered.number) {
				servers[i].Sealed = false
			}
		}
	}
	id := failover.PromotionTarget(servers, 1, failover.Acknowledged{Position: covered.replication(), Complete: complete})
	for i := range serverIDs {
		if serverIDs[i] == id {
			return uint8(i)
		}
	}
	return unset
}

// effect carries out an open order and lets its attempt know.
func (m *Model) effect(s *state, number uint8) bool {
	o := s.orders[number]
	if !o.open {
		return false
	}
	s.orders[number] = order{}
	promoted := m.promote(s, o.target)
	for i := range s.vms {
		v := &s.vms[i]
		switch {
		case v.attempt.phase != ordered || v.attempt.token != o.token:
		case promoted:
			v.attempt.phase = finishing
		default:
			v.end()
		}
	}
	return true
}

// finish ends an attempt whose promotion is confirmed, as claimAttempt.finish does. stop is
// whether the former primary can be reached, late whether the RESUMEs arrive later.
func (m *Model) finish(s *state, number uint8, stop, late bool) bool {
	v := &s.vms[number]
	a := &v.attempt
	if a.phase != finishing || !v.holdsClaim() {
		return false
	}
	t := &s.servers[a.target]
	if !t.up || !t.primary || t.term <= a.term {
		return false
	}
	m.learn(s, v, a.target)
	if stop {
		if a.former == unset || a.former == a.target || !s.servers[a.former].up || !s.servers[a.former].primary {
			return false
		}
		s.stepDown(a.former, v.term)
	}
	m.unseal(s, a, a.target, late)
	v.end()
	return true
}

// unseal sends RESUME to the replicas that the attempt has sealed, except to one that leads.
func (m *Model) unseal(s *state, a *attempt, leader uint8, late bool) {
	stopped := a.former != unset && !s.servers[a.former].primary
	for i := range a.seals {
		id := uint8(i)
		if !a.seals[i].held || id == a.former || id == leader || !s.servers[i].up {
			continue
		}
		if m.Rules.UnsealsFollowers && leader != unset && !stopped && !s.reaches(id, leader) {
			continue
		}
		if late {
			s.resumes |= 1 << id
			continue
		}
		s.servers[i].paused = 0
	}
}

// giveUp ends an attempt before its order, as claimAttempt.giveUp does.
func (m *Model) giveUp(s *state, number uint8, late bool) bool {
	v := &s.vms[number]
	a := &v.attempt
	early := a.phase == sealing || a.phase == releasing || a.phase == confirming
	if !early || a.ordered && v.term <= a.term || !v.holdsClaim() {
		return false
	}
	except := unset
	if v.term > a.term {
		except = a.target
	}
	m.unseal(s, a, except, late)
	if v.releasedToken == a.token {
		v.released = false
	}
	v.end()
	return true
}

// lapse ends a VM's release: the claim has ended, or ClaimTimeout, which is longer than an
// attempt, has passed.
func (m *Model) lapse(s *state, number uint8) bool {
	v := &s.vms[number]
	if !v.released || m.Rules.KeepsReleases && s.record.replaces(v.term) {
		return false
	}
	for i := range s.vms {
		if a := &s.vms[i].attempt; a.phase != idle && a.token == v.releasedToken {
			return false
		}
	}
	v.released = false
	return true
}
