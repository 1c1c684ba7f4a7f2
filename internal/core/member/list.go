package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// HashList returns a hash of a list of VMs, whatever their order. That of an empty list is 1,
// so that 0 can stand for no list.
func HashList(vms []VM) uint64 {
	hash := uint64(len(vms)) + 1
	for i := range vms {
		hash += hashVM(&vms[i])
	}
	return hash
}

// hashVM returns a hash of what other VMs use of a VM.
func hashVM(v *VM) uint64 {
	d := xxhash.New()
	for _, text := range [...]string{v.Name, string(v.Zone), v.Region, v.Address} {
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(v.Size)))
	return d.Sum64()
}
