package choice

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// Candidate is a backend server that a VM has connections to itself.
type Candidate struct {
	Name    string
	Zone    member.Zone
	Region  string
	Primary bool
	Leaving bool
	// Avoided is set after a failure.
	Avoided bool
	// Applied is the latest state that it was seen at.
	Applied floor.ReplicationPosition
	// AppliedAge is how long ago that was, in milliseconds.
	AppliedAge clock.Millis
	// Latency is a moving mean of its answers in milliseconds, and Waiting the
	// requests of this VM that it has not answered.
	Latency  float64
	InFlight int
	Slots    int
}

// Requirements is what a read asks of a server.
type Requirements struct {
	Floor  floor.ReplicationPosition
	Zone   member.Zone
	Region string
	Tried  map[string]bool
}

// Costs in milliseconds that are added to the expected time of an answer, so
// that dear ways are taken only when they save more than that.
const (
	// costPrimary keeps the primary free for what only it can serve.
	costPrimary = 12.0
	// costZone and costRegion stand for bytes that leave the zone or the region.
	costZone   = 6.0
	costRegion = 25.0
	// costMaybeBehind is added for a replica that was behind the floor when it was last
	// seen, costRefuses for one that was seen so lately that it still is.
	costMaybeBehind = 30.0
	costKnownBehind = 1000.0
	// knownBehindFor is how long a replica is taken to stay behind, in milliseconds.
	knownBehindFor = clock.Millis(80)
	// costAvoided keeps work away from a server that failed, while another is left.
	costAvoided = 5000.0
)

// CheapestServer returns the name of the server that should answer a read soonest at
// the least cost, or "" when none is left. It answers loads in which slots are
// few: work goes to the server with the shortest queue, as this VM knows it.
func CheapestServer(servers []Candidate, n Requirements) string {
	best, least := "", 0.0
	for _, s := range servers {
		if s.Leaving || n.Tried[s.Name] {
			continue
		}
		if c := n.cost(s); best == "" || c < least || c == least && s.Name < best {
			best, least = s.Name, c
		}
	}
	return best
}

func (n Requirements) cost(s Candidate) float64 {
	c := s.Latency * (1 + float64(s.InFlight)/float64(max(s.Slots, 1)))
	switch {
	case s.Region != n.Region:
		c += costRegion
	case s.Zone != n.Zone:
		c += costZone
	}
	switch {
	case s.Primary:
		c += costPrimary
	case s.Applied.Covers(n.Floor):
	case s.AppliedAge < knownBehindFor:
		c += costKnownBehind
	default:
		c += costMaybeBehind
	}
	if s.Avoided {
		c += costAvoided
	}
	return c
}

// DecayLatency returns a moving mean of latencies after a time without any, so that a
// server that was slow is tried again. The lengths are in milliseconds.
func DecayLatency(latency float64, idle clock.Millis) float64 {
	return latency * float64(latencyHalfTime) / float64(latencyHalfTime+max(idle, 0))
}

// latencyHalfTime is the time in which a latency without news counts half.
const latencyHalfTime = clock.Second
