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
	random *rand.Rand
	rough  bool
	now    clock.Millis
	pace   clock.Millis
	nodes  map[string]*host
	names  []string
	// sets holds the record of each version; the last one is in the store.
	sets     []Set
	down     bool
	far      map[string]bool // VMs that cannot reach the store
	flying   []flight
	cut      map[[2]string]bool
	accepted uint64
}

// host is a node with a clock of its own rate and the pause it is in.
type host struct {
	node   Node
	rate   int
	offset clock.Millis
	until  clock.Millis
	read   []pendingRead
}

type flight struct {
	at   clock.Millis
	from string
	m    Message
}

type pendingRead struct {
	at      clock.Millis
	began   clock.Millis
	version uint64
}

func vms(n int) []member.VM {
	out := make([]member.VM, n)
	for i := range out {
		out[i] = member.VM{Name: fmt.Sprintf("vm%d", i+1), Zone: member.Zone(fmt.Sprintf("zone%d", i%3))}
	}
	return out
}

func newWorld(t *rapid.T, n int) *world {
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "network"), 1))
	w := &world{t: t, random: random, pace: 10, nodes: map[string]*host{}, cut: map[[2]string]bool{}, far: map[string]bool{}, sets: []Set{{Version: 1, Members: vms(n)}}}
	for _, v := range vms(n) {
		h := &host{rate: rapid.IntRange(99, 101).Draw(t, "rate"), offset: clock.Millis(rapid.IntRange(0, 100000).Draw(t, "offset"))}
		h.node = New(v, w.local(h))
		h.node, _ = h.node.WithSet(w.sets[0], w.local(h))
		w.nodes[v.Name], w.names = h, append(w.names, v.Name)
	}
	return w
}

// local is the time on the host's own clock, which runs up to one part in a
// hundred fast or slow.
func (w *world) local(h *host) clock.Millis { return h.offset + w.now*clock.Millis(h.rate)/100 }

func (w *world) paused(h *host) bool { return h.until > w.now }

func (w *world) send(from string, messages []Message) {
	for _, m := range messages {
		if w.cut[[2]string{from, m.To}] {
			continue
		}
		copies, delays := 1, []clock.Millis{1, 1, 5, 9}
		if w.rough {
			copies, delays = []int{1, 1, 1, 1, 1, 1, 0, 2}[w.random.IntN(8)], []clock.Millis{1, 1, 5, 9, 9, 20, 900, 6000}
		}
		for range copies {
			delay := delays[w.random.IntN(len(delays))]
			w.flying = append(w.flying, flight{at: w.now + delay, from: from, m: m})
		}
	}
}

// step lets one interval pass.
func (w *world) step() {
	w.now += w.pace
	var kept []flight
	due := w.flying
	w.flying = nil
	for _, f := range due {
		h := w.nodes[f.m.To]
		if f.at > w.now || w.paused(h) {
			kept = append(kept, f)
			continue
		}
		w.deliver(h, f.m)
	}
	w.flying = append(w.flying, kept...)
	for _, name := range w.names {
		if h := w.nodes[name]; !w.paused(h) {
			w.tick(name, h)
		}
	}
	w.check()
}

func (w *world) deliver(h *host, m Message) {
	var out []Message
	if m.Beat != nil {
		h.node, out = h.node.OnBeat(*m.Beat, w.local(h))
	} else {
		h.node = h.node.OnAnswer(*m.Answer, w.local(h))
	}
	w.send(m.To, out)
	w.fetch(m.To, h)
}

// fetch stands for the read of the record from another VM: whoever hears of a
// version can get its body.
func (w *world) fetch(name string, h *host) {
	if h.node.Newest() <= h.node.Version() {
		return
	}
	var out []Message
	h.node, out = h.node.WithSet(w.sets[h.node.Newest()-1], w.local(h))
	w.send(name, append(out, h.node.Notices()...))
}

func (w *world) tick(name string, h *host) {
	var out []Message
	h.node, out = h.node.Tick(w.local(h))
	w.send(name, out)
	for len(h.read) > 0 && h.read[0].at <= w.now {
		h.node = h.node.WithStore(h.read[0].version, h.read[0].began)
		h.read = h.read[1:]
		w.fetch(name, h)
	}
	if !w.down && !w.far[name] && len(h.read) == 0 && h.node.IsRoot() && w.now%500 == 0 {
		delay := clock.Millis(10)
		if w.rough {
			delay = []clock.Millis{10, 10, 50, 3000}[w.random.IntN(4)]
		}
		h.read = append(h.read, pendingRead{at: w.now + delay, began: w.local(h), version: uint64(len(w.sets))})
	}
}

// check is the invariant: nobody acts below what anybody calls accepted.
func (w *world) check() {
	for _, name := range w.names {
		h := w.nodes[name]
		w.accepted = max(w.accepted, h.node.Accepted())
		if h.node.Accepted() > uint64(len(w.sets)) {
			w.t.Fatalf("%s accepts version %d, and the last is %d", name, h.node.Accepted(), len(w.sets))
		}
	}
	for _, name := range w.names {
		h := w.nodes[name]
		if !w.paused(h) && h.node.May(w.local(h)) && h.node.Version() < w.accepted {
			w.t.Fatalf("at %d %s acts on version %d after %d was accepted", w.now, name, h.node.Version(), w.accepted)
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
	if w.down {
		return
	}
	last := w.sets[len(w.sets)-1]
	next := Set{Version: last.Version + 1, Members: last.Members, Old: last.Old}
	if w.accepted == last.Version {
		next.Old = nil
		if rapid.Bool().Draw(w.t, "set") {
			next.Old = last.Members
			next.Members = changeSet(last.Members, vms(len(w.names)), rapid.IntRange(0, len(w.names)-1).Draw(w.t, "vm"))
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
	for _, v := range vms(len(w.names)) {
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
		if h := w.nodes[name]; !w.paused(h) && h.node.May(w.local(h)) {
			n++
		}
	}
	return n
}
