// Package cost reads the CPU time and memory of this process. Its benchmarks measure
// the cost of a statement that goes directly to the stand-in of a backend server,
// through an entry proxy on the VM that is its holder, and through an entry proxy and
// a holder on different VMs.
package cost

import (
	"runtime"
	"syscall"
	"time"
)

// CPUTime returns the user and system CPU time that this process has used.
func CPUTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// MemoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func MemoryInUse() int64 {
	runtime.GC()
	runtime.GC() // the first keeps what a sync.Pool holds
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
