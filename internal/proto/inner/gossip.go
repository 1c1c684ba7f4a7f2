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
	// Number grows with each message to the receiver.
	Number uint64
	// Echo is the number of the last message from the receiver, and Since the time
	// that has passed since it came, in milliseconds.
	Echo  uint64
	Since clock.Millis
	// Leaving is set once the VM is to stop.
	Leaving bool
	// Version is that of the configuration in force at the VM.
	Version uint64
	// Listed identifies the directory of backend servers that the VM has, or is 0,
	// and ListedAge is the time since it was read, in milliseconds.
	Listed    uint64
	ListedAge clock.Millis
	// Zone is the sender's availability zone, Region its region, and Scope what the usages are of.
	Zone   member.Zone
	Region string
	Scope  Scope
	Usages []Usage
	Views  []View
}

// Scope says whose use a message tells.
type Scope uint8

// The scopes.
const (
	// ScopeVM is the sender alone.
	ScopeVM Scope = iota
	// ScopeZone is all VMs of the sender's zone.
	ScopeZone
	// ScopeRest is all VMs of the other zones.
	ScopeRest
)

// Usage is the use of one account at a VM.
type Usage struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Spent   uint64
	Demand  float32
	Tokens  float32
}

// View is what a VM knows of one database group.
type View struct {
	_      struct{} `cbor:",toarray"`
	Group  string
	Term   floor.Term
	Leader string
	// Proved is the age of the proof that the leader leads, in milliseconds, or
	// negative when there is none.
	Proved clock.Millis
	// Log is a state that the leader's log had reached At milliseconds ago.
	Log floor.Position
	At  clock.Millis
	// Lost is set while the VM cannot use the leader.
	Lost bool
	// Stuck is set while the VM sees that no replica receives what the leader has.
	Stuck bool
	// Token is that of the last claim for which the VM has given up the term that
	// is to be replaced, or 0.
	Token uint64
}
