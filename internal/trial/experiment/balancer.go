package experiment

import (
	"slices"
	"sync"

	"github.com/sycamoredoor/sycamoredoor/internal/serve/vm"
)

// balancer is the VMs as a balancer in front of them knows them.
type balancer struct {
	mu sync.Mutex
	// active are the VMs that get callers.
	active []*vm.VM
	// all are these and those that were.
	all    []*vm.VM
	killed map[*vm.VM]bool
}

func newBalancer(vms []*vm.VM) *balancer {
	return &balancer{active: slices.Clone(vms), all: slices.Clone(vms), killed: map[*vm.VM]bool{}}
}

// activeVMs returns the VMs that get callers.
func (b *balancer) activeVMs() []*vm.VM {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.active)
}

// allVMs returns every VM that served.
func (b *balancer) allVMs() []*vm.VM {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.all)
}

// find returns the VM called name among those that get callers, or nil.
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

// remove gives a VM no more callers; killed says that it is about to be killed.
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
