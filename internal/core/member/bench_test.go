package member

import (
	"fmt"
	"testing"
)

// BenchmarkHolders measures the choice of the holders and reserves of a server among 300 VMs.
func BenchmarkHolders(b *testing.B) {
	vms := makeVMs(100)
	for i := range b.N {
		q := HolderQuery{Server: fmt.Sprint(i), Zone: "a", Region: "x", MaxHolders: 6}
		Reserves(vms, Holders(vms, q), q)
	}
}
