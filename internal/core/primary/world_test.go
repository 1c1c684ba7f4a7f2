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
	worldStep  = 25 * clock.Millis(1)
	probePause = 100 * clock.Millis(1)
)

// record is one write in a fake server's log; id is unique over the run.
type record struct {
	mark floor.Mark
	id   int
}

// server is a fake backend server.
type server struct {
	name, leader, claimant string
	term                   floor.Term
	role                   Role
	log                    []record
	touch                  clock.Millis
	down                   bool
	slow                   clock.Millis
	full                   bool
}

func (s *server) last() floor.Mark {
	if len(s.log) == 0 {
		return floor.Mark{}
	}
	return s.log[len(s.log)-1].mark
}

// vm is a VM with its observer.
type vm struct {
	voter    Voter
	observer Observer
	starts   int
	down     bool
	paused   bool
	back     clock.Millis
}

type message struct {
	at  clock.Millis
	run func()
}

// world is a database group, its observers and their network on logical time.
type world struct {
	now      clock.Millis
	random   *rand.Rand
	servers  []*server
	vms      []*vm
	queue    []message
	cut      map[string]bool
	store    bool
	drop     float64
	double   float64
	delay    int
	table    Action
	crashOn  Verb
	crash    string
	nextID   int
	acked    map[int]bool
	ackedAt  clock.Millis
	gap      clock.Millis
	primary  map[floor.Term]string
	failures []string
}

func newWorld(seed uint64) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, seed)), cut: map[string]bool{}, store: true, delay: 2,
		acked: map[int]bool{}, primary: map[floor.Term]string{1: "a"},
	}
	for _, name := range []string{"a", "b", "c"} {
		w.servers = append(w.servers, &server{name: name, leader: "a", term: 1, role: RoleReplica})
		w.vms = append(w.vms, &vm{voter: Voter{VM: "vm" + name, Zone: member.Zone("zone" + name)}})
	}
	w.servers[0].role = RolePrimary
	for _, v := range w.vms {
		w.boot(v)
	}
	return w
}

func (w *world) boot(v *vm) {
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

// send delivers run after a random delay, or never, or twice, unless the way is cut.
func (w *world) send(from, to string, extra clock.Millis, run func()) {
	copies := 1
	if w.random.Float64() < w.double {
		copies = 2
	}
	for range copies {
		if w.cut[from+">"+to] || w.random.Float64() < w.drop {
			continue
		}
		at := w.now + extra + clock.Millis(w.random.IntN(w.delay)+1)
		w.queue = append(w.queue, message{at: at, run: run})
	}
}

// call has a VM ask a server and gives the answer to its observer.
func (w *world) call(v *vm, s *server, ask func() (Event, bool)) {
	starts := v.starts
	w.send(v.voter.VM, s.name, 0, func() {
		if s.down {
			return
		}
		e, ok := ask()
		if ok {
			w.send(s.name, v.voter.VM, s.slow, func() { w.give(v, starts, e) })
		}
	})
}

func (w *world) give(v *vm, starts int, e Event) {
	if v.down || v.starts != starts {
		return
	}
	if v.paused {
		w.queue = append(w.queue, message{at: w.now + worldStep, run: func() { w.give(v, starts, e) }})
		return
	}
	next, actions := v.observer.With(e, w.now)
	v.observer = next
	for _, a := range actions {
		w.perform(v, a)
	}
}

func (w *world) perform(v *vm, a Action) {
	crash := w.crash != "" && w.crashOn == a.Verb && !v.down
	if !crash || w.crash == "after" {
		w.carryOut(v, a)
	}
	if crash {
		w.crash, v.down, v.back = "", true, w.now+clock.Second
	}
}

func (w *world) carryOut(v *vm, a Action) {
	switch a.Verb {
	case Ask:
		w.ask(v)
	case Order, Record:
		w.order(v, a)
	case Seal:
		s := w.server(a.Server)
		w.call(v, s, func() (Event, bool) { return w.sealed(s, a), true })
	case Promote:
		if !a.Chosen.Covers(a.Mark) {
			w.fail("%s at %s is promoted over %s", a.Server, a.Chosen, a.Mark)
		}
		s := w.server(a.Server)
		w.call(v, s, func() (Event, bool) { return w.promoted(s, a), true })
	case Follow:
		s := w.server(a.Server)
		w.call(v, s, func() (Event, bool) { w.follow(s, a); return Event{}, false })
	}
}

func (w *world) ask(v *vm) {
	starts := v.starts
	for _, o := range w.vms {
		if o == v {
			continue
		}
		w.send(v.voter.VM, o.voter.VM, 0, func() {
			if o.down || o.paused {
				return
			}
			e := Event{Kind: Voted, Voter: o.voter, Term: o.observer.Lost(w.now)}
			w.send(o.voter.VM, v.voter.VM, 0, func() { w.give(v, starts, e) })
		})
	}
}

func (w *world) order(v *vm, a Action) {
	if !w.store {
		return
	}
	refused := a.Verb == Order && w.table.Term >= a.Term && w.table.Claimant != a.Claimant
	if !refused && a.Term >= w.table.Term {
		w.table = a
	}
	starts, e := v.starts, Event{Kind: Ordered, Term: w.table.Term, Claimant: a.Claimant, Refused: refused}
	w.send("store", v.voter.VM, 0, func() { w.give(v, starts, e) })
}

func (w *world) sealed(s *server, a Action) Event {
	e := Event{Kind: Sealed, Server: s.name, Claimant: a.Claimant, Term: s.term}
	if a.Term < s.term || a.Term == s.term && s.claimant != a.Claimant {
		e.Refused = true
		return e
	}
	if a.Term > s.term {
		s.term, s.claimant, s.role, s.leader = a.Term, a.Claimant, RoleSealed, ""
	}
	e.Term, e.Mark = s.term, s.last()
	return e
}

func (w *world) promoted(s *server, a Action) Event {
	e := Event{Kind: Promoted, Server: s.name, Claimant: a.Claimant, Term: s.term}
	if s.term != a.Term || s.claimant != a.Claimant {
		e.Refused = true
		return e
	}
	if s.role == RolePrimary {
		return e
	}
	if old := w.primary[s.term]; old != "" && old != s.name {
		w.fail("term %d has the primaries %s and %s", s.term, old, s.name)
	}
	w.primary[s.term] = s.name
	s.role, s.leader = RolePrimary, s.name
	w.verify(s)
	w.write(s)
	return e
}

// verify checks that a primary has every acknowledged write.
func (w *world) verify(s *server) {
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

func (w *world) follow(s *server, a Action) {
	if a.Term < s.term || a.Leader == s.name || s.role == RolePrimary && a.Term == s.term {
		return
	}
	s.term, s.leader, s.role = a.Term, a.Leader, RoleReplica
}

func (w *world) write(s *server) {
	w.nextID++
	s.log = append(s.log, record{mark: floor.Mark{Term: s.term, Position: floor.Position(len(s.log) + 1)}, id: w.nextID})
}

// replicate copies the primaries' logs and acknowledges what a majority has.
func (w *world) replicate() {
	for _, p := range w.servers {
		if p.role != RolePrimary || p.down {
			continue
		}
		w.write(p)
		for _, r := range w.servers {
			if w.follows(r, p) && !r.down && !w.cut[p.name+">"+r.name] && !w.cut[r.name+">"+p.name] {
				r.copyLog(p)
				r.touch = w.now
			}
		}
		w.acknowledge(p)
	}
}

func (w *world) follows(r, p *server) bool {
	return r != p && r.leader == p.name && r.term == p.term
}

// copyLog makes the log that of p.
func (s *server) copyLog(p *server) {
	same := min(len(s.log), len(p.log))
	for same > 0 && s.log[same-1] != p.log[same-1] {
		same--
	}
	s.log = append(s.log[:same:same], p.log[same:]...)
}

// has reports whether the log holds record i of p.
func (s *server) has(p *server, i int) bool { return len(s.log) > i && s.log[i] == p.log[i] }

// acknowledge finds the last record of the primary's own term that a majority
// has. That record and all before it are committed.
func (w *world) acknowledge(p *server) {
	i := len(p.log) - 1
	for ; i >= 0 && p.log[i].mark.Term == p.term && !w.acked[p.log[i].id]; i-- {
		holders := 1
		for _, r := range w.servers {
			if w.follows(r, p) && r.has(p, i) {
				holders++
			}
		}
		if holders >= 2 {
			w.commit(p, i)
			return
		}
	}
}

func (w *world) commit(p *server, last int) {
	later := 0
	for _, s := range w.servers {
		if s.term > p.term {
			later++
		}
	}
	if later >= 2 {
		w.fail("%s acknowledges in term %d after a later one was sealed", p.name, p.term)
	}
	for i := last; i >= 0 && !w.acked[p.log[i].id]; i-- {
		w.acked[p.log[i].id] = true
	}
	w.gap, w.ackedAt = max(w.gap, w.now-w.ackedAt), w.now
}

// step moves the time and delivers what is due, in random order.
func (w *world) step() {
	w.now += worldStep
	due := slices.Clone(w.queue[:0])
	var kept []message
	for _, m := range w.queue {
		if m.at <= w.now {
			due = append(due, m)
		} else {
			kept = append(kept, m)
		}
	}
	w.queue = kept
	w.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, m := range due {
		m.run()
	}
	w.replicate()
	for _, v := range w.vms {
		if v.down && v.back > 0 && w.now >= v.back {
			v.back = 0
			w.boot(v)
		}
		w.tick(v)
	}
}

func (w *world) tick(v *vm) {
	if v.down || v.paused {
		return
	}
	var voters []Voter
	for _, o := range w.vms {
		voters = append(voters, o.voter)
	}
	w.give(v, v.starts, Event{Kind: Tick, Voters: voters})
	if w.now%probePause != 0 {
		return
	}
	for _, s := range w.servers {
		w.call(v, s, func() (Event, bool) {
			if s.full {
				return Event{Kind: Alive, Server: s.name}, true
			}
			lag := w.now - s.touch
			if s.role == RolePrimary {
				lag = 0
			}
			return Event{Kind: Answered, Server: s.name, State: State{Term: s.term, Role: s.role, Leader: s.leader, Last: s.last(), Lag: lag}}, true
		})
	}
}

// run steps until the given moment.
func (w *world) run(until clock.Millis) {
	for w.now < until {
		w.step()
	}
}

// leader returns the primary of the highest term.
func (w *world) leader() *server {
	var best *server
	for _, s := range w.servers {
		if s.role == RolePrimary && (best == nil || s.term > best.term) {
			best = s
		}
	}
	return best
}
