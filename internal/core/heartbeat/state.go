package heartbeat

import (
	"maps"
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// Intervals and timeouts of the protocol, in milliseconds, and the limit of probes.
const (
	// BeatInterval is the time between two beats.
	BeatInterval clock.Millis = 500
	// ConfirmationTTL is how long a confirmation lets a VM act.
	ConfirmationTTL clock.Millis = 4000
	// MaxClockDrift is added to ConfirmationTTL where another VM's clock may run
	// slower.
	MaxClockDrift clock.Millis = 200
	// SummaryTTL is how long a neighbour's summary counts after its summarySentAfter.
	SummaryTTL clock.Millis = 1700
	// SuspicionTimeout is how long a VM may send neither a beat nor an answer before it
	// is suspected.
	SuspicionTimeout clock.Millis = 1600
	// EndedAfter is how long a member must be missing from the platform's list to
	// count as ended.
	EndedAfter = clock.Second
	// ProbeInterval is the time between two rounds of probes to suspected VMs.
	ProbeInterval clock.Millis = 2000
	// maxProbes is the number of suspected VMs probed per round.
	maxProbes = 8
)

// DistantPast is earlier than every time of a clock.
const DistantPast = clock.Millis(-1 << 40)

// MemberSet holds the members of a version, a majority of which confirms it.
type MemberSet struct {
	Version uint64
	// Members is the version's own set, and OldMembers the previous one while a
	// change of members is not finished. A majority of both is needed.
	Members    []member.VM
	OldMembers []member.VM
	// First is set for the version that brought the first member set: no VM can act
	// on an earlier one.
	First bool
}

// confirmation records that a version was the newest at the time at.
type confirmation struct {
	version uint64
	at      clock.Millis
}

// neighbour is what a VM knows of its relay, of a child in the relay tree or of another
// root.
type neighbour struct {
	// lastReceived is when its last beat, or its last answer to a beat, arrived, or when
	// its timeout started if that is later.
	lastReceived clock.Millis
	// summary was sent after summarySentAfter. Each of its members acted on the version
	// at some time no earlier than summaryTime.
	summary          Summary
	summaryTime      clock.Millis
	summarySentAfter clock.Millis
	suspects         []string
	// sentAnswers are the last answers to it, which its beats may echo.
	sentAnswers [2]sentAnswer
	// minVersion is a lower bound of the version that it acts on.
	minVersion uint64
	// lastAnswered is when the last answer was sent to it.
	lastAnswered clock.Millis
	// lastAnswerSequence is the sequence number of the last answer received from it.
	lastAnswerSequence uint64
}

// sentAnswer is when an answer was sent, and the sequence number by which a beat echoes it.
type sentAnswer struct {
	sequence uint64
	at       clock.Millis
}

// State is the state of the heartbeat protocol at one VM. It is immutable.
type State struct {
	self          string
	address       string
	zone          member.Zone
	memberSet     MemberSet
	newestVersion uint64
	startedAt     clock.Millis
	// newlyJoined is set when the first member set that the VM received did not list
	// it. Then no earlier process of the VM can have confirmed a version to others
	// recently.
	newlyJoined bool
	// lastTick is the time of the last Tick, nextBeat that of the next beat, and
	// lastProbe that of the last round of probes.
	lastTick     clock.Millis
	nextBeat     clock.Millis
	lastProbe    clock.Millis
	beatSequence uint64
	// beatTimes holds when the last beats were sent, by sequence number.
	beatTimes map[uint64]clock.Millis
	children  map[string]neighbour
	// roots holds the other roots; only a root uses it.
	roots map[string]neighbour
	// parent is the relay as of the last beat, and parentName its name or "" at a root.
	parent     neighbour
	parentName string
	// suspectedAt holds when a VM was suspected or last probed.
	suspectedAt map[string]clock.Millis
	// relayedSuspects were received from the relay, or at a root from the other roots.
	relayedSuspects []string
	confirmed       confirmation
	// majoritySince is when a majority was first seen to act on the version.
	majoritySince   confirmation
	acceptedVersion uint64
	listID          uint64
	// relayTree is the tree of the members of treeVersion without the VMs in
	// suspects.
	relayTree   member.Tree
	treeVersion uint64
	suspects    map[string]bool
	// aliveRevision grows whenever Alive changes.
	aliveRevision uint64
	// unlistedSince holds when members were first missing from the platform's list.
	unlistedSince map[string]clock.Millis
}

// New returns the state of a VM that has no version yet.
func New(self member.VM, now clock.Millis) State {
	return State{
		self: self.Name, zone: self.Zone, address: self.Address, startedAt: now, lastTick: now, nextBeat: now, beatTimes: map[uint64]clock.Millis{},
		children: map[string]neighbour{}, roots: map[string]neighbour{},
		suspectedAt: map[string]clock.Millis{}, confirmed: confirmation{at: DistantPast}, majoritySince: confirmation{at: DistantPast},
	}
}

// Version returns the version that the VM has, whether or not it may act on it.
func (s State) Version() uint64 { return s.memberSet.Version }

// NewestVersion returns the highest version that the VM knows of. While it is above
// Version, the VM has to fetch it.
func (s State) NewestVersion() uint64 { return s.newestVersion }

// AcceptedVersion returns the highest version below which no VM acts any more.
func (s State) AcceptedVersion() uint64 { return s.acceptedVersion }

// Members returns the member set of the version. The caller must not change it.
func (s State) Members() []member.VM { return s.memberSet.Members }

// ListID returns the highest ID of a platform's list of VMs that the VM knows of.
func (s State) ListID() uint64 { return s.listID }

// Parent returns the VM that relays for this one as of its last beat, or "" at a root.
func (s State) Parent() string { return s.parentName }

func (s State) isMember(name string) bool { return contains(s.memberSet.Members, name) }

func contains(set []member.VM, name string) bool {
	return slices.ContainsFunc(set, func(v member.VM) bool { return v.Name == name })
}

// IsRoot reports whether the VM is the root of its zone.
func (s State) IsRoot() bool { return s.tree().IsRoot(s.self) }

// IsFirstRoot reports whether the VM is the first of the roots by name, which is the
// one that maintains the member set.
func (s State) IsFirstRoot() bool {
	roots := s.tree().Roots()
	return len(roots) > 0 && roots[0] == s.self
}

// FetchSources returns the VMs from which to fetch a later version: the relay, or the
// other roots at a root.
func (s State) FetchSources() []string {
	if s.parentName != "" {
		return []string{s.parentName}
	}
	return slices.DeleteFunc(s.tree().Roots(), func(name string) bool { return name == s.self })
}

// CanAct reports whether the VM may act on its version now: its confirmation has not
// expired, and it knows of no later version.
func (s State) CanAct(now clock.Millis) bool {
	return now < s.CanActUntil()
}

// CanActUntil returns the time at which CanAct becomes false without a further
// confirmation, or DistantPast if there is no confirmation of the newest version.
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

// allSuspects returns the VMs that this VM suspects, and those that its children and its
// relay, or the other roots, report as suspected. A VM never suspects itself.
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

// tree returns the relay tree of the members that are not suspected, as of the last
// withRelayTree.
func (s State) tree() member.Tree { return s.relayTree }

// withRelayTree rebuilds the relay tree if the members or the suspects have changed.
func (s State) withRelayTree() State {
	suspects := s.allSuspects()
	if s.treeVersion == s.memberSet.Version && maps.Equal(suspects, s.suspects) {
		return s
	}
	s.aliveRevision++
	s.treeVersion, s.suspects, s.relayTree = s.memberSet.Version, suspects, member.NewTree(s.memberSet.Members, suspects)
	return s
}
