package inner

import "github.com/sycamoredoor/sycamoredoor/internal/core/member"

// Roster is a datagram that identifies the sender's list of VMs, so that a VM with an earlier
// one learns of it.
type Roster struct {
	_    struct{} `cbor:",toarray"`
	From string
	// Version is the version of the store when the list was read, Hash that of the list
	// (member.HashList).
	Version uint64
	Hash    uint64
}

// List is the answer to TopicVMs: the registered VMs as of a version of the store.
type List struct {
	Version uint64      `json:"version"`
	VMs     []member.VM `json:"vms"`
}
