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
func (f *balancer) activeVMs() []*vm.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.active)
}

// allVMs returns every VM that served.
func (f *balancer) allVMs() []*vm.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.all)
}

// find returns the VM called name among those that get callers, or nil.
func (f *balancer) find(name string) *vm.VM {
	for _, v := range f.activeVMs() {
		if v.Self().Name == name {
			return v
		}
	}
	return nil
}

func (f *balancer) add(v *vm.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active, f.all = append(f.active, v), append(f.all, v)
}

// remove gives a VM no more callers; killed says that it is about to be killed.
func (f *balancer) remove(v *vm.VM, killed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = slices.DeleteFunc(slices.Clone(f.active), func(o *vm.VM) bool { return o == v })
	f.killed[v] = killed
}

func (f *balancer) isRemoved(v *vm.VM) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.Contains(f.active, v)
}

func (f *balancer) isKilled(v *vm.VM) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.killed[v]
}
