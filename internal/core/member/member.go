// Package member describes the zones and VMs of an installation, places resources on
// VMs by rendezvous hashing, and computes the relay tree.
package member

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Zone is the name of an availability zone.
type Zone string

// VM is one machine of the proxy.
type VM struct {
	Name   string `json:"name" yaml:"name"`
	Zone   Zone   `json:"zone" yaml:"zone"`
	Region string `json:"region" yaml:"region"`
	// Address is the IP:port for messages of other VMs.
	Address string `json:"address" yaml:"address"`
	// Operator is the URL for operators.
	Operator string `json:"operator,omitempty" yaml:"operator"`
	// Size is the memory of the VM in MiB, or 0 if it is not known. Larger VMs get more work.
	Size int `json:"size,omitempty" yaml:"size,omitempty"`
	// Leaving is set while the VM drains before it leaves the list of VMs.
	Leaving bool `json:"leaving,omitempty" yaml:"leaving"`
}

// Place returns the VM that should hold the resource called name, and false if there
// are no VMs. VMs that stay are preferred to leaving ones, then VMs in the given zone
// to others; among equals a hash decides, so that few resources move when VMs come or
// go. The result is a hint: the resource itself decides which VM holds it.
func Place(vms []VM, name string, zone Zone) (VM, bool) {
	best, bestRank, bestScore := VM{}, -1, uint64(0)
	for _, v := range vms {
		rank, score := placementRank(v, zone), rendezvousScore(v.Name, name)
		if rank > bestRank || rank == bestRank && score > bestScore {
			best, bestRank, bestScore = v, rank, score
		}
	}
	return best, bestRank >= 0
}

func placementRank(v VM, zone Zone) int {
	rank := 0
	if !v.Leaving {
		rank += 2
	}
	if v.Zone == zone {
		rank++
	}
	return rank
}

// SizeClass returns the logarithm of the VM's size, rounded down, so that VMs of about the same
// size are equal.
func (v *VM) SizeClass() int { return bits.Len(uint(max(v.Size, 0))) }

func rendezvousScore(vm, key string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(vm)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
