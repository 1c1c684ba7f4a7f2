package experiment

import (
	"slices"
	"sync"

	"github.com/sycamoredoor/sycamoredoor/internal/serve/vm"
)

// balancer keeps track of the VMs to which a load balancer in front of them would send
// callers.
type balancer struct {
	mu sync.Mutex
	// active holds the VMs that get callers.
	active []*vm.VM
	// all holds the active and the removed VMs.
	all []*vm.VM
	// killed holds for each removed VM whether it was killed rather than drained.
	killed map[*vm.VM]bool
}

func newBalancer(vms []*vm.VM) *balancer {
	return &balancer{active: slices.Clone(vms), all: slices.Clone(vms), killed: map[*vm.VM]bool{}}
}

// activeVMs returns a copy of the VMs that get callers.
func (b *balancer) activeVMs() []*vm.VM {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.active)
}

// allVMs returns a copy of the active and the removed VMs.
func (b *balancer) allVMs() []*vm.VM {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.all)
}

// find returns the active VM called name, or nil.
func (b *balancer) find(name string) *vm.VM {
	for _, v := range b.activeVMs() {
		if v.Self().Name == name {
			return v
		}
	}
	return nil
}

func (b *balancer) add(v *vm.VM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active, b.all = append(b.active, v), append(b.all, v)
}

// remove stops sending callers to a VM. killed must be set if it is about to be killed
// rather than drained.
func (b *balancer) remove(v *vm.VM, killed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active = slices.DeleteFunc(slices.Clone(b.active), func(o *vm.VM) bool { return o == v })
	b.killed[v] = killed
}

func (b *balancer) isRemoved(v *vm.VM) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !slices.Contains(b.active, v)
}

func (b *balancer) isKilled(v *vm.VM) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.killed[v]
}
