// Package primary decides the change of a database group's primary. An Observer
// is an immutable value: it takes events with the time and returns a new value
// and the actions to run. Two rules carry its safety: one term is sealed for one
// claim, and the majority that a claim seals meets the majority that holds every
// acknowledged write. No clock enters into it; time only decides when to begin.
package primary

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// Role is what a backend server says it is.
type Role string

// The roles.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	// RoleSealed is a server that takes no writes until it is told of a primary.
	RoleSealed Role = "sealed"
)

// State is what a backend server answered to a probe.
type State struct {
	Term   floor.Term
	Role   Role
	Leader string
	// LastPosition is the end of the server's log.
	LastPosition floor.ReplicationPosition
	// Lag is the time since the server was in touch with its primary, in milliseconds.
	Lag clock.Millis
}

// Voter is a VM that observes the group.
type Voter struct {
	VM   string
	Zone member.Zone
}

// Settings identifies an observer. Servers is never changed.
type Settings struct {
	Database string
	Servers  []string
	// Leaving names servers that are to be replaced; a primary among them is
	// treated as lost while another server can take over.
	Leaving []string
	Self    Voter
	// Nonce differs for each start of the process, so that a restarted observer
	// never continues the claim of its predecessor.
	Nonce string
}

// EventKind is the type of an event.
type EventKind int

// The kinds of event.
const (
	// Tick says that time has passed; Voters lists the observers of the group.
	Tick EventKind = iota
	// Answered is the State of Server.
	Answered
	// Reachable says that Server answered without telling its state.
	Reachable
	// Voted says that Voter has lost the primary of Term; 0 takes it back.
	Voted
	// ClaimRecorded ends the wait for the table; Refused is set when another claimant
	// has Term or a later one.
	ClaimRecorded
	// Sealed is the answer of Server to a seal: Mark, or Refused with its Term.
	Sealed
	// Promoted is the answer of Server to a promotion, or Refused.
	Promoted
)

// Event is something that an observer learns.
type Event struct {
	Kind     EventKind
	Server   string
	State    State
	Voter    Voter
	Voters   []Voter
	Term     floor.Term
	Claimant string
	Position floor.ReplicationPosition
	Refused  bool
}

// ActionKind is the type of an action.
type ActionKind int

// The actions.
const (
	// RequestVotes asks the other observers for their votes.
	RequestVotes ActionKind = iota
	// RecordClaim writes the claim to the platform's table, without waiting for long.
	RecordClaim
	// Seal seals Server in Term for Claimant.
	Seal
	// Promote makes Server the primary of Term.
	Promote
	// Follow makes Server a replica of Leader in Term.
	Follow
	// RecordPrimary writes the new primary to the platform's table.
	RecordPrimary
)

// Action is something to be done. Every action is idempotent.
type Action struct {
	Kind     ActionKind
	Server   string
	Term     floor.Term
	Claimant string
	Leader   string
	// HighestPosition is the highest mark among the sealed servers, for a promotion, and
	// Chosen that of the promoted server.
	HighestPosition floor.ReplicationPosition
	TargetPosition  floor.ReplicationPosition
}

// answer is the last answer of a server.
type answer struct {
	state State
	at    clock.Millis
}

type vote struct {
	voter Voter
	term  floor.Term
	at    clock.Millis
}

// Observer watches one database group on behalf of one VM.
type Observer struct {
	settings Settings
	voters   []Voter
	answers  map[string]answer
	votes    map[string]vote
	// term is the highest term heard of, and leader its primary if known.
	term      floor.Term
	leader    string
	learnedAt clock.Millis
	// formerLeader is the last known primary before term.
	formerLeader string
	// changeTimes holds the moments of the last changes of primary.
	changeTimes []clock.Millis
	// claimWantedSince is the moment from which a claim has been called for.
	claimWantedSince clock.Millis
	claimWanted      bool
	votesRequestedAt clock.Millis
	followSentAt     map[string]clock.Millis
	failedClaims     int
	claimCount       int
	claim            *claim
	// unrecordedClaimant is the claimant whose result is not in the table yet.
	unrecordedClaimant string
}

// New returns an observer that knows nothing yet.
func New(s Settings) Observer {
	return Observer{settings: s, answers: map[string]answer{}, votes: map[string]vote{}, followSentAt: map[string]clock.Millis{}}
}

// Leader returns the highest term heard of and its primary, or "" while none is known.
func (o Observer) Leader() (floor.Term, string) { return o.term, o.leader }

// Claiming reports whether a claim of this observer is under way.
func (o Observer) Claiming() bool { return o.claim != nil }

// LeaderAnsweredAt returns the moment of the last answer of the primary.
func (o Observer) LeaderAnsweredAt() clock.Millis { return o.answers[o.leader].at }

// IsStable reports whether nothing is amiss, so that servers may be probed less often.
func (o Observer) IsStable(now clock.Millis) bool {
	if o.claim != nil || o.leader == "" || o.LostTerm(now) != 0 || len(o.answers) < len(o.settings.Servers) {
		return false
	}
	for _, v := range o.answers {
		if v.state.Term != o.term || v.state.Leader != o.leader {
			return false
		}
	}
	return true
}

// WithEvent takes in an event and returns the new value and what is to be done.
func (o Observer) WithEvent(e Event, now clock.Millis) (Observer, []Action) {
	switch e.Kind {
	case Tick:
		o.voters = e.Voters
	case Answered:
		o = o.withAnswer(e, now)
	case Reachable:
		o = o.withReachable(e, now)
	case Voted:
		o = o.withVote(e, now)
	case ClaimRecorded:
		o = o.withClaimRecorded(e, now)
	case Sealed:
		o = o.withSeal(e, now)
	case Promoted:
		o = o.withPromotion(e, now)
	}
	return o.decide(now)
}

func (o Observer) decide(now clock.Millis) (Observer, []Action) {
	o, actions := o.advanceClaim(now)
	o, more := o.redirectFollowers(now)
	actions = append(actions, more...)
	o, more = o.considerClaim(now)
	actions = append(actions, more...)
	if o.unrecordedClaimant != "" {
		actions = append(actions, Action{Kind: RecordPrimary, Term: o.term, Claimant: o.unrecordedClaimant, Leader: o.leader})
		o.unrecordedClaimant = ""
	}
	return o, actions
}

func (o Observer) majority() int { return len(o.settings.Servers)/2 + 1 }
