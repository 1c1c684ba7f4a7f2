package inner

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// Gossip is a message in which a VM reports its own state and what it knows about
// other VMs and database groups.
type Gossip struct {
	_ struct{} `cbor:",toarray"`
	// From is the name of the sender, Address its address for other VMs, and
	// Process a random number that differs at each start of the sender.
	From    string
	Address string
	Process uint64
	// Sequence increases with each message to the same receiver.
	Sequence uint64
	// Echo is the highest Sequence that the sender has received from the VM to which
	// it sends this message, and EchoAge the time since then in milliseconds.
	Echo    uint64
	EchoAge clock.Millis
	// Leaving is set once the sender is stopping.
	Leaving bool
	// Version is the version of the configuration in force at the sender, and VersionAge the
	// time since the store had no later one, in milliseconds (freshness.Copy).
	Version    uint64
	VersionAge clock.Millis
	// DirectoryHash identifies the sender's directory of backend servers and is 0
	// when it has none; DirectoryAge is the time since the directory was read, in
	// milliseconds.
	DirectoryHash uint64
	DirectoryAge  clock.Millis
	// Zone is the sender's availability zone, Region its region, and Scope the set
	// of VMs that Usages covers.
	Zone   member.Zone
	Region string
	Scope  Scope
	// Covered is the number of VMs that Usages covers: those whose usages the sender has recently
	// received, and itself. Known is the number of VMs that the sender knows.
	Covered int
	Known   int
	Usages  []Usage
	Views   []GroupView
}

// Scope is the set of VMs whose use of client accounts a message reports.
type Scope uint8

// The scopes.
const (
	// ScopeVM is the sender alone.
	ScopeVM Scope = iota
	// ScopeZone is all VMs of the sender's zone.
	ScopeZone
	// scopeOtherZones is no longer sent.
	scopeOtherZones
	// ScopeAll is all VMs. Usages then lists only the accounts that are near their
	// limit, without what they have spent.
	ScopeAll
)

// Usage is the use of one client account by the VMs of a Scope.
type Usage struct {
	_       struct{} `cbor:",toarray"`
	Account string
	// Spent is the number of operations that took a token since the process started,
	// less those that returned it. For a scope of several VMs it is the sender's own
	// sum, so the sums of different senders cannot be compared.
	Spent uint64
	// Demand is the rate in operations per second at which callers asked to run them.
	Demand float32
	// Tokens is the sender's estimate of the tokens in the account's shared bucket, divided by
	// its reach; see quota.Report.
	Tokens float32
}

// GroupView is what a VM knows about one database group. Term is the highest term that
// it knows, and Leader the primary of that term, or empty.
type GroupView struct {
	_      struct{} `cbor:",toarray"`
	Group  string
	Term   floor.Term
	Leader string
	// ProofAge is the age of the last proof that the leader is the primary, in
	// milliseconds; it is negative when there is none.
	ProofAge clock.Millis
	// PositionTerm and Position are a log position that the leader had reached PositionAge
	// milliseconds ago; both are 0 when none is known.
	PositionTerm floor.Term
	Position     floor.Position
	PositionAge  clock.Millis
	// PrimaryLost is set while the VM considers the leader lost.
	PrimaryLost bool
	// ReplicationStalled is set while the VM sees that no replica receives the
	// leader's log.
	ReplicationStalled bool
	// ReleasedToken is the fencing token of the last claim for which the VM released
	// the term, that is, stopped using the primary to be replaced; 0 when there is none.
	// ReleaseEnded is set once that release is not in force any more: the claim has ended without
	// an order to promote that may take effect, a later term is known, or time has passed.
	ReleasedToken uint64
	ReleaseEnded  bool
	// AcknowledgedTerm and Acknowledged are the furthest position, of any term, of which the VM
	// knows that it or another one acknowledged it to a caller; both are 0 when there is none.
	AcknowledgedTerm floor.Term
	Acknowledged     floor.Position
}
