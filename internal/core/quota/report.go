package quota

import (
	"maps"
	"math"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// Report is what a VM reports of its use of an account.
type Report struct {
	// Process identifies the VM's process; a restart changes it.
	Process uint64
	// Spent is the number of operations taken since the process started, less those
	// returned.
	Spent uint64
	// Demand is the rate in operations per second that callers asked for.
	Demand float64
	// Tokens is the VM's estimate of the tokens in the shared bucket, divided by its reach.
	Tokens float64
	// Weight is the fraction of the known VMs that the report covers, and Joined the time
	// since which messages of its source have come without interruption. The receiver sets
	// both.
	Weight float64
	Joined clock.Millis
	// Aggregate marks a report for several VMs together. Process is that of the VM that
	// adds them up, and Spent is its count; both change when another VM takes over.
	Aggregate bool
}

// RecentlySpent estimates the operations of the last few seconds from the demand.
func (r Report) RecentlySpent() uint64 {
	return min(uint64(math.Ceil(r.Demand*float64(demandTimeConstant)/float64(clock.Second))), r.Spent)
}

// Contact holds the times of the messages of another VM, or of several that report together.
type Contact struct {
	// Joined is the time since which messages have come without interruption, and Last the
	// time of the last one.
	Joined, Last clock.Millis
	// Far is set for VMs of another region, between which messages are less frequent.
	Far bool
}

// InReach reports whether the VMs are in reach at time now.
func (c Contact) InReach(now clock.Millis) bool {
	if c.Far {
		return now-c.Last <= farTimeout
	}
	return now-c.Last <= nearTimeout
}

// WithMessage records a message at time now.
func (c Contact) WithMessage(far bool, now clock.Millis) Contact {
	if !c.InReach(now) {
		c.Joined = now
	}
	c.Last, c.Far = now, far
	return c
}

// WithContacts records that the last message of any other VM came at latest. The function
// contactFunc returns the contact with one peer. A peer whose messages have left the account
// out since its last report has no demand. One that is out of reach, or was since its last
// report, is removed, so that its next report adds its tokens.
func (b Bucket) WithContacts(latest clock.Millis, contactFunc func(name string) Contact, now clock.Millis) Bucket {
	b = b.advance(now)
	b.lastContact = max(b.lastContact, latest)
	changed := map[string]peer{}
	for name, u := range b.peers {
		c := contactFunc(name)
		if !c.InReach(now) || u.received < c.Joined || c.Last-u.received > OverdueAfter {
			changed[name] = u
		}
	}
	if len(changed) == 0 {
		return b
	}
	b.peers = maps.Clone(b.peers)
	for name, u := range changed {
		c := contactFunc(name)
		if !c.InReach(now) || u.received < c.Joined {
			b.history = b.history.without(u.spending, now)
			delete(b.peers, name)
			continue
		}
		u.received, u.report.Demand = c.Last, 0
		b.peers[name] = u
	}
	return b
}

// charge subtracts operations of other VMs.
func (b Bucket) charge(operations float64, now clock.Millis) Bucket {
	b.tokens -= operations
	b.recent = b.recent.with(operations, now)
	b.history = b.history.taken(operations)
	return b
}

// WithReport records the report of another VM and corrects the estimate of what it
// spent since its last one. If the report brings VMs into reach, their fraction of the tokens
// is added.
func (b Bucket) WithReport(vm string, r Report, now clock.Millis) Bucket {
	b = b.advance(now)
	u, known := b.peers[vm]
	if u.received < r.Joined {
		u, known = peer{}, false
	}
	spent := 0.0
	switch {
	case known && u.report.Process == r.Process:
		// Spent may have decreased, by operations that were returned.
		spent = float64(int64(r.Spent - u.report.Spent))
	case known && r.Aggregate:
		// Another VM adds the counts up now, so this one cannot be compared with the last.
		spent = u.report.Demand * b.spendingFactor(now) * float64(now-u.received) / float64(clock.Second)
	case known:
		spent = float64(r.Spent)
	case now-max(r.Joined, b.createdAt) > JoinTime:
		// A peer that left the account out until now has run what its demand shows.
		spent = float64(r.RecentlySpent())
	}
	b = b.charge(spent, now)
	if joined := r.Weight - u.report.Weight; joined > 0 {
		b.tokens += joined * (r.Tokens - max(b.tokens, 0)/b.reach)
	}
	b.tokens = min(b.tokens, b.reachBurst())
	b.lastContact = now
	b.peers = maps.Clone(b.peers)
	b.peers[vm] = peer{report: r, received: now, spending: u.spending.with(spent, now)}
	return b
}
