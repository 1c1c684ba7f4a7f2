package heartbeat

import (
	"fmt"
	"math/rand/v2"

	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// world is a group of VMs with a store that holds the newest version, and a network
// that loses, delays and duplicates messages. The oracle is one rule: once a version
// is accepted, no VM may act on an earlier one.
type world struct {
	t *rapid.T
	// random decides what happens to messages; a lossy network loses, duplicates and
	// delays them by up to 6 s.
	random     *rand.Rand
	lossy      bool
	now        clock.Millis
	stepLength clock.Millis
	vms        map[string]*testVM
	names      []string
	// sets holds the member sets of each version from 1 on; the last one is in the store.
	sets      []MemberSet
	storeDown bool
	// storeUnreachable names VMs that cannot reach the store.
	storeUnreachable map[string]bool
	inFlight         []delivery
	// cutLinks holds the links, from sender to receiver, that lose every message.
	cutLinks        map[[2]string]bool
	acceptedVersion uint64
}

// testVM is a VM, which may be paused, with a clock of its own rate.
type testVM struct {
	state        State
	ratePercent  int
	offset       clock.Millis
	pausedUntil  clock.Millis
	pendingReads []pendingRead
}

// delivery is a message that arrives at the time at.
type delivery struct {
	at      clock.Millis
	from    string
	message Message
}

// pendingRead is a read of the store that ends at the time at. It began at startedAt by
// the clock of the VM.
type pendingRead struct {
	at        clock.Millis
	startedAt clock.Millis
	version   uint64
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
	w := &world{t: t, random: random, stepLength: 10, vms: map[string]*testVM{}, cutLinks: map[[2]string]bool{}, storeUnreachable: map[string]bool{}, sets: []MemberSet{{Version: 1, Members: makeVMs(n)}}}
	for _, v := range makeVMs(n) {
		vm := &testVM{ratePercent: rapid.IntRange(99, 101).Draw(t, "rate"), offset: clock.Millis(rapid.IntRange(0, 100000).Draw(t, "offset"))}
		vm.state = New(v, w.localTime(vm))
		vm.state, _ = vm.state.WithMemberSet(w.sets[0], w.localTime(vm))
		w.vms[v.Name], w.names = vm, append(w.names, v.Name)
	}
	return w
}

// localTime returns the time on the VM's own clock, which runs up to 1 % fast or slow.
func (w *world) localTime(vm *testVM) clock.Millis {
	return vm.offset + w.now*clock.Millis(vm.ratePercent)/100
}

func (w *world) paused(vm *testVM) bool { return vm.pausedUntil > w.now }

func (w *world) send(from string, messages []Message) {
	for _, m := range messages {
		if w.cutLinks[[2]string{from, m.To}] {
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

// step advances the time by stepLength, delivers the messages that are due, ticks the
// VMs and runs check. Messages to a paused VM wait for the end of the pause.
func (w *world) step() {
	w.now += w.stepLength
	var pending []delivery
	due := w.inFlight
	w.inFlight = nil
	for _, d := range due {
		vm := w.vms[d.message.To]
		if d.at > w.now || w.paused(vm) {
			pending = append(pending, d)
			continue
		}
		w.deliver(vm, d.message)
	}
	w.inFlight = append(w.inFlight, pending...)
	for _, name := range w.names {
		if vm := w.vms[name]; !w.paused(vm) {
			w.tick(name, vm)
		}
	}
	w.check()
}

func (w *world) deliver(vm *testVM, m Message) {
	var out []Message
	if m.Beat != nil {
		vm.state, out = vm.state.OnBeat(*m.Beat, w.localTime(vm))
	} else {
		vm.state = vm.state.OnAnswer(*m.Answer, w.localTime(vm))
	}
	w.send(m.To, out)
	w.fetch(m.To, vm)
}

// fetch gives a VM that has learned of a later version that version's member sets, as if
// it had read them from another VM.
func (w *world) fetch(name string, vm *testVM) {
	if vm.state.NewestVersion() <= vm.state.Version() {
		return
	}
	var out []Message
	vm.state, out = vm.state.WithMemberSet(w.sets[vm.state.NewestVersion()-1], w.localTime(vm))
	w.send(name, append(out, vm.state.Notices()...))
}

// tick calls Tick at a VM and applies the reads of the store that have ended. A root
// starts such a read every 500 ms, unless one is pending or it cannot reach the store.
func (w *world) tick(name string, vm *testVM) {
	var out []Message
	vm.state, out = vm.state.Tick(w.localTime(vm))
	w.send(name, out)
	for len(vm.pendingReads) > 0 && vm.pendingReads[0].at <= w.now {
		vm.state = vm.state.WithStoreRead(vm.pendingReads[0].version, vm.pendingReads[0].startedAt)
		vm.pendingReads = vm.pendingReads[1:]
		w.fetch(name, vm)
	}
	if !w.storeDown && !w.storeUnreachable[name] && len(vm.pendingReads) == 0 && vm.state.IsRoot() && w.now%500 == 0 {
		delay := clock.Millis(10)
		if w.lossy {
			delay = []clock.Millis{10, 10, 50, 3000}[w.random.IntN(4)]
		}
		vm.pendingReads = append(vm.pendingReads, pendingRead{at: w.now + delay, startedAt: w.localTime(vm), version: uint64(len(w.sets))})
	}
}

// check checks that no VM acts on a version below one that any VM reports as
// accepted, and that every version reported as accepted exists.
func (w *world) check() {
	for _, name := range w.names {
		vm := w.vms[name]
		w.acceptedVersion = max(w.acceptedVersion, vm.state.AcceptedVersion())
		if vm.state.AcceptedVersion() > uint64(len(w.sets)) {
			w.t.Fatalf("%s reports version %d as accepted, but the last is %d", name, vm.state.AcceptedVersion(), len(w.sets))
		}
	}
	for _, name := range w.names {
		vm := w.vms[name]
		if !w.paused(vm) && vm.state.CanAct(w.localTime(vm)) && vm.state.Version() < w.acceptedVersion {
			w.t.Fatalf("at %d ms %s acts on version %d after version %d was accepted", w.now, name, vm.state.Version(), w.acceptedVersion)
		}
	}
}

func (w *world) run(length clock.Millis) {
	for until := w.now + length; w.now < until; {
		w.step()
	}
}

// write stores a new version, unless the store is down. Once the last version is
// accepted, the new one sometimes adds or removes one member.
func (w *world) write() {
	if w.storeDown {
		return
	}
	last := w.sets[len(w.sets)-1]
	next := MemberSet{Version: last.Version + 1, Members: last.Members, OldMembers: last.OldMembers}
	if w.acceptedVersion == last.Version {
		next.OldMembers = nil
		if rapid.Bool().Draw(w.t, "set") {
			next.OldMembers = last.Members
			next.Members = changeSet(last.Members, makeVMs(len(w.names)), rapid.IntRange(0, len(w.names)-1).Draw(w.t, "vm"))
		}
	}
	w.sets = append(w.sets, next)
}

// changeSet returns set without all[i], or with it if it was missing. A set of two
// members is not made smaller.
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

// vmNamesInZone returns the names of the VMs of a zone.
func (w *world) vmNamesInZone(zone member.Zone) []string {
	var out []string
	for _, v := range makeVMs(len(w.names)) {
		if v.Zone == zone {
			out = append(out, v.Name)
		}
	}
	return out
}

// countActing returns how many of the named VMs may act.
func (w *world) countActing(names []string) int {
	n := 0
	for _, name := range names {
		if vm := w.vms[name]; !w.paused(vm) && vm.state.CanAct(w.localTime(vm)) {
			n++
		}
	}
	return n
}
