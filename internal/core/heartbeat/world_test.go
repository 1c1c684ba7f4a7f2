package heartbeat

import (
	"fmt"
	"math/rand/v2"

	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// world is a handful of nodes with a store that names one version and a network
// that loses, delays and repeats messages. The oracle is the whole of it: once a
// version is accepted, no node may act on an earlier one.
type world struct {
	t *rapid.T
	// random settles what happens to messages; rough networks lose, repeat and
	// hold them for long.
	random     *rand.Rand
	lossy      bool
	now        clock.Millis
	stepLength clock.Millis
	vms        map[string]*testVM
	names      []string
	// sets holds the record of each version; the last one is in the store.
	sets             []MemberSet
	storeDown        bool
	storeUnreachable map[string]bool // VMs that cannot reach the store
	inFlight         []delivery
	cut              map[[2]string]bool
	accepted         uint64
}

// testVM is a node with a clock of its own rate and the pause it is in.
type testVM struct {
	state        State
	rate         int
	offset       clock.Millis
	pausedUntil  clock.Millis
	pendingReads []pendingRead
}

type delivery struct {
	at      clock.Millis
	from    string
	message Message
}

type pendingRead struct {
	at      clock.Millis
	began   clock.Millis
	version uint64
}

func makeVMs(n int) []member.VM {
	out := make([]member.VM, n)
	for i := range out {
		out[i] = member.VM{Name: fmt.Sprintf("vm%d", i+1), Zone: member.Zone(fmt.Sprintf("zone%d", i%3))}
	}
	return out
}

func newWorld(t *rapid.T, n int) *world {
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "network"), 1))
	w := &world{t: t, random: random, stepLength: 10, vms: map[string]*testVM{}, cut: map[[2]string]bool{}, storeUnreachable: map[string]bool{}, sets: []MemberSet{{Version: 1, Members: makeVMs(n)}}}
	for _, v := range makeVMs(n) {
		h := &testVM{rate: rapid.IntRange(99, 101).Draw(t, "rate"), offset: clock.Millis(rapid.IntRange(0, 100000).Draw(t, "offset"))}
		h.state = New(v, w.local(h))
		h.state, _ = h.state.WithMemberSet(w.sets[0], w.local(h))
		w.vms[v.Name], w.names = h, append(w.names, v.Name)
	}
	return w
}

// local is the time on the host's own clock, which runs up to one part in a
// hundred fast or slow.
func (w *world) local(h *testVM) clock.Millis { return h.offset + w.now*clock.Millis(h.rate)/100 }

func (w *world) paused(h *testVM) bool { return h.pausedUntil > w.now }

func (w *world) send(from string, messages []Message) {
	for _, m := range messages {
		if w.cut[[2]string{from, m.To}] {
			continue
		}
		copies, delays := 1, []clock.Millis{1, 1, 5, 9}
		if w.lossy {
			copies, delays = []int{1, 1, 1, 1, 1, 1, 0, 2}[w.random.IntN(8)], []clock.Millis{1, 1, 5, 9, 9, 20, 900, 6000}
		}
		for range copies {
			delay := delays[w.random.IntN(len(delays))]
			w.inFlight = append(w.inFlight, delivery{at: w.now + delay, from: from, message: m})
		}
	}
}

// step lets one interval pass.
func (w *world) step() {
	w.now += w.stepLength
	var pending []delivery
	due := w.inFlight
	w.inFlight = nil
	for _, f := range due {
		h := w.vms[f.message.To]
		if f.at > w.now || w.paused(h) {
			pending = append(pending, f)
			continue
		}
		w.deliver(h, f.message)
	}
	w.inFlight = append(w.inFlight, pending...)
	for _, name := range w.names {
		if h := w.vms[name]; !w.paused(h) {
			w.tick(name, h)
		}
	}
	w.check()
}

func (w *world) deliver(h *testVM, m Message) {
	var out []Message
	if m.Beat != nil {
		h.state, out = h.state.OnBeat(*m.Beat, w.local(h))
	} else {
		h.state = h.state.OnAnswer(*m.Answer, w.local(h))
	}
	w.send(m.To, out)
	w.fetch(m.To, h)
}

// fetch stands for the read of the record from another VM: whoever hears of a
// version can get its body.
func (w *world) fetch(name string, h *testVM) {
	if h.state.NewestVersion() <= h.state.Version() {
		return
	}
	var out []Message
	h.state, out = h.state.WithMemberSet(w.sets[h.state.NewestVersion()-1], w.local(h))
	w.send(name, append(out, h.state.Notices()...))
}

func (w *world) tick(name string, h *testVM) {
	var out []Message
	h.state, out = h.state.Tick(w.local(h))
	w.send(name, out)
	for len(h.pendingReads) > 0 && h.pendingReads[0].at <= w.now {
		h.state = h.state.WithStoreRead(h.pendingReads[0].version, h.pendingReads[0].began)
		h.pendingReads = h.pendingReads[1:]
		w.fetch(name, h)
	}
	if !w.storeDown && !w.storeUnreachable[name] && len(h.pendingReads) == 0 && h.state.IsRoot() && w.now%500 == 0 {
		delay := clock.Millis(10)
		if w.lossy {
			delay = []clock.Millis{10, 10, 50, 3000}[w.random.IntN(4)]
		}
		h.pendingReads = append(h.pendingReads, pendingRead{at: w.now + delay, began: w.local(h), version: uint64(len(w.sets))})
	}
}

// check is the invariant: nobody acts below what anybody calls accepted.
func (w *world) check() {
	for _, name := range w.names {
		h := w.vms[name]
		w.accepted = max(w.accepted, h.state.AcceptedVersion())
		if h.state.AcceptedVersion() > uint64(len(w.sets)) {
			w.t.Fatalf("%s accepts version %d, and the last is %d", name, h.state.AcceptedVersion(), len(w.sets))
		}
	}
	for _, name := range w.names {
		h := w.vms[name]
		if !w.paused(h) && h.state.CanAct(w.local(h)) && h.state.Version() < w.accepted {
			w.t.Fatalf("at %d %s acts on version %d after %d was accepted", w.now, name, h.state.Version(), w.accepted)
		}
	}
}

func (w *world) run(length clock.Millis) {
	for until := w.now + length; w.now < until; {
		w.step()
	}
}

// write changes the record, and at times the member set by one VM of those
// that are there; a set changes only once all before is accepted.
func (w *world) write() {
	if w.storeDown {
		return
	}
	last := w.sets[len(w.sets)-1]
	next := MemberSet{Version: last.Version + 1, Members: last.Members, OldMembers: last.OldMembers}
	if w.accepted == last.Version {
		next.OldMembers = nil
		if rapid.Bool().Draw(w.t, "set") {
			next.OldMembers = last.Members
			next.Members = changeSet(last.Members, makeVMs(len(w.names)), rapid.IntRange(0, len(w.names)-1).Draw(w.t, "vm"))
		}
	}
	w.sets = append(w.sets, next)
}

func changeSet(set, all []member.VM, i int) []member.VM {
	var out []member.VM
	for _, v := range set {
		if v.Name != all[i].Name {
			out = append(out, v)
		}
	}
	if len(out) == len(set) {
		return append(out, all[i])
	}
	if len(out) < 2 {
		return set
	}
	return out
}

// zoneNames returns the VMs of a zone.
func (w *world) zoneNames(zone member.Zone) []string {
	var out []string
	for _, v := range makeVMs(len(w.names)) {
		if v.Zone == zone {
			out = append(out, v.Name)
		}
	}
	return out
}

// acting returns how many of the named VMs may act.
func (w *world) acting(names []string) int {
	n := 0
	for _, name := range names {
		if h := w.vms[name]; !w.paused(h) && h.state.CanAct(w.local(h)) {
			n++
		}
	}
	return n
}
