package experiment

import (
	"slices"
	"sync"

	"github.com/sycamoredoor/sycamoredoor/internal/serve/vm"
)

// fleet is the VMs as a balancer in front of them knows them.
type fleet struct {
	mu sync.Mutex
	// up are the VMs that get callers.
	up []*vm.VM
	// all are these and those that were.
	all  []*vm.VM
	dead map[*vm.VM]bool
}

func newFleet(vms []*vm.VM) *fleet {
	return &fleet{up: slices.Clone(vms), all: slices.Clone(vms), dead: map[*vm.VM]bool{}}
}

// serving returns the VMs that get callers.
func (f *fleet) serving() []*vm.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.up)
}

// ever returns every VM that served.
func (f *fleet) ever() []*vm.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.all)
}

// find returns the VM called name among those that get callers, or nil.
func (f *fleet) find(name string) *vm.VM {
	for _, v := range f.serving() {
		if v.Self().Name == name {
			return v
		}
	}
	return nil
}

func (f *fleet) add(v *vm.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.up, f.all = append(f.up, v), append(f.all, v)
}

// remove gives a VM no more callers; killed says that it is about to be killed.
func (f *fleet) remove(v *vm.VM, killed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.up = slices.DeleteFunc(slices.Clone(f.up), func(o *vm.VM) bool { return o == v })
	f.dead[v] = killed
}

func (f *fleet) gone(v *vm.VM) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.Contains(f.up, v)
}

func (f *fleet) killed(v *vm.VM) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dead[v]
}
