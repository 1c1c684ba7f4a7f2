package member

import (
	"cmp"
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
func Holders(vms []VM, q HolderQuery) []VM {
	tiers := [...]func(VM) bool{
		func(v VM) bool { return v.Zone == q.Zone },
		func(v VM) bool { return v.Region == q.Region },
		func(VM) bool { return true },
	}
	for _, matches := range tiers {
		var holders []VM
		for _, v := range vms {
			if !v.Leaving && matches(v) {
				holders = append(holders, v)
			}
		}
		if len(holders) > 0 {
			sortByRendezvousScore(holders, bucketKey(q.Server, len(holders)))
			return holders[:min(len(holders), max(q.MaxHolders, 1))]
		}
	}
	return nil
}

// Reserves returns the VMs that may open connections to a backend server while none of its
// holders can be reached: up to twice MaxHolders of the other VMs, those of its region
// first. All VMs know them, so that together they open few connections.
func Reserves(vms, holders []VM, q HolderQuery) []VM {
	var near, far []VM
	for _, v := range vms {
		switch {
		case v.Leaving || slices.Contains(holders, v):
		case v.Region == q.Region:
			near = append(near, v)
		default:
			far = append(far, v)
		}
	}
	key := "reserves\x00" + q.Server
	sortByRendezvousScore(near, key)
	sortByRendezvousScore(far, key)
	reserves := append(near, far...)
	return reserves[:min(len(reserves), 2*max(q.MaxHolders, 1))]
}

// bucketSize is the number of candidate VMs per bucket of servers.
const bucketSize = 16

// bucketKey returns the hash key of a server's bucket. Servers of the same zone and
// bucket have the same holders, so that a VM works with few other VMs, however many
// servers there are.
func bucketKey(server string, vmCount int) string {
	return "holders" + strconv.FormatUint(rendezvousScore("", server)%uint64(max(vmCount/bucketSize, 1)), 10)
}

// RankHolders returns holders in the order in which requests of one client account
// should try them, so that an account's connections are held by few of them.
func RankHolders(holders []VM, server, account string) []VM {
	out := slices.Clone(holders)
	sortByRendezvousScore(out, server+"\x00"+account)
	return out
}

// sortByRendezvousScore sorts VMs by their rendezvous hash for key, highest first.
func sortByRendezvousScore(vms []VM, key string) {
	slices.SortFunc(vms, func(a, b VM) int {
		if c := cmp.Compare(rendezvousScore(b.Name, key), rendezvousScore(a.Name, key)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
}
