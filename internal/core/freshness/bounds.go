package freshness

import "github.com/sycamoredoor/sycamoredoor/internal/base/clock"

const (
	// MaxPollWait and minPollWait bound the wait of a poll of the store, in milliseconds.
	MaxPollWait = clock.Millis(2500)
	minPollWait = clock.Millis(300)
	// readMargin is the part of a deadline that is left for a VM's turn and its read of the
	// store, in milliseconds.
	readMargin = turnSpread + 900*clock.Millis(1)
	// gossipMargin is how much older a copy becomes on its way from a VM that polls the store
	// to those that rely on it, in milliseconds.
	gossipMargin = clock.Millis(800)
	// takeoverTime is how long a follower goes on polling the store after its copy was too old,
	// in milliseconds.
	takeoverTime = 10 * clock.Second
	// defaultDeadline applies while no deadline is set, in milliseconds.
	defaultDeadline = 3 * clock.Second
)

// Bounds are the times that keep copies within a deadline, in milliseconds. A follower reads the
// store itself once its copy is older than MaxAge, and goes on for Takeover. PollWait is the wait of
// a poll of the store by a VM on which followers rely.
type Bounds struct {
	Deadline clock.Millis
	MaxAge   clock.Millis
	Takeover clock.Millis
	PollWait clock.Millis
}

// NewBounds returns the bounds for a deadline in milliseconds, within which every VM that reaches
// the store must have a later version. 0 stands for defaultDeadline.
func NewBounds(deadline clock.Millis) Bounds {
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	maxAge := max(deadline-readMargin, gossipMargin+minPollWait)
	return Bounds{Deadline: deadline, MaxAge: maxAge, Takeover: takeoverTime, PollWait: min(MaxPollWait, maxAge-gossipMargin)}
}

// NextPoll returns the wait of the next poll of the store in milliseconds, after a call that
// confirmed the copy as of confirmedAt. A poll with a change confirms it only as of its beginning.
func (b Bounds) NextPoll(confirmedAt, now clock.Millis) clock.Millis {
	return min(b.PollWait, max(minPollWait, confirmedAt+b.PollWait-now))
}
