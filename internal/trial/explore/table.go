package explore

import (
	"fmt"
	"strings"
)

// replay returns the steps of a run in words.
func (m *Model) replay(events []event) []Step {
	s := m.initial()
	var out []Step
	for _, e := range events {
		before := s
		if !m.apply(&s, e) {
			break
		}
		out = append(out, Step{Event: m.describe(&before, &s, e), After: m.summary(&s)})
	}
	return out
}

// describe returns an event in words.
func (m *Model) describe(before, after *state, e event) string {
	vm, server := vmNames[e.a%maxVMs], serverIDs[e.a%maxServers]
	second := serverIDs[e.b%maxServers]
	switch e.kind {
	case receiveEvent:
		return fmt.Sprintf("%s receives from %s", server, second)
	case writeEvent:
		return fmt.Sprintf("%s sends commit %d to %s", vm, before.nextCommit()+1, leaderID(before.vms[e.a].leader))
	case acknowledgeEvent:
		return fmt.Sprintf("%s acknowledges commit %d to its caller", vmNames[before.commits[e.a].vm], e.a+1)
	case claimEvent:
		return fmt.Sprintf("%s claims the replacement of term %d", vm, before.vms[e.a].term)
	case sealEvent:
		if before.vms[e.a].attempt.former == e.b {
			return fmt.Sprintf("%s makes the former primary %s step down", vm, second)
		}
		return fmt.Sprintf("%s seals %s", vm, second)
	case releaseEvent:
		return fmt.Sprintf("%s releases the term and tells %s", vmNames[e.b], vm)
	case awaitLeaseEvent:
		return fmt.Sprintf("%s has waited out the lease", vm)
	case orderEvent:
		if a := after.vms[e.a].attempt; a.phase == ordered {
			return fmt.Sprintf("%s confirms the seals and orders %s", vm, serverIDs[a.target])
		}
		return fmt.Sprintf("%s orders nothing: a seal or the target has changed", vm)
	case effectEvent:
		return fmt.Sprintf("the order to promote %s takes effect", serverIDs[before.orders[e.a].target])
	case finishEvent:
		return fmt.Sprintf("%s ends the change and unseals the replicas", vm)
	case finishStoppingEvent:
		return fmt.Sprintf("%s ends the change, the former primary too", vm)
	case giveUpEvent:
		return fmt.Sprintf("%s gives up and unseals the replicas", vm)
	case lapseEvent:
		return fmt.Sprintf("the release of %s lapses", vm)
	case renewEvent:
		return fmt.Sprintf("%s asks %s and %s and may use %s", vm, leaderID(before.vms[e.a].leader), second, leaderID(after.vms[e.a].leader))
	case replacedEvent:
		return vm + " tells " + serverIDs[e.b] + " that a later term is in force"
	case learnEvent:
		return fmt.Sprintf("%s asks %s", vm, second)
	case stepDownEvent:
		return fmt.Sprintf("%s reaches the new primary and steps down", server)
	case startEvent:
		return fmt.Sprintf("%s comes back", server)
	case healEvent:
		return fmt.Sprintf("the other servers reach %s again", server)
	case crashEvent:
		return fmt.Sprintf("FAULT %s crashes", server)
	case restartServerEvent:
		return fmt.Sprintf("FAULT %s restarts and is not paused any more", server)
	case cutEvent:
		return fmt.Sprintf("FAULT the other servers cannot reach %s", server)
	case restartVMEvent:
		return fmt.Sprintf("FAULT the process of %s restarts", vm)
	case endAttemptEvent:
		return fmt.Sprintf("FAULT the attempt of %s ends in the middle", vm)
	case arriveEvent:
		return fmt.Sprintf("commit %d arrives at %s", e.a+1, serverIDs[before.commits[e.a].server])
	case resumeEvent:
		return fmt.Sprintf("a delayed RESUME arrives at %s", server)
	case stopEvent:
		return fmt.Sprintf("FAULT %s stops: it leaves the list of VMs and serves on", vm)
	case sendEvent:
		return fmt.Sprintf("FAULT %s sends commit %d to %s, which is delayed", vm, before.nextCommit()+1, leaderID(before.vms[e.a].leader))
	case giveUpLateEvent:
		return fmt.Sprintf("FAULT %s gives up; its RESUMEs are delayed", vm)
	case finishLateEvent:
		return fmt.Sprintf("FAULT %s ends the change; its RESUMEs are delayed", vm)
	case repeatOrderEvent:
		return fmt.Sprintf("FAULT %s gets no answer and repeats its order", vm)
	}
	return "unknown event"
}

// summary returns the servers of a state with their roles, logs and pauses, what was
// acknowledged, and the open orders.
func (m *Model) summary(s *state) string {
	var b strings.Builder
	for i := range s.servers[:m.Size.Servers] {
		v := &s.servers[i]
		role := "r"
		if v.primary {
			role = "P"
		}
		fmt.Fprintf(&b, "%s:%s%d%v", serverIDs[i], role, v.term, v.log[:v.length])
		if v.paused > 0 {
			b.WriteString("=")
		}
		if v.cut {
			b.WriteString("/")
		}
		if !v.up {
			b.WriteString("x")
		}
		b.WriteString(" ")
	}
	for i, c := range s.commits {
		if c.status == acknowledged {
			fmt.Fprintf(&b, "ack:%d ", i+1)
		}
	}
	for _, o := range s.orders {
		if o.open {
			fmt.Fprintf(&b, "order:%s ", serverIDs[o.target])
		}
	}
	return strings.TrimSpace(b.String())
}
