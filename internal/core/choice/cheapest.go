package choice

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/regions"
)

// Candidate is a backend server to which this VM itself has connections.
type Candidate struct {
	Name    string
	Zone    member.Zone
	Region  string
	Primary bool
	Leaving bool
	// Evacuated is set while the server's availability zone is evacuated.
	Evacuated bool
	// Avoided is set for some time after a failure of the server.
	Avoided bool
	// Applied is the latest position that the server is known to have applied.
	Applied floor.ReplicationPosition
	// AppliedAge is the time since Applied was learned, in milliseconds.
	AppliedAge clock.Millis
	// Latency is the moving average of its response times in milliseconds, and InFlight
	// the number of requests of this VM that it has not answered.
	Latency  float64
	InFlight int
	// Slots is the number of statements that the server runs at once.
	Slots int
}

// Requirements is what a read requires of a server, and where the read comes from.
type Requirements struct {
	Floor  floor.ReplicationPosition
	Zone   member.Zone
	Region string
	// Allowed are the regions of the servers that may be chosen.
	Allowed regions.Allowed
	// Tried holds the names of the servers already chosen for this read.
	Tried map[string]bool
}

// Costs in milliseconds that are added to the expected latency, so that an expensive
// server is chosen only when it saves more than that.
const (
	// costPrimary keeps the primary free for requests that only it can serve.
	costPrimary = 12.0
	// costZone and costRegion account for traffic that leaves the zone or the region.
	costZone   = 6.0
	costRegion = 25.0
	// costMaybeBehind is added for a replica that was behind the floor when its
	// position was learned, and costKnownBehind when that was so recent that it is
	// assumed to be behind still.
	costMaybeBehind = 30.0
	costKnownBehind = 1000.0
	// knownBehindFor is how long a replica is assumed to stay behind, in milliseconds.
	knownBehindFor = clock.Millis(80)
	// costAvoided keeps requests away from a server that failed, as long as another can
	// be chosen.
	costAvoided = 5000.0
)

// CheapestServer returns the name of the server with the lowest sum of expected
// latency and costs for a read, or "" when all are leaving, evacuated, tried or in regions that
// are not allowed. The expected latency grows with this VM's requests in flight per slot, so that
// requests go to the server with the shortest queue known to this VM when the slots are full.
func CheapestServer(servers []Candidate, r Requirements) string {
	best, lowestCost := "", 0.0
	for _, s := range servers {
		if r.exclusion(s) != "" {
			continue
		}
		if c := r.cost(s).Total(); best == "" || c < lowestCost || c == lowestCost && s.Name < best {
			best, lowestCost = s.Name, c
		}
	}
	return best
}

// The reasons why a server may not be chosen for a read.
const (
	exclusionLeaving   = "leaving the group"
	exclusionEvacuated = "its availability zone is evacuated"
	exclusionTried     = "already chosen for this statement"
	exclusionRegion    = "its region is not allowed"
)

// exclusion returns why a server may not be chosen, or "".
func (r Requirements) exclusion(s Candidate) string {
	switch {
	case s.Leaving:
		return exclusionLeaving
	case s.Evacuated:
		return exclusionEvacuated
	case r.Tried[s.Name]:
		return exclusionTried
	case !r.Allowed.Contains(s.Region):
		return exclusionRegion
	}
	return ""
}

// Cost is the cost of a server for a read, by its parts, in milliseconds.
type Cost struct {
	// Latency is the expected latency.
	Latency float64
	// Distance is the cost of another zone or region.
	Distance float64
	// Role is the cost of the primary, or of a replica that may be behind the floor.
	Role float64
	// Failure is the cost of a server that failed.
	Failure float64
}

// Total returns the sum of the parts.
func (c Cost) Total() float64 { return c.Latency + c.Distance + c.Role + c.Failure }

// cost returns the cost of a server.
func (r Requirements) cost(s Candidate) Cost {
	c := Cost{Latency: s.Latency * (1 + float64(s.InFlight)/float64(max(s.Slots, 1)))}
	switch {
	case s.Region != r.Region:
		c.Distance = costRegion
	case s.Zone != r.Zone:
		c.Distance = costZone
	}
	switch {
	case s.Primary:
		c.Role = costPrimary
	case s.Applied.Covers(r.Floor):
	case s.AppliedAge < knownBehindFor:
		c.Role = costKnownBehind
	default:
		c.Role = costMaybeBehind
	}
	if s.Avoided {
		c.Failure = costAvoided
	}
	return c
}

// DecayLatency lets a latency average decay while it gets no samples, so that a server
// that was slow is tried again. It returns the value after idle, the time since the last
// sample; both are in milliseconds.
func DecayLatency(latency float64, idle clock.Millis) float64 {
	return latency * float64(latencyHalfTime) / float64(latencyHalfTime+max(idle, 0))
}

// latencyHalfTime is the time without a sample after which a latency is halved.
const latencyHalfTime = clock.Second
