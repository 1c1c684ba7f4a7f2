package heartbeat

import (
	"maps"
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// Times of the protocol in milliseconds.
const (
	// Period is the pause between two beats.
	Period clock.Millis = 500
	// Valid is how long a confirmation lets a VM act.
	Valid clock.Millis = 4000
	// Drift is added to Valid where another VM's clock may run slower.
	Drift clock.Millis = 200
	// Fresh is how old the proof that a neighbour was there may be for its summary
	// to count.
	Fresh clock.Millis = 1700
	// Silent is how long a VM may miss beats or answers before it is suspected.
	Silent clock.Millis = 1600
	// Gone is how long a member must be off the platform's list to count as ended.
	Gone = clock.Second
	// Probing is the pause between two questions to the VMs that a node suspects.
	Probing clock.Millis = 2000
	// maxProbes is the number of VMs that are asked at once.
	maxProbes = 8
)

// Never is a moment before every other.
const Never = clock.Millis(-1 << 40)

// Set is the members that a version counts.
type Set struct {
	Version uint64
	// Members is the version's own set, Old the one before it.
	Members []member.VM
	Old     []member.VM
	// First is set for the version that brought the first member set: nobody can
	// act on an earlier one.
	First bool
}

// confirmation says that at a moment a version was the newest.
type confirmation struct {
	version uint64
	at      clock.Millis
}

// neighbour is what a node knows of a child or another root.
type neighbour struct {
	// heard is the moment of the last message.
	heard clock.Millis
	// summary holds for a moment no earlier than at; it was sent after proved.
	summary  Summary
	at       clock.Millis
	proved   clock.Millis
	suspects []string
	// asked holds the moments of the answers that a beat may echo, by number.
	asked [2]numbered
	// acts is the version that it acts on at least.
	acts uint64
	// told is the moment of the last answer to it.
	told clock.Millis
	// answered is the number of the last answer that this node had from it.
	answered uint64
}

type numbered struct {
	number uint64
	at     clock.Millis
}

// Node is the state of one VM.
type Node struct {
	self    string
	address string
	zone    member.Zone
	set     Set
	newest  uint64
	started clock.Millis
	// fresh is set when the first set that the node saw did not have it, so that
	// no VM of its name can have given its word lately.
	fresh bool
	// ticked is the moment of the last Tick, next that of the next beat.
	ticked clock.Millis
	next   clock.Millis
	probed clock.Millis
	sent   uint64
	// beats holds the moments at which the last beats were sent, by number.
	beats    map[uint64]clock.Millis
	children map[string]neighbour
	// roots is the other roots; only a root uses it.
	roots     map[string]neighbour
	parent    neighbour
	parentOf  string
	suspected map[string]clock.Millis
	relayed   []string
	confirmed confirmation
	// majority is the moment at which a majority was first seen to act on the version.
	majority confirmation
	accepted uint64
	list     uint64
	// relays is the tree of version built without the VMs in skipped.
	relays  member.Tree
	built   uint64
	skipped map[string]bool
	// revision grows whenever Alive changes.
	revision uint64
	// missing holds the moments since which members are off the platform's list.
	missing map[string]clock.Millis
}

// New returns the node of a VM that knows nothing yet.
func New(self member.VM, now clock.Millis) Node {
	return Node{
		self: self.Name, zone: self.Zone, address: self.Address, started: now, ticked: now, next: now, beats: map[uint64]clock.Millis{},
		children: map[string]neighbour{}, roots: map[string]neighbour{},
		suspected: map[string]clock.Millis{}, confirmed: confirmation{at: Never}, majority: confirmation{at: Never},
	}
}

// Version returns the version that the node has, whether or not it may act.
func (n Node) Version() uint64 { return n.set.Version }

// Newest returns the highest version that the node has heard of. While it is
// above Version, the node has to fetch it.
func (n Node) Newest() uint64 { return n.newest }

// Accepted returns the highest version below which nobody acts any more.
func (n Node) Accepted() uint64 { return n.accepted }

// Members returns the member set of the version. It must not be changed.
func (n Node) Members() []member.VM { return n.set.Members }

// List identifies the platform's list of VMs that the node has heard of.
func (n Node) List() uint64 { return n.list }

// Parent returns the VM that relays for this one, or "" at a root.
func (n Node) Parent() string { return n.parentOf }

func (n Node) isMember(name string) bool { return contains(n.set.Members, name) }

func contains(set []member.VM, name string) bool {
	return slices.ContainsFunc(set, func(v member.VM) bool { return v.Name == name })
}

// IsRoot reports whether the node is the root of its zone.
func (n Node) IsRoot() bool { return n.tree().IsRoot(n.self) }

// IsFirst reports whether the node is the first of the roots by name, which is
// the one that keeps the member set.
func (n Node) IsFirst() bool {
	roots := n.tree().Roots()
	return len(roots) > 0 && roots[0] == n.self
}

// Sources returns the VMs to get a later version from: the relay, or at a root
// the other roots.
func (n Node) Sources() []string {
	if n.parentOf != "" {
		return []string{n.parentOf}
	}
	return slices.DeleteFunc(n.tree().Roots(), func(name string) bool { return name == n.self })
}

// May reports whether the node may act on its version now: it has a
// confirmation that is young enough, and no later version is known.
func (n Node) May(now clock.Millis) bool {
	return now < n.Until()
}

// Until returns the moment at which May ends without a further confirmation; it
// is Never while the node may not act.
func (n Node) Until() clock.Millis {
	if n.set.Version == 0 || n.newest > n.set.Version || n.confirmed.version != n.set.Version {
		return Never
	}
	return n.confirmed.at + Valid
}

// Revision grows whenever Alive changes.
func (n Node) Revision() uint64 { return n.revision }

// Alive returns the members that are not suspected.
func (n Node) Alive() []member.VM {
	skip := n.skipped
	out := make([]member.VM, 0, len(n.set.Members))
	for _, v := range n.set.Members {
		if !skip[v.Name] {
			out = append(out, v)
		}
	}
	return out
}

// skip is the suspected VMs; a node never suspects itself.
func (n Node) skip() map[string]bool {
	out := map[string]bool{}
	for name := range n.suspected {
		out[name] = true
	}
	for _, name := range n.relayed {
		out[name] = true
	}
	for _, c := range n.children {
		for _, name := range c.suspects {
			out[name] = true
		}
	}
	delete(out, n.self)
	return out
}

// tree returns the relay tree of the members that are not suspected, as of the
// last refresh.
func (n Node) tree() member.Tree { return n.relays }

// refresh builds the relay tree anew if the members or the suspicions changed.
func (n Node) refresh() Node {
	skip := n.skip()
	if n.built == n.set.Version && maps.Equal(skip, n.skipped) {
		return n
	}
	n.revision++
	n.built, n.skipped, n.relays = n.set.Version, skip, member.NewTree(n.set.Members, skip)
	return n
}
