// Package primary decides changes of a database group's primary. An Observer is an
// immutable value: each event and its time give a new value and the actions to run.
// Its safety rests on two rules: a term is sealed for one claim only, and the
// majority that a claim seals overlaps the majority that has every acknowledged
// write. Safety does not depend on clocks; time only decides when to begin a claim.
package primary

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// Role is the role that a backend server reports.
type Role string

// The roles.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	// RoleSealed is a server that accepts no writes until it is told which primary to
	// follow, or is promoted.
	RoleSealed Role = "sealed"
)

// State is a backend server's answer to a probe.
type State struct {
	Term floor.Term
	Role Role
	// Leader is the primary of Term as the server knows it, which may be itself, or "".
	Leader string
	// LastPosition is the end of the server's log.
	LastPosition floor.ReplicationPosition
	// ContactAge is the time since the server was last in touch with its primary, in
	// milliseconds.
	ContactAge clock.Millis
}

// Voter is a VM that observes the group.
type Voter struct {
	VM   string
	Zone member.Zone
}

// Settings identifies an observer and its group. The caller must not change Servers or
// Leaving later.
type Settings struct {
	Database string
	Servers  []string
	// Leaving names servers that are to be replaced. A primary among them is treated
	// as lost while another server can take over.
	Leaving []string
	Self    Voter
	// Nonce differs for each start of the process, so that a restarted observer never
	// continues the claim of its predecessor.
	Nonce string
}

// EventKind is the type of an event.
type EventKind int

// The kinds of event.
const (
	// Tick means that time has passed; Voters lists the observers of the group.
	Tick EventKind = iota
	// Answered carries the State that Server reported.
	Answered
	// Reachable means that Server answered without reporting its state, for example
	// because its connections were exhausted.
	Reachable
	// Voted means that Voter has lost the primary of Term; Term 0 withdraws its vote.
	Voted
	// ClaimRecorded ends the wait for the platform's table. Refused is set when another
	// claimant has the claim's term or a later one; Term is then that of the table.
	ClaimRecorded
	// Sealed is the answer of Server to a seal: the end of its log, or Refused. Term is
	// then that of the server, or the claim's if the server's is unknown.
	Sealed
	// Promoted is the answer of Server to a promotion, which may be Refused.
	Promoted
)

// Event is an input of an observer. Which fields are set depends on Kind.
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

// The kinds of action.
const (
	// RequestVotes asks the other observers for their votes.
	RequestVotes ActionKind = iota
	// RecordClaim writes the claim to the platform's table. The claim goes on if this
	// takes long.
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

// Action is an operation for the caller to run. Every action is idempotent.
type Action struct {
	Kind     ActionKind
	Server   string
	Term     floor.Term
	Claimant string
	Leader   string
	// HighestPosition is the highest position of the sealed servers, and
	// TargetPosition that of the server to promote; both are for Promote.
	HighestPosition floor.ReplicationPosition
	TargetPosition  floor.ReplicationPosition
}

// answer is the last state that a server reported, and when it last answered.
type answer struct {
	state State
	at    clock.Millis
}

// vote is the last vote of another observer; term is 0 if it has not lost the primary.
type vote struct {
	voter Voter
	term  floor.Term
	at    clock.Millis
}

// Observer observes one database group on behalf of one VM.
type Observer struct {
	settings Settings
	voters   []Voter
	answers  map[string]answer
	votes    map[string]vote
	// term is the highest term known, and leader its primary if known.
	term   floor.Term
	leader string
	// learnedAt is when term or leader last changed.
	learnedAt clock.Millis
	// formerLeader is the last known primary before term.
	formerLeader string
	// changeTimes holds when the primary changed recently.
	changeTimes []clock.Millis
	// claimWantedSince is when the reason for a claim arose; it counts while
	// claimWanted is set.
	claimWantedSince clock.Millis
	claimWanted      bool
	votesRequestedAt clock.Millis
	// followSentAt holds, by server, when Follow was last sent.
	followSentAt map[string]clock.Millis
	// failedClaims counts the abandoned claims since a primary was last learned, and
	// claimCount all claims.
	failedClaims int
	claimCount   int
	claim        *claim
	// unrecordedClaimant is the claimant whose result is not in the table yet.
	unrecordedClaimant string
}

// New returns an observer that knows nothing yet.
func New(s Settings) Observer {
	return Observer{settings: s, answers: map[string]answer{}, votes: map[string]vote{}, followSentAt: map[string]clock.Millis{}}
}

// Leader returns the highest term known and its primary, or "" while the primary is
// not known.
func (o Observer) Leader() (floor.Term, string) { return o.term, o.leader }

// Claiming reports whether a claim of this observer is in progress.
func (o Observer) Claiming() bool { return o.claim != nil }

// LeaderAnsweredAt returns the time of the primary's last answer, or 0 without one.
func (o Observer) LeaderAnsweredAt() clock.Millis { return o.answers[o.leader].at }

// IsStable reports whether the primary is known and not lost, no claim is in progress,
// and every server last reported this primary. Servers may then be probed less often.
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

// WithEvent applies an event and returns the new value and the actions to run.
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

// decide returns the actions that are due now.
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
