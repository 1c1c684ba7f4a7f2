// Package explore searches the orders of events around a change of primary for one that
// loses an acknowledged commit.
//
// The surroundings (servers, platform, store) are modelled after the page that describes
// them, apart from the stand-in of the tests. The decisions are those of the code that runs:
// failover.SafeToPromote, PromotionTarget and Claim.CanTakeOver, and tenure.Watch. The phases
// of an attempt (claim, seal, stop the former primary, release, confirm, order) follow
// serve/database step by step but are a model: they are not yet the code that runs, so that a
// fault of that code alone is not found here.
//
// Time is not modelled. An event that takes time may happen at any moment, except where the
// constants of failover and tenure order two of them: an attempt ends before its claim is
// taken over and before a release for it lapses. So a former primary that reaches the new one
// may go on for longer than the second that the page allows.
//
// PresentRules are those that the code that runs has, of which KeepsReleases and WaitsOutOrders
// hold there for a bounded time only; the others are proposals. Not modelled: servers that
// join, leave or start without their log, more than one synchronous replica, probes whose
// answers arrive late, VMs that end for good, positions that VMs report to each other, and a
// store that comes back from a copy.
package explore

// Surroundings are readings of the page where it leaves a choice.
type Surroundings struct {
	// ServerTerms means that a position has the term of the server, and not that of the
	// last commit in its log.
	ServerTerms bool
	// PromoteEndsPauses means that a promotion ends the pauses of all replicas that the new
	// primary reaches, and not only its own.
	PromoteEndsPauses bool
	// SlowSwitch means that a replica that reaches a new primary may still receive from the
	// former one for a while.
	SlowSwitch bool
}

// Size is the number of VMs and servers.
type Size struct{ VMs, Servers int }

// Bounds limit a run.
type Bounds struct{ Commits, Faults, Attempts, Promotions, Depth uint8 }

// Model is a group to be searched.
type Model struct {
	Rules        Rules
	Surroundings Surroundings
	Size         Size
	Bounds       Bounds
	// observed holds the decisions of tenure.Watch so far.
	observed map[observation]knowledge
}

// kind is a kind of event.
type kind uint8

const (
	receiveEvent kind = iota
	writeEvent
	acknowledgeEvent
	claimEvent
	sealEvent
	releaseEvent
	awaitLeaseEvent
	orderEvent
	effectEvent
	finishEvent
	finishStoppingEvent
	giveUpEvent
	lapseEvent
	renewEvent
	learnEvent
	replacedEvent
	stepDownEvent
	startEvent
	healEvent
	arriveEvent
	resumeEvent
	// The events from here on are faults.
	crashEvent
	restartServerEvent
	cutEvent
	restartVMEvent
	endAttemptEvent
	repeatOrderEvent
	stopEvent
	sendEvent
	giveUpLateEvent
	finishLateEvent
)

// event is an event with its operands: a VM, server, commit or order each.
type event struct {
	kind kind
	a, b uint8
}

// isFault reports whether the event counts as a fault.
func (e event) isFault() bool { return e.kind >= crashEvent }

// initial returns the state in which the first server leads term 1 and every VM knows it.
func (m *Model) initial() state {
	s := state{term: 1, record: record{holder: unset, target: unset, former: unset}}
	for i := range m.Size.Servers {
		s.servers[i] = server{up: true, primary: i == 0, term: 1}
	}
	for i := range m.Size.VMs {
		s.vms[i] = vm{term: 1, lease: true}
	}
	return s
}

// apply applies an event to a state, and reports whether it was possible. The state is
// useless if it was not.
func (m *Model) apply(s *state, e event) bool {
	if !m.applyEvent(s, e) {
		return false
	}
	if !m.Surroundings.SlowSwitch {
		s.follow()
	}
	return true
}

func (m *Model) applyEvent(s *state, e event) bool {
	if e.isFault() {
		if s.faults >= m.Bounds.Faults {
			return false
		}
		s.faults++
	}
	switch e.kind {
	case receiveEvent:
		return s.canReceive(e.a, e.b) && s.receive(e.a, e.b)
	case writeEvent:
		next := s.nextCommit()
		return next < m.Bounds.Commits && s.write(e.a, next)
	case acknowledgeEvent:
		return m.acknowledge(s, e.a)
	case claimEvent:
		return m.claim(s, e.a)
	case sealEvent:
		return m.seal(s, e.a, e.b)
	case releaseEvent:
		return m.release(s, e.a, e.b)
	case awaitLeaseEvent:
		return s.awaitLease(e.a)
	case orderEvent:
		return m.order(s, e.a)
	case effectEvent:
		return s.promotions < m.Bounds.Promotions && m.effect(s, e.a)
	case finishEvent:
		return m.finish(s, e.a, false, false)
	case finishStoppingEvent:
		return m.finish(s, e.a, true, false)
	case finishLateEvent:
		return m.finish(s, e.a, false, true) && s.resumes > 0
	case giveUpLateEvent:
		return m.giveUp(s, e.a, true) && s.resumes > 0
	case stopEvent:
		return m.stop(s, e.a)
	case sendEvent:
		next := s.nextCommit()
		return next < m.Bounds.Commits && s.sendWrite(e.a, next)
	case arriveEvent:
		return s.arrive(e.a)
	case giveUpEvent:
		return m.giveUp(s, e.a, false)
	case lapseEvent:
		return m.lapse(s, e.a)
	case renewEvent:
		return s.renewMatters(e.a) && m.renew(s, e.a, e.b)
	case replacedEvent:
		return s.stepDownEarlier(e.a, e.b)
	case learnEvent:
		return s.servers[e.b].up && m.learn(s, &s.vms[e.a], e.b)
	}
	return m.applyServer(s, e)
}

// applyServer applies the events of servers and the faults.
func (m *Model) applyServer(s *state, e event) bool {
	v := &s.servers[e.a%maxServers]
	switch e.kind {
	case stepDownEvent:
		if !s.meetsLater(e.a) {
			return false
		}
		v.primary = false
	case startEvent:
		if v.up {
			return false
		}
		s.start(e.a)
	case healEvent:
		if !v.cut {
			return false
		}
		v.cut = false
	case resumeEvent:
		if !v.up || s.resumes&(1<<e.a) == 0 {
			return false
		}
		s.resumes &^= 1 << e.a
		v.paused = 0
	case crashEvent:
		if !v.up {
			return false
		}
		v.up = false
	case restartServerEvent:
		if !v.up || v.primary || v.paused == 0 {
			return false
		}
		s.start(e.a)
	case cutEvent:
		if v.cut {
			return false
		}
		v.cut = true
	case restartVMEvent:
		m.restartVM(s, e.a)
	case endAttemptEvent:
		if s.vms[e.a].attempt.phase == idle {
			return false
		}
		s.vms[e.a].end()
	case repeatOrderEvent:
		a := &s.vms[e.a].attempt
		return a.phase == ordered && s.send(order{open: true, target: a.target, token: a.token})
	}
	return true
}

// nextCommit returns the number of the next commit.
func (s *state) nextCommit() uint8 {
	for i := range s.commits {
		if s.commits[i].status == unused {
			return uint8(i)
		}
	}
	return maxCommits
}

// renewMatters reports whether a proof would change anything.
func (s *state) renewMatters(number uint8) bool {
	if !s.vms[number].lease {
		return true
	}
	for i := range s.vms {
		if a := &s.vms[i].attempt; a.phase == releasing && a.renewed&(1<<number) == 0 {
			return true
		}
	}
	return false
}

// events returns all events that may be possible in some state.
func (m *Model) events() []event {
	var out []event
	vms, servers := uint8(m.Size.VMs), uint8(m.Size.Servers)
	pairs := func(k kind, first, second uint8) {
		for a := range first {
			for b := range second {
				out = append(out, event{k, a, b})
			}
		}
	}
	pairs(receiveEvent, servers, servers)
	pairs(acknowledgeEvent, maxCommits, 1)
	pairs(arriveEvent, maxCommits, 1)
	pairs(effectEvent, maxOrders, 1)
	for _, k := range []kind{sealEvent, renewEvent, learnEvent, replacedEvent} {
		pairs(k, vms, servers)
	}
	pairs(releaseEvent, vms, vms)
	for _, k := range []kind{writeEvent, claimEvent, awaitLeaseEvent, orderEvent, finishEvent, finishStoppingEvent, giveUpEvent, lapseEvent, restartVMEvent, endAttemptEvent, repeatOrderEvent, stopEvent, sendEvent, giveUpLateEvent, finishLateEvent} {
		pairs(k, vms, 1)
	}
	for _, k := range []kind{stepDownEvent, startEvent, healEvent, resumeEvent, crashEvent, restartServerEvent, cutEvent} {
		pairs(k, servers, 1)
	}
	return out
}
