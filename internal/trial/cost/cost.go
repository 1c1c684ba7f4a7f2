// Package cost measures what a statement costs: direct at the stand-in of a
// backend server, through a proxy that is its holder, and through an entry proxy
// and a holder on different VMs. The measurement is in the benchmarks; what they
// read of the process is here.
package cost

import (
	"runtime"
	"syscall"
	"time"
)

// CPUTime returns the processor time that this process has used.
func CPUTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// MemoryInUse returns the bytes of heap and stacks in use after a collection.
func MemoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
