package database

import (
	"cmp"
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/choice"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/regions"
)

// Choice is the server on which a statement would run, and the candidates.
type Choice struct {
	// Server is the chosen server. If there is none, Err is the error of the statement:
	// ErrNoPrimary and ErrServerEvacuated after a wait, any other one at once.
	Server Server
	Err    error
	// Candidates are all listed servers by ID.
	Candidates []Candidate
}

// Candidate is a listed server.
type Candidate struct {
	Server  Server
	Primary bool
	Chosen  bool
	// Reason is why the server is chosen or not.
	Reason string
	// Latency is the decayed average of the response times in milliseconds. InFlight counts this
	// VM's requests that run at the server or wait for it.
	Latency  float64
	InFlight int
	Avoided  bool
	// Applied is the last known position, which was learned AppliedAge milliseconds ago.
	Applied    floor.ReplicationPosition
	AppliedAge clock.Millis
	// Cost is nil if costs do not decide about the server.
	Cost *choice.Cost
}

// The reasons that are not those of errors or of package choice.
const (
	reasonCheapest     = "the lowest cost"
	reasonDearer       = "a higher cost"
	reasonPrimary      = "the primary"
	reasonNotPrimary   = "only the primary may run the statement"
	reasonNoLease      = "no valid proof that it is still the primary"
	reasonDrained      = "leaving for longer than the drain time"
	reasonDoubted      = "a VM that holds its connections does not take it for the primary"
	reasonOtherRegions = "its region is not allowed"
)

// ExplainReader returns the server that AcquireReader would choose, by the same decision. It
// changes nothing, not even r.Tried.
func (g *Group) ExplainReader(r ReadRequest) Choice {
	g.mu.Lock()
	now := g.options.Clock.Now()
	readers := g.readersLocked(now)
	out := Choice{Candidates: g.candidatesLocked(now)}
	g.mu.Unlock()
	verdicts := choice.ExplainCheapest(readers, g.requirements(r))
	for i := range out.Candidates {
		c := &out.Candidates[i]
		j := slices.IndexFunc(readers, func(s choice.Candidate) bool { return s.Name == c.Server.ID })
		if j < 0 {
			c.Reason = reasonNoLease
			continue
		}
		// The candidates and the readers have read the load at different times; this is the one of
		// the cost.
		c.Latency, c.InFlight, c.Avoided = readers[j].Latency, readers[j].InFlight, readers[j].Avoided
		v := verdicts[j]
		c.Cost, c.Chosen, c.Reason = &v.Cost, v.Chosen, cmp.Or(v.Exclusion, reasonDearer)
		if v.Chosen {
			c.Reason, out.Server = reasonCheapest, c.Server
		}
	}
	if out.Server.ID == "" {
		out.Err = g.noReaderError(r.Requester.Regions)
	}
	return out
}

// ExplainPrimary returns the primary, if AcquirePrimary would use it now. needsLease is set if this
// VM itself holds the connection. It changes nothing.
func (g *Group) ExplainPrimary(allowed regions.Allowed, needsLease bool) Choice {
	err := g.checkPrimaryRegion(allowed)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Now()
	p, usable := g.usablePrimaryLocked(now, needsLease)
	out := Choice{Candidates: g.candidatesLocked(now)}
	switch {
	case err != nil:
		out.Err = err
	case !usable:
		out.Err = g.primaryRefusalLocked(now)
	case !allowed.Contains(p.entry().Region):
		out.Err = ErrPrimaryNotAllowed
	default:
		out.Server = p.entry()
	}
	for i := range out.Candidates {
		c := &out.Candidates[i]
		c.Chosen = out.Server.ID != "" && out.Server.ID == c.Server.ID
		c.Reason = reasonNotPrimary
		if c.Primary {
			c.Reason = g.primaryReasonLocked(c.Server, out, allowed, needsLease, now)
		}
	}
	return out
}

// primaryReasonLocked returns why the known primary is chosen or not. The caller holds g.mu.
func (g *Group) primaryReasonLocked(s Server, chosen Choice, allowed regions.Allowed, needsLease bool, now clock.Millis) string {
	switch {
	case chosen.Err == nil:
		return reasonPrimary
	case !allowed.Contains(s.Region):
		return reasonOtherRegions
	case g.pastDrainLocked(s.ID, now):
		return reasonDrained
	case g.pools[s.ID].isBarred(now):
		return ErrServerEvacuated.Error()
	case needsLease && !g.watch.LeaseValid(now):
		return reasonNoLease
	}
	return reasonDoubted
}

// candidatesLocked returns all listed servers by ID, without the verdict on them. The caller holds
// g.mu.
func (g *Group) candidatesLocked(now clock.Millis) []Candidate {
	_, leader := g.watch.Leader()
	out := make([]Candidate, 0, len(g.pools))
	for id, p := range g.pools {
		c := Candidate{Server: p.entry(), Primary: id == leader, Applied: g.positions[id], AppliedAge: now - g.positionSeenAt[id]}
		c.InFlight, c.Latency, c.Avoided = p.load(now)
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Candidate) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
	return out
}

// QueueState is the state of this VM's queue for one server.
type QueueState struct {
	// Length is the number of waiting requests, and ExpectedWait the time in milliseconds that a
	// new one is expected to wait.
	Length       int
	ExpectedWait float64
	// Running counts the statements that run on this VM's connections; new ones wait while there
	// are Window of them.
	Running int
	Window  int
	// Open and MaxOpen count connections; without any allowed the server cannot be used here.
	Open    int
	MaxOpen int
	// Err is why a new request is refused at once, or nil.
	Err error
}

// ExplainQueue returns the state of this VM's queue for a server as a new request finds it, and
// false if the server is not listed. wait is how long the request may wait, in milliseconds.
// It changes nothing.
func (g *Group) ExplainQueue(server string, r Requester, wait clock.Millis) (QueueState, bool) {
	g.mu.Lock()
	p := g.pools[server]
	g.mu.Unlock()
	if p == nil {
		return QueueState{}, false
	}
	maxOpen, barred := p.maxConns(), p.isBarredNow()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := QueueState{Length: p.queue.Len(), Running: p.running, Window: p.window.Size(), Open: p.open, MaxOpen: maxOpen}
	if out.Length > 0 || p.running+p.granted >= out.Window {
		out.ExpectedWait = p.expectedWait(r)
	}
	slowErr := p.slowRefusal(wait)
	switch {
	case maxOpen == 0:
		out.Err = ErrUnreachable
	case barred:
		out.Err = ErrServerEvacuated
	case slowErr != nil:
		out.Err = slowErr
	case p.waitsTooLong(r, wait), p.queue.IsFull(r.Account) && p.queue.LeastUrgent(r.Account, r.Priority) == nil:
		out.Err = ErrPoolTimeout
	}
	return out, true
}
