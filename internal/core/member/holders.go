package member

import (
	"cmp"
	"math"
	"slices"
	"strconv"
)

// HolderQuery describes the backend server for which holders are wanted.
type HolderQuery struct {
	// Server is the name of the backend server, which is in Zone and Region.
	Server string
	Zone   Zone
	Region string
	// MaxHolders is the largest number of holders of a server; less than 1 counts as
	// 1.
	MaxHolders int
}

// Holders returns the VMs that hold the connections to a backend server: up to
// MaxHolders of those in its zone; if there are none, of those in its region; else of
// all. Leaving VMs hold no connections. This suits loads in which each connection
// serves one client account and is expensive to open: a few VMs near the server keep
// the connections, so that traffic crosses zones or regions no more often than without
// a holder.
//
// Larger VMs come first, and fewer of them are enough: each VM keeps a connection to each
// holder, and small ones would spend their processor time on opening these.
func Holders(vms []VM, q HolderQuery) []VM {
	tiers := [...]func(*VM) bool{
		func(v *VM) bool { return !v.Leaving && v.Zone == q.Zone },
		func(v *VM) bool { return !v.Leaving && v.Region == q.Region },
		func(v *VM) bool { return !v.Leaving },
	}
	for _, matches := range tiers {
		if n := countVMs(vms, matches); n > 0 {
			ranked := rankByScore(vms, matches, bucketKey(q.Server, n), n)
			slices.SortStableFunc(ranked, func(a, b VM) int { return cmp.Compare(b.SizeClass(), a.SizeClass()) })
			return ranked[:holderCount(ranked, max(q.MaxHolders, 1))]
		}
	}
	return nil
}

// minHolders is the least number of holders of a server, if there are as many VMs.
const minHolders = 3

// holderCount returns how many of the VMs, the largest first, are as large together as maxHolders
// VMs of the median size: at least minHolders and at most maxHolders, and that many if sizes are
// not known.
func holderCount(vms []VM, maxHolders int) int {
	count := min(len(vms), maxHolders)
	need, sum := maxHolders*vms[len(vms)/2].Size, 0
	for i := range count {
		if need > 0 && i >= minHolders && sum >= need {
			return i
		}
		sum += vms[i].Size
	}
	return count
}

// countVMs returns how many VMs match.
func countVMs(vms []VM, matches func(*VM) bool) int {
	n := 0
	for i := range vms {
		if matches(&vms[i]) {
			n++
		}
	}
	return n
}

// Reserves returns the VMs that may open connections to a backend server while none of its
// holders can be reached: up to twice MaxHolders of the other VMs, those of its region
// first. All VMs know them, so that together they open few connections.
func Reserves(vms, holders []VM, q HolderQuery) []VM {
	isReserve := func(v *VM) bool {
		return !v.Leaving && !slices.ContainsFunc(holders, func(h VM) bool { return h.Name == v.Name })
	}
	key, count := "reserves\x00"+q.Server, 2*max(q.MaxHolders, 1)
	near := rankByScore(vms, func(v *VM) bool { return v.Region == q.Region && isReserve(v) }, key, count)
	if len(near) == count {
		return near
	}
	far := rankByScore(vms, func(v *VM) bool { return v.Region != q.Region && isReserve(v) }, key, count-len(near))
	return append(near, far...)
}

// bucketSize is the number of candidate VMs per bucket of servers. Every VM keeps a connection
// to each holder, and opening one costs as much processor time as several statements.
const bucketSize = 64

// bucketKey returns the hash key of a server's bucket. Servers of the same zone and
// bucket have the same holders, so that a VM works with few other VMs, however many
// servers there are.
func bucketKey(server string, vmCount int) string {
	return "holders" + strconv.FormatUint(rendezvousScore("", server)%uint64(max(vmCount/bucketSize, 1)), 10)
}

// RankHolders returns holders in the order in which requests of one client account
// should try them, so that an account's connections are held by few of them. A holder is first
// for a part of the accounts that grows with its size.
func RankHolders(holders []VM, server, account string) []VM {
	out := rankByScore(holders, func(*VM) bool { return true }, server+"\x00"+account, len(holders))
	if len(out) == 0 || !slices.ContainsFunc(out, func(v VM) bool { return v.Size != out[0].Size }) {
		return out
	}
	key := server + "\x00" + account
	slices.SortStableFunc(out, func(a, b VM) int { return cmp.Compare(a.weightedScore(key), b.weightedScore(key)) })
	return out
}

// weightedScore is the weighted rendezvous hash of a VM; the lowest is first.
func (v *VM) weightedScore(key string) float64 {
	const hashRange = 1 << 64
	share := (float64(rendezvousScore(v.Name, key)) + 0.5) / hashRange
	return -math.Log(share) / float64(max(v.Size, 1))
}

// rankByScore returns the matching VMs with the highest rendezvous hashes for key, highest
// first, at most count of them. Each hash is computed once, since there may be hundreds of VMs.
func rankByScore(vms []VM, matches func(*VM) bool, key string, count int) []VM {
	type scored struct {
		score uint64
		vm    *VM
	}
	ranked := make([]scored, 0, len(vms))
	for i := range vms {
		if v := &vms[i]; matches(v) {
			ranked = append(ranked, scored{score: rendezvousScore(v.Name, key), vm: v})
		}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.vm.Name, b.vm.Name)
	})
	out := make([]VM, min(len(ranked), count))
	for i := range out {
		out[i] = *ranked[i].vm
	}
	return out
}
