package freshness

import "github.com/sycamoredoor/sycamoredoor/internal/base/clock"

// firstReadDelay is how long a VM that starts without a copy waits for one from another VM before
// it reads the store itself, in milliseconds.
const firstReadDelay = clock.Millis(500)

// relayReadDelay is the least time between the start of a relay that has a copy from another VM and
// its own first read of the store, in milliseconds. The link between regions is busy until then.
const relayReadDelay = clock.Millis(1500)

// First decides when a VM that has just started reads its first copy from the store. After the
// loss of all VMs, each of them would read the whole record at once, and a large one takes
// seconds on the link between regions. One VM of a region reads it at once; the others wait for
// their copy from it, and read the store in turns if none comes. It is immutable.
type First struct {
	follower  Follower
	startedAt clock.Millis
	// deferredUntil is the time until which a relay relies on the copy of another VM.
	deferredUntil clock.Millis
}

// NewFirst returns the state of a VM that starts at time now. Its turn depends on the draw, a
// number from 0 to below 1.
func NewFirst(draw float64, now clock.Millis) First {
	return First{
		follower: NewFollower(Bounds{MaxAge: firstReadDelay, Takeover: takeoverTime}, draw), startedAt: now,
		deferredUntil: now + relayReadDelay + clock.Millis(draw*float64(turnSpread)),
	}
}

// WaitsForList reports whether a VM without the list of VMs still waits for it at time now. The list
// shows whether this VM is the one that reads for its region.
func (f First) WaitsForList(now clock.Millis) bool { return now-f.startedAt < firstReadDelay }

// Reads reports whether a VM that does not read for its region reads the store at time now, because
// no copy has come. vms is the number of VMs that take turns.
func (f First) Reads(vms int, now clock.Millis) bool {
	return f.follower.WithAge(now-f.startedAt, vms, now).Reads(now)
}

// Defers reports whether a relay with a copy from another VM postpones its first read of the store
// at time now.
func (f First) Defers(now clock.Millis) bool { return now < f.deferredUntil }
