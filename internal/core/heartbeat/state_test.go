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
				w.cutLinks[[2]string{a, b}] = !w.cutLinks[[2]string{a, b}]
			},
			"heal": func(*rapid.T) { clear(w.cutLinks) },
			"pause": func(t *rapid.T) {
				vm := w.vms[rapid.SampledFrom(w.names).Draw(t, "vm")]
				vm.pausedUntil = w.now + clock.Millis(rapid.IntRange(100, 10000).Draw(t, "length"))
			},
			"restart": func(t *rapid.T) {
				name := rapid.SampledFrom(w.names).Draw(t, "vm")
				vm := w.vms[name]
				vm.pendingReads = nil
				vm.state = New(makeVMs(len(w.names))[indexOf(w.names, name)], w.localTime(vm))
				vm.state, _ = vm.state.WithMemberSet(w.sets[len(w.sets)-1], w.localTime(vm))
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

// TestStoreDown checks that every VM still acts after 30 s without the store, that a VM
// that is then cut off from the others stops within ConfirmationTTL + MaxClockDrift, and
// that it acts again by itself 8 s after the links are back.
func TestStoreDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 9)
		w.stepLength = 50
		w.run(3000)
		w.storeDown = true
		w.run(30000)
		for _, name := range w.names {
			if vm := w.vms[name]; !vm.state.CanAct(w.localTime(vm)) {
				t.Fatalf("%s does not act, though a majority answers", name)
			}
		}
		isolatedVM := rapid.SampledFrom(w.names).Draw(t, "lost")
		for _, name := range w.names {
			w.cutLinks[[2]string{isolatedVM, name}], w.cutLinks[[2]string{name, isolatedVM}] = true, true
		}
		w.run(ConfirmationTTL + MaxClockDrift)
		if vm := w.vms[isolatedVM]; vm.state.CanAct(w.localTime(vm)) {
			t.Fatalf("%s acts, though it reaches nobody", isolatedVM)
		}
		clear(w.cutLinks)
		w.run(8000)
		if vm := w.vms[isolatedVM]; !vm.state.CanAct(w.localTime(vm)) {
			t.Fatalf("%s does not act after the links are back", isolatedVM)
		}
	})
}

// TestAcceptance checks that a new version is accepted within 6 s, with no fault or
// with one silent member.
func TestAcceptance(t *testing.T) {
	const bound = 6000
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 9)
		w.stepLength = 50
		w.run(3000)
		if rapid.Bool().Draw(t, "silent") {
			silentVM := rapid.SampledFrom(w.names).Draw(t, "lost")
			w.vms[silentVM].pausedUntil = w.now + 60000
			w.run(5000)
		}
		w.write()
		startedAt := w.now
		for w.now-startedAt < bound && w.acceptedVersion < uint64(len(w.sets)) {
			w.step()
		}
		if w.acceptedVersion < uint64(len(w.sets)) {
			t.Fatalf("version %d is not accepted after %d ms", len(w.sets), w.now-startedAt)
		}
	})
}

// TestZoneLost stops every VM of a zone at once, with the store up or down. The other
// VMs must act without interruption and suspect the stopped ones. Once the store is up,
// they must accept a new version within 6 s.
func TestZoneLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 9)
		w.stepLength = 50
		w.run(3000)
		zone := rapid.SampledFrom([]member.Zone{"zone0", "zone1", "zone2"}).Draw(t, "zone")
		lostVMs := w.vmNamesInZone(zone)
		w.storeDown = rapid.Bool().Draw(t, "down")
		for _, name := range lostVMs {
			w.vms[name].pausedUntil = w.now + 1000000
		}
		for range 160 { // 8 s
			w.step()
			if n := w.countActing(w.names); n != 6 {
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
		if w.acceptedVersion < uint64(len(w.sets)) {
			t.Fatal("a change was not accepted within 6 s")
		}
	})
}

// TestRegionCut cuts one zone, which stands for the smaller region, off from the
// others and from the store for a minute. Its VMs must stop acting. At the end of the
// cut, the larger region must have accepted a new version and still act. Once the
// links are back, the smaller region must act again by itself within 8 s.
func TestRegionCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 9)
		w.stepLength = 50
		w.run(3000)
		smallerRegion := w.vmNamesInZone("zone2")
		for _, a := range smallerRegion {
			w.storeUnreachable[a] = true
			for _, b := range append(w.vmNamesInZone("zone0"), w.vmNamesInZone("zone1")...) {
				w.cutLinks[[2]string{a, b}], w.cutLinks[[2]string{b, a}] = true, true
			}
		}
		w.run(ConfirmationTTL + MaxClockDrift)
		if n := w.countActing(smallerRegion); n != 0 {
			t.Fatalf("%d VMs that are cut off act, want none", n)
		}
		w.write()
		w.run(55000)
		if w.acceptedVersion < uint64(len(w.sets)) || w.countActing(w.names) != 6 {
			t.Fatalf("the larger region has accepted version %d of %d, and %d VMs act, want 6", w.acceptedVersion, len(w.sets), w.countActing(w.names))
		}
		clear(w.cutLinks)
		clear(w.storeUnreachable)
		w.run(8000)
		if n := w.countActing(w.names); n != 9 {
			t.Fatalf("%d of 9 VMs act after the link is back", n)
		}
	})
}
