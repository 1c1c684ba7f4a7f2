package heartbeat

import (
	"maps"
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// Times of the protocol in milliseconds.
const (
	// BeatInterval is the pause between two beats.
	BeatInterval clock.Millis = 500
	// ConfirmationTTL is how long a confirmation lets a VM act.
	ConfirmationTTL clock.Millis = 4000
	// MaxClockDrift is added to Valid where another VM's clock may run slower.
	MaxClockDrift clock.Millis = 200
	// SummaryTTL is how old the proof that a neighbour was there may be for its summary
	// to count.
	SummaryTTL clock.Millis = 1700
	// SuspicionTimeout is how long a VM may miss beats or answers before it is suspected.
	SuspicionTimeout clock.Millis = 1600
	// EndedAfter is how long a member must be off the platform's list to count as ended.
	EndedAfter = clock.Second
	// ProbeInterval is the pause between two questions to the VMs that a node suspects.
	ProbeInterval clock.Millis = 2000
	// maxProbes is the number of VMs that are asked at once.
	maxProbes = 8
)

// DistantPast is a moment before every other.
const DistantPast = clock.Millis(-1 << 40)

// MemberSet is the members that a version counts.
type MemberSet struct {
	Version uint64
	// Members is the version's own set, Old the one before it.
	Members    []member.VM
	OldMembers []member.VM
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
	// lastReceived is the moment of the last message.
	lastReceived clock.Millis
	// summary holds for a moment no earlier than at; it was sent after proved.
	summary          Summary
	summaryTime      clock.Millis
	summarySentAfter clock.Millis
	suspects         []string
	// sentAnswers holds the moments of the answers that a beat may echo, by number.
	sentAnswers [2]sentAnswer
	// minVersion is the version that it acts on at least.
	minVersion uint64
	// lastAnswered is the moment of the last answer to it.
	lastAnswered clock.Millis
	// lastAnswerSequence is the number of the last answer that this node had from it.
	lastAnswerSequence uint64
}

type sentAnswer struct {
	sequence uint64
	at       clock.Millis
}

// State is the state of one VM.
type State struct {
	self          string
	address       string
	zone          member.Zone
	memberSet     MemberSet
	newestVersion uint64
	startedAt     clock.Millis
	// newlyJoined is set when the first set that the node saw did not have it, so that
	// no VM of its name can have given its word lately.
	newlyJoined bool
	// lastTick is the moment of the last Tick, next that of the next beat.
	lastTick     clock.Millis
	nextBeat     clock.Millis
	lastProbe    clock.Millis
	beatSequence uint64
	// beatTimes holds the moments at which the last beats were sent, by number.
	beatTimes map[uint64]clock.Millis
	children  map[string]neighbour
	// roots is the other roots; only a root uses it.
	roots           map[string]neighbour
	parent          neighbour
	parentName      string
	suspectedAt     map[string]clock.Millis
	relayedSuspects []string
	confirmed       confirmation
	// majoritySince is the moment at which a majority was first seen to act on the version.
	majoritySince   confirmation
	acceptedVersion uint64
	listID          uint64
	// relayTree is the tree of version built without the VMs in skipped.
	relayTree   member.Tree
	treeVersion uint64
	suspects    map[string]bool
	// aliveRevision grows whenever Alive changes.
	aliveRevision uint64
	// unlistedSince holds the moments since which members are off the platform's list.
	unlistedSince map[string]clock.Millis
}

// New returns the node of a VM that knows nothing yet.
func New(self member.VM, now clock.Millis) State {
	return State{
		self: self.Name, zone: self.Zone, address: self.Address, startedAt: now, lastTick: now, nextBeat: now, beatTimes: map[uint64]clock.Millis{},
		children: map[string]neighbour{}, roots: map[string]neighbour{},
		suspectedAt: map[string]clock.Millis{}, confirmed: confirmation{at: DistantPast}, majoritySince: confirmation{at: DistantPast},
	}
}

// Version returns the version that the node has, whether or not it may act.
func (s State) Version() uint64 { return s.memberSet.Version }

// NewestVersion returns the highest version that the node has heard of. While it is
// above Version, the node has to fetch it.
func (s State) NewestVersion() uint64 { return s.newestVersion }

// AcceptedVersion returns the highest version below which nobody acts any more.
func (s State) AcceptedVersion() uint64 { return s.acceptedVersion }

// Members returns the member set of the version. It must not be changed.
func (s State) Members() []member.VM { return s.memberSet.Members }

// ListID identifies the platform's list of VMs that the node has heard of.
func (s State) ListID() uint64 { return s.listID }

// Parent returns the VM that relays for this one, or "" at a root.
func (s State) Parent() string { return s.parentName }

func (s State) isMember(name string) bool { return contains(s.memberSet.Members, name) }

func contains(set []member.VM, name string) bool {
	return slices.ContainsFunc(set, func(v member.VM) bool { return v.Name == name })
}

// IsRoot reports whether the node is the root of its zone.
func (s State) IsRoot() bool { return s.tree().IsRoot(s.self) }

// IsFirstRoot reports whether the node is the first of the roots by name, which is
// the one that keeps the member set.
func (s State) IsFirstRoot() bool {
	roots := s.tree().Roots()
	return len(roots) > 0 && roots[0] == s.self
}

// FetchSources returns the VMs to get a later version from: the relay, or at a root
// the other roots.
func (s State) FetchSources() []string {
	if s.parentName != "" {
		return []string{s.parentName}
	}
	return slices.DeleteFunc(s.tree().Roots(), func(name string) bool { return name == s.self })
}

// CanAct reports whether the node may act on its version now: it has a
// confirmation that is young enough, and no later version is known.
func (s State) CanAct(now clock.Millis) bool {
	return now < s.CanActUntil()
}

// CanActUntil returns the moment at which May ends without a further confirmation; it
// is Never while the node may not act.
func (s State) CanActUntil() clock.Millis {
	if s.memberSet.Version == 0 || s.newestVersion > s.memberSet.Version || s.confirmed.version != s.memberSet.Version {
		return DistantPast
	}
	return s.confirmed.at + ConfirmationTTL
}

// AliveRevision grows whenever Alive changes.
func (s State) AliveRevision() uint64 { return s.aliveRevision }

// Alive returns the members that are not suspected.
func (s State) Alive() []member.VM {
	suspects := s.suspects
	out := make([]member.VM, 0, len(s.memberSet.Members))
	for _, v := range s.memberSet.Members {
		if !suspects[v.Name] {
			out = append(out, v)
		}
	}
	return out
}

// allSuspects is the suspected VMs; a node never suspects itself.
func (s State) allSuspects() map[string]bool {
	out := map[string]bool{}
	for name := range s.suspectedAt {
		out[name] = true
	}
	for _, name := range s.relayedSuspects {
		out[name] = true
	}
	for _, c := range s.children {
		for _, name := range c.suspects {
			out[name] = true
		}
	}
	delete(out, s.self)
	return out
}

// tree returns the relay tree of the members that are not suspected, as of the
// last refresh.
func (s State) tree() member.Tree { return s.relayTree }

// withRelayTree builds the relay tree anew if the members or the suspicions changed.
func (s State) withRelayTree() State {
	suspects := s.allSuspects()
	if s.treeVersion == s.memberSet.Version && maps.Equal(suspects, s.suspects) {
		return s
	}
	s.aliveRevision++
	s.treeVersion, s.suspects, s.relayTree = s.memberSet.Version, suspects, member.NewTree(s.memberSet.Members, suspects)
	return s
}
