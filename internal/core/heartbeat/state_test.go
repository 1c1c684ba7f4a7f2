package heartbeat

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// TestNobodyActsOnAnEarlierVersion runs random faults and checks that no VM acts on a
// version earlier than an accepted one.
func TestNobodyActsOnAnEarlierVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(3, 7).Draw(t, "nodes"))
		w.lossy = rapid.Bool().Draw(t, "rough")
		w.run(1000)
		t.Repeat(map[string]func(*rapid.T){
			"time":  func(t *rapid.T) { w.run(clock.Millis(rapid.IntRange(10, 2500).Draw(t, "length"))) },
			"write": func(*rapid.T) { w.write() },
			"store": func(*rapid.T) { w.storeDown = !w.storeDown },
			"cut": func(t *rapid.T) {
				a, b := rapid.SampledFrom(w.names).Draw(t, "from"), rapid.SampledFrom(w.names).Draw(t, "to")
				w.cut[[2]string{a, b}] = !w.cut[[2]string{a, b}]
			},
			"heal": func(*rapid.T) { clear(w.cut) },
			"pause": func(t *rapid.T) {
				vm := w.vms[rapid.SampledFrom(w.names).Draw(t, "vm")]
				vm.pausedUntil = w.now + clock.Millis(rapid.IntRange(100, 10000).Draw(t, "length"))
			},
			"restart": func(t *rapid.T) {
				name := rapid.SampledFrom(w.names).Draw(t, "vm")
				vm := w.vms[name]
				vm.pendingReads = nil
				vm.state = New(makeVMs(len(w.names))[indexOf(w.names, name)], w.local(vm))
				vm.state, _ = vm.state.WithMemberSet(w.sets[len(w.sets)-1], w.local(vm))
			},
		})
	})
}

func indexOf(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return -1
}

// TestStoreDown checks that a majority keeps acting for 30 s without the store, that
// a VM that is cut off stops within ConfirmationTTL and MaxClockDrift, and that it
// resumes by itself.
func TestStoreDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 9)
		w.stepLength = 50
		w.run(3000)
		w.storeDown = true
		w.run(30000)
		for _, name := range w.names {
			if vm := w.vms[name]; !vm.state.CanAct(w.local(vm)) {
				t.Fatalf("%s does not act, though a majority answers", name)
			}
		}
		lost := rapid.SampledFrom(w.names).Draw(t, "lost")
		for _, name := range w.names {
			w.cut[[2]string{lost, name}], w.cut[[2]string{name, lost}] = true, true
		}
		w.run(ConfirmationTTL + MaxClockDrift)
		if vm := w.vms[lost]; vm.state.CanAct(w.local(vm)) {
			t.Fatalf("%s acts, though it reaches nobody", lost)
		}
		clear(w.cut)
		w.run(8000)
		if vm := w.vms[lost]; !vm.state.CanAct(w.local(vm)) {
			t.Fatalf("%s does not act after the links are back", lost)
		}
	})
}

// TestAcceptance checks that a change is accepted everywhere within 6 s, without
// faults and with one silent member.
func TestAcceptance(t *testing.T) {
	const bound = 6000
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 9)
		w.stepLength = 50
		w.run(3000)
		if rapid.Bool().Draw(t, "silent") {
			lost := rapid.SampledFrom(w.names).Draw(t, "lost")
			w.vms[lost].pausedUntil = w.now + 60000
			w.run(5000)
		}
		w.write()
		began := w.now
		for w.now-began < bound && w.accepted < uint64(len(w.sets)) {
			w.step()
		}
		if w.accepted < uint64(len(w.sets)) {
			t.Fatalf("version %d is not accepted after %d ms", len(w.sets), w.now-began)
		}
	})
}

// TestZoneLost stops every VM of a zone at once, with the store up or down. The other
// VMs must act without a break, suspect the lost ones, and accept a change within 6
// s.
func TestZoneLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 9)
		w.stepLength = 50
		w.run(3000)
		zone := rapid.SampledFrom([]member.Zone{"zone0", "zone1", "zone2"}).Draw(t, "zone")
		lost := w.zoneNames(zone)
		w.storeDown = rapid.Bool().Draw(t, "down")
		for _, name := range lost {
			w.vms[name].pausedUntil = w.now + 1000000
		}
		for range 160 {
			w.step()
			if n := w.acting(w.names); n != 6 {
				t.Fatalf("at %d ms %d VMs act, want 6", w.now, n)
			}
		}
		for _, name := range w.names {
			if vm := w.vms[name]; !w.paused(vm) && len(vm.state.Alive()) != 6 {
				t.Fatalf("%s counts %d VMs as alive, want 6", name, len(vm.state.Alive()))
			}
		}
		w.storeDown = false
		w.write()
		w.run(6000)
		if w.accepted < uint64(len(w.sets)) {
			t.Fatal("a change was not accepted within 6 s")
		}
	})
}

// TestRegionCut cuts one zone, which stands for the smaller region, off from the
// others and from the store for a minute. It must stop, the larger region must keep
// acting and accept a change, and the smaller one must resume by itself.
func TestRegionCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 9)
		w.stepLength = 50
		w.run(3000)
		small := w.zoneNames("zone2")
		for _, a := range small {
			w.storeUnreachable[a] = true
			for _, b := range append(w.zoneNames("zone0"), w.zoneNames("zone1")...) {
				w.cut[[2]string{a, b}], w.cut[[2]string{b, a}] = true, true
			}
		}
		w.run(ConfirmationTTL + MaxClockDrift)
		if n := w.acting(small); n != 0 {
			t.Fatalf("%d VMs that are cut off act, want none", n)
		}
		w.write()
		w.run(55000)
		if w.accepted < uint64(len(w.sets)) || w.acting(w.names) != 6 {
			t.Fatalf("the larger region has accepted %d of %d, and %d of its VMs act", w.accepted, len(w.sets), w.acting(w.names))
		}
		clear(w.cut)
		clear(w.storeUnreachable)
		w.run(8000)
		if n := w.acting(w.names); n != 9 {
			t.Fatalf("%d of 9 VMs act after the link is back", n)
		}
	})
}
