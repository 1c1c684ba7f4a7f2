package inner

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// Evacuation is the sender's state of the evacuated zones, in a datagram or in an Answer. VMs of
// versions without it ignore it.
type Evacuation struct {
	_    struct{} `cbor:",toarray"`
	From string
	// Revision, Era and Zones are those of an evacuation.Set.
	Revision uint64
	Era      uint64
	Zones    []EvacuatedZone
}

// EvacuatedZone is an evacuated availability zone. Age is the time for which it has been known to be
// evacuated, in milliseconds.
type EvacuatedZone struct {
	_    struct{} `cbor:",toarray"`
	Zone member.Zone
	Age  clock.Millis
}
