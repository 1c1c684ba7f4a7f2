package primary

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

const (
	worldStep     = 25 * clock.Millis(1)
	probeInterval = 100 * clock.Millis(1)
)

// vm is a VM with its observer. starts counts the starts of the observer, and restartAt
// is the time of the next one after a crash, or 0.
type vm struct {
	voter     Voter
	observer  Observer
	starts    int
	down      bool
	paused    bool
	restartAt clock.Millis
}

// message is a message whose arrival, at the time at, calls run.
type message struct {
	at  clock.Millis
	run func()
}

// world is a database group, its observers and their network in simulated time.
type world struct {
	now     clock.Millis
	random  *rand.Rand
	servers []*server
	vms     []*vm
	queue   []message
	// cutLinks holds the links that lose every message, as "from>to".
	cutLinks map[string]bool
	storeUp  bool
	// lossProbability and duplicateProbability are those of a message being lost or sent
	// twice. maxDelay bounds the random delay of a message, in milliseconds.
	lossProbability      float64
	duplicateProbability float64
	maxDelay             int
	// tableEntry is the entry of the platform's table for the group.
	tableEntry Action
	// The next VM to run an action of the kind crashOn crashes before or after it;
	// crashPoint is "before" or "after", or "" for no crash.
	crashOn    ActionKind
	crashPoint string
	nextID     int
	// acked holds the IDs of the acknowledged writes, ackedAt is when the last one was
	// acknowledged, and gap the longest time between two.
	acked   map[int]bool
	ackedAt clock.Millis
	gap     clock.Millis
	// primaryByTerm holds the primary of each term.
	primaryByTerm map[floor.Term]string
	failures      []string
}

func newWorld(seed uint64) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, seed)), cutLinks: map[string]bool{}, storeUp: true, maxDelay: 2,
		acked: map[int]bool{}, primaryByTerm: map[floor.Term]string{1: "a"},
	}
	for _, name := range []string{"a", "b", "c"} {
		w.servers = append(w.servers, &server{name: name, leader: "a", term: 1, role: RoleReplica})
		w.vms = append(w.vms, &vm{voter: Voter{VM: "vm" + name, Zone: member.Zone("zone" + name)}})
	}
	w.servers[0].role = RolePrimary
	for _, v := range w.vms {
		w.startObserver(v)
	}
	return w
}

func (w *world) startObserver(v *vm) {
	v.starts++
	v.down = false
	v.observer = New(Settings{Database: "orders", Servers: []string{"a", "b", "c"}, Self: v.voter, Nonce: fmt.Sprint(v.starts)})
}

func (w *world) server(name string) *server {
	i := slices.IndexFunc(w.servers, func(s *server) bool { return s.name == name })
	return w.servers[i]
}

func (w *world) vm(name string) *vm {
	i := slices.IndexFunc(w.vms, func(v *vm) bool { return v.voter.VM == name })
	return w.vms[i]
}

func (w *world) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf("at %d ms: ", w.now)+fmt.Sprintf(format, args...))
}

// send queues a message, which calls run after addedDelay and a random delay. The message
// is lost if the link is cut, and otherwise may be lost or duplicated at random.
func (w *world) send(from, to string, addedDelay clock.Millis, run func()) {
	copies := 1
	if w.random.Float64() < w.duplicateProbability {
		copies = 2
	}
	for range copies {
		if w.cutLinks[from+">"+to] || w.random.Float64() < w.lossProbability {
			continue
		}
		at := w.now + addedDelay + clock.Millis(w.random.IntN(w.maxDelay)+1)
		w.queue = append(w.queue, message{at: at, run: run})
	}
}

// call sends a request from a VM to a server, which calls handler, and delivers the
// answer to the VM's observer. If handler returns false there is no answer.
func (w *world) call(v *vm, s *server, handler func() (Event, bool)) {
	starts := v.starts
	w.send(v.voter.VM, s.name, 0, func() {
		if s.down {
			return
		}
		e, ok := handler()
		if ok {
			w.send(s.name, v.voter.VM, s.answerDelay, func() { w.deliver(v, starts, e) })
		}
	})
}

// deliver passes an event to the observer, after the VM's pause if it is paused. starts
// is the observer's count of starts when the event was requested: the event is lost if
// the observer has started again since, or if the VM is down.
func (w *world) deliver(v *vm, starts int, e Event) {
	if v.down || v.starts != starts {
		return
	}
	if v.paused {
		w.queue = append(w.queue, message{at: w.now + worldStep, run: func() { w.deliver(v, starts, e) }})
		return
	}
	next, actions := v.observer.WithEvent(e, w.now)
	v.observer = next
	for _, a := range actions {
		w.performOrCrash(v, a)
	}
}

func (w *world) performOrCrash(v *vm, a Action) {
	crash := w.crashPoint != "" && w.crashOn == a.Kind && !v.down
	if !crash || w.crashPoint == "after" {
		w.execute(v, a)
	}
	if crash {
		w.crashPoint, v.down, v.restartAt = "", true, w.now+clock.Second
	}
}

func (w *world) execute(v *vm, a Action) {
	switch a.Kind {
	case RequestVotes:
		w.requestVotes(v)
	case RecordClaim, RecordPrimary:
		w.writeTable(v, a)
	case Seal:
		s := w.server(a.Server)
		w.call(v, s, func() (Event, bool) { return w.handleSeal(s, a), true })
	case Promote:
		if !a.TargetPosition.Covers(a.HighestPosition) {
			w.fail("%s at %s is promoted, though a sealed server is at %s", a.Server, a.TargetPosition, a.HighestPosition)
		}
		s := w.server(a.Server)
		w.call(v, s, func() (Event, bool) { return w.handlePromote(s, a), true })
	case Follow:
		s := w.server(a.Server)
		w.call(v, s, func() (Event, bool) { w.handleFollow(s, a); return Event{}, false })
	}
}

func (w *world) requestVotes(v *vm) {
	starts := v.starts
	for _, o := range w.vms {
		if o == v {
			continue
		}
		w.send(v.voter.VM, o.voter.VM, 0, func() {
			if o.down || o.paused {
				return
			}
			e := Event{Kind: Voted, Voter: o.voter, Term: o.observer.LostTerm(w.now)}
			w.send(o.voter.VM, v.voter.VM, 0, func() { w.deliver(v, starts, e) })
		})
	}
}

// writeTable writes a claim, or the primary that it made, to the platform's table. The
// table refuses a claim if another claimant has its term or a later one.
func (w *world) writeTable(v *vm, a Action) {
	if !w.storeUp {
		return
	}
	refused := a.Kind == RecordClaim && w.tableEntry.Term >= a.Term && w.tableEntry.Claimant != a.Claimant
	if !refused && a.Term >= w.tableEntry.Term {
		w.tableEntry = a
	}
	starts, e := v.starts, Event{Kind: ClaimRecorded, Term: w.tableEntry.Term, Claimant: a.Claimant, Refused: refused}
	w.send("store", v.voter.VM, 0, func() { w.deliver(v, starts, e) })
}

// step advances the time by worldStep, delivers the due messages in random order, and
// replicates the logs. Then it restarts crashed observers and ticks the VMs.
func (w *world) step() {
	w.now += worldStep
	due := slices.Clone(w.queue[:0])
	var pending []message
	for _, m := range w.queue {
		if m.at <= w.now {
			due = append(due, m)
		} else {
			pending = append(pending, m)
		}
	}
	w.queue = pending
	w.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, m := range due {
		m.run()
	}
	w.replicate()
	for _, v := range w.vms {
		if v.down && v.restartAt > 0 && w.now >= v.restartAt {
			v.restartAt = 0
			w.startObserver(v)
		}
		w.tick(v)
	}
}

// tick passes a Tick to the observer of a VM and, every probeInterval, probes the
// servers. A paused VM or one that is down does neither.
func (w *world) tick(v *vm) {
	if v.down || v.paused {
		return
	}
	var voters []Voter
	for _, o := range w.vms {
		voters = append(voters, o.voter)
	}
	w.deliver(v, v.starts, Event{Kind: Tick, Voters: voters})
	if w.now%probeInterval != 0 {
		return
	}
	for _, s := range w.servers {
		w.call(v, s, func() (Event, bool) {
			if s.connectionsExhausted {
				return Event{Kind: Reachable, Server: s.name}, true
			}
			contactAge := w.now - s.inSyncAt
			if s.role == RolePrimary {
				contactAge = 0
			}
			return Event{Kind: Answered, Server: s.name, State: State{Term: s.term, Role: s.role, Leader: s.leader, LastPosition: s.lastPosition(), ContactAge: contactAge}}, true
		})
	}
}

// run steps until the given time.
func (w *world) run(until clock.Millis) {
	for w.now < until {
		w.step()
	}
}

// leader returns the primary of the highest term, or nil if there is none.
func (w *world) leader() *server {
	var best *server
	for _, s := range w.servers {
		if s.role == RolePrimary && (best == nil || s.term > best.term) {
			best = s
		}
	}
	return best
}
