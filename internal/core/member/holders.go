package member

import (
	"cmp"
	"slices"
	"strconv"
)

// HolderQuery says for what holders are looked for.
type HolderQuery struct {
	// Server is the backend server, in Zone and Region.
	Server string
	Zone   Zone
	Region string
	// MaxHolders bounds the holders of a server.
	MaxHolders int
}

// Holders returns the VMs that hold the connections to a backend server: up to
// Most of those in its zone, or of its region while the zone has none, or of all.
// Leaving VMs hold nothing. It answers loads in which connections serve one client
// account each and are dear to open: few VMs keep them, near the server, so that
// the path between zones or regions is the same as without a holder.
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

// bucketSize is the number of VMs to which the servers of one bucket belong.
const bucketSize = 16

// bucketKey names the servers that share their holders, so that a VM works with few
// others, however many servers there are.
func bucketKey(server string, vms int) string {
	return "holders" + strconv.FormatUint(rendezvousScore("", server)%uint64(max(vms/bucketSize, 1)), 10)
}

// RankHolders returns holders in the order in which the work of one account should try
// them, so that an account's connections stand at few of them.
func RankHolders(holders []VM, server, account string) []VM {
	out := slices.Clone(holders)
	sortByRendezvousScore(out, server+"\x00"+account)
	return out
}

// sortByRendezvousScore puts VMs into rendezvous order for a thing, the first one first.
func sortByRendezvousScore(vms []VM, key string) {
	slices.SortFunc(vms, func(a, b VM) int {
		if c := cmp.Compare(rendezvousScore(b.Name, key), rendezvousScore(a.Name, key)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
}
