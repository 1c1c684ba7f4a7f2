package inner

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// Gossip is what a VM tells another of itself and of what it knows.
type Gossip struct {
	_ struct{} `cbor:",toarray"`
	// From is the name of the VM, Address where it is reached, and Process tells
	// its starts apart.
	From    string
	Address string
	Process uint64
	// Sequence grows with each message to the receiver.
	Sequence uint64
	// Echo is the number of the last message from the receiver, and Since the time
	// that has passed since it came, in milliseconds.
	Echo    uint64
	EchoAge clock.Millis
	// Leaving is set once the VM is to stop.
	Leaving bool
	// Version is that of the configuration in force at the VM.
	Version uint64
	// DirectoryHash identifies the directory of backend servers that the VM has, or is 0,
	// and ListedAge is the time since it was read, in milliseconds.
	DirectoryHash uint64
	DirectoryAge  clock.Millis
	// Zone is the sender's availability zone, Region its region, and Scope what the usages are of.
	Zone   member.Zone
	Region string
	Scope  Scope
	Usages []Usage
	Views  []GroupView
}

// Scope says whose use a message tells.
type Scope uint8

// The scopes.
const (
	// ScopeVM is the sender alone.
	ScopeVM Scope = iota
	// ScopeZone is all VMs of the sender's zone.
	ScopeZone
	// ScopeOtherZones is all VMs of the other zones.
	ScopeOtherZones
)

// Usage is the use of one account at a VM.
type Usage struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Spent   uint64
	Demand  float32
	Tokens  float32
}

// GroupView is what a VM knows of one database group.
type GroupView struct {
	_      struct{} `cbor:",toarray"`
	Group  string
	Term   floor.Term
	Leader string
	// ProofAge is the age of the proof that the leader leads, in milliseconds, or
	// negative when there is none.
	ProofAge clock.Millis
	// Position is a state that the leader's log had reached At milliseconds ago.
	Position    floor.Position
	PositionAge clock.Millis
	// PrimaryLost is set while the VM cannot use the leader.
	PrimaryLost bool
	// ReplicationStalled is set while the VM sees that no replica receives what the leader has.
	ReplicationStalled bool
	// ReleasedToken is that of the last claim for which the VM has given up the term that
	// is to be replaced, or 0.
	ReleasedToken uint64
}
