package member

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// makeVMs returns perZone VMs in each of the zones a and b of region x, and c of region y.
func makeVMs(perZone int) []VM {
	var out []VM
	for _, z := range []struct{ zone, region string }{{"a", "x"}, {"b", "x"}, {"c", "y"}} {
		for i := range perZone {
			out = append(out, VM{Name: fmt.Sprintf("%s%d", z.zone, i), Zone: Zone(z.zone), Region: z.region})
		}
	}
	return out
}

// TestHoldersByLocality checks that holders are in the server's zone, else in its
// region, else anywhere, that there are as many as MaxHolders allows, and that no leaving
// VM is a holder.
func TestHoldersByLocality(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := makeVMs(rapid.IntRange(1, 40).Draw(t, "vms"))
		for i := range vms {
			vms[i].Leaving = rapid.Bool().Draw(t, "leaving")
		}
		q := HolderQuery{Server: rapid.String().Draw(t, "server"), Zone: "a", Region: "x", MaxHolders: rapid.IntRange(1, 8).Draw(t, "most")}
		count := map[string]int{}
		remaining := 0
		for _, v := range vms {
			if v.Leaving {
				continue
			}
			remaining++
			count["region "+v.Region]++
			count["zone "+string(v.Zone)]++
		}
		holders := Holders(vms, q)
		want := count["zone a"]
		if want == 0 {
			want = count["region x"]
		}
		if want == 0 {
			want = remaining
		}
		if diff := cmp.Diff(min(want, q.MaxHolders), len(holders)); diff != "" {
			t.Fatalf("holders (-want +got):\n%s", diff)
		}
		for _, h := range holders {
			if h.Leaving || h.Zone != "a" && count["zone a"] > 0 || h.Region != "x" && count["region x"] > 0 {
				t.Fatalf("%+v holds connections, though it is leaving or another VM is nearer", h)
			}
		}
	})
}

// TestHoldersSpread checks that accounts spread over the holders of a server, and that
// most keep their holder when another holder is removed.
func TestHoldersSpread(t *testing.T) {
	vms := makeVMs(12)
	q := HolderQuery{Server: "p", Zone: "a", Region: "x", MaxHolders: 6}
	firstHolder := func(vms []VM, account string) string { return RankHolders(Holders(vms, q), q.Server, account)[0].Name }
	load := map[string]int{}
	for i := range 600 {
		load[firstHolder(vms, fmt.Sprint(i))]++
	}
	if diff := cmp.Diff(q.MaxHolders, len(load)); diff != "" {
		t.Errorf("VMs with accounts (-want +got):\n%s", diff)
	}
	for vm, accounts := range load {
		if accounts < 50 {
			t.Errorf("%s has %d accounts of 600, want about 100", vm, accounts)
		}
	}
	removed := firstHolder(vms, "0")
	moved := 0
	for i := range 600 {
		account := fmt.Sprint(i)
		before := firstHolder(vms, account)
		var rest []VM
		for _, v := range vms {
			if v.Name != removed {
				rest = append(rest, v)
			}
		}
		if after := firstHolder(rest, account); before != removed && after != before {
			moved++
		}
	}
	// The VM that replaces the removed holder also gets a share of the accounts of the
	// holders that stay.
	if moved > 600/q.MaxHolders*3/2 {
		t.Errorf("%d of 600 accounts moved between VMs that stay", moved)
	}
}

// TestServersShareHolders guards against VMs that each keep connections to most others: many servers of a zone share their holders.
func TestServersShareHolders(t *testing.T) {
	for _, perZone := range []int{20, 55} {
		vms := makeVMs(perZone)
		holders := map[string]bool{}
		for i := range 50 {
			for _, h := range Holders(vms, HolderQuery{Server: fmt.Sprint(i), Zone: "a", Region: "x", MaxHolders: 6}) {
				holders[h.Name] = true
			}
		}
		if diff := cmp.Diff(6, len(holders)); diff != "" {
			t.Errorf("%d VMs a zone: VMs that hold connections (-want +got):\n%s", perZone, diff)
		}
	}
}

// TestReserves checks that no reserve is a holder, that few VMs are reserves, nearer ones
// first, and that all others are in a small installation.
func TestReserves(t *testing.T) {
	for _, perZone := range []int{1, 3, 50} {
		vms := makeVMs(perZone)
		q := HolderQuery{Server: "p", Zone: "a", Region: "x", MaxHolders: 6}
		holders := Holders(vms, q)
		reserves := Reserves(vms, holders, q)
		if diff := cmp.Diff(min(len(vms)-len(holders), 12), len(reserves)); diff != "" {
			t.Errorf("%d VMs a zone: reserves (-want +got):\n%s", perZone, diff)
		}
		far := false
		for _, v := range reserves {
			if slices.Contains(holders, v) || far && v.Region == "x" {
				t.Errorf("%d VMs a zone: %+v is a holder, or behind one of another region", perZone, v)
			}
			far = far || v.Region != "x"
		}
	}
}

// TestLargeVMsHold guards against small VMs that hold connections beside large ones, and against accounts that are spread evenly over VMs of different sizes.
func TestLargeVMsHold(t *testing.T) {
	for _, c := range []struct{ large, holders int }{{0, 6}, {1, 5}, {2, 3}, {3, 3}, {8, 3}} {
		vms := makeVMs(30)
		for i := range vms {
			vms[i].Size = 184
			if i < c.large {
				vms[i].Size = 536
			}
		}
		holders := Holders(vms, HolderQuery{Server: "p", Zone: "a", Region: "x", MaxHolders: 6})
		if diff := cmp.Diff(c.holders, len(holders)); diff != "" {
			t.Errorf("%d large VMs: holders (-want +got):\n%s", c.large, diff)
		}
		isLarge := func(v VM) bool { return v.Size == 536 }
		if large := len(slices.DeleteFunc(slices.Clone(holders), func(v VM) bool { return !isLarge(v) })); large != min(c.large, c.holders) {
			t.Errorf("%d large VMs: %d of them hold connections", c.large, large)
		}
		first := 0
		for i := range 2000 {
			if isLarge(RankHolders(holders, "p", fmt.Sprint(i))[0]) {
				first++
			}
		}
		large := min(c.large, c.holders)
		want := 2000 * large * 536 / (large*536 + (c.holders-large)*184)
		if first < want-100 || first > want+100 {
			t.Errorf("%d large VMs: first for %d of 2000 accounts, want about %d", c.large, first, want)
		}
	}
}
