// Package choice selects the backend server that runs a request.
package choice

import (
	"github.com/cespare/xxhash/v2"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// Server is what is known of a backend server when one is selected.
type Server struct {
	Name    string
	Zone    member.Zone
	Region  string
	Primary bool
	Leaving bool
	// Applied is the latest position that the server is known to have applied, as of
	// the time AppliedAt.
	Applied   floor.ReplicationPosition
	AppliedAt clock.Millis
	// ApplyRate is the number of log records that the server applies per second.
	ApplyRate float64
	// AvoidUntil is the time until which the server is not selected, after a failure.
	AvoidUntil clock.Millis
	// InFlight is the number of requests of this VM that the server has not answered.
	InFlight int
	// Slots is the number of statements that the server runs at once.
	Slots int
}

// ReadRequest is what ForRead needs to know of a read.
type ReadRequest struct {
	Floor  floor.ReplicationPosition
	Zone   member.Zone
	Region string
	Now    clock.Millis
	// MaxWait is how long the request may wait for a replica, in milliseconds.
	MaxWait clock.Millis
	// Tried holds the names of the servers that have refused the request.
	Tried map[string]bool
	// Salt must differ between requests and between VMs, so that among equal servers
	// not all requests go to the same one.
	Salt uint64
}

// Parts of a server's score. They are far enough apart that a smaller part decides
// only between servers that are equal in the larger ones, with two exceptions:
//   - A difference in load outweighs scoreZone above 0.5 requests in flight per slot,
//     scoreRegion above 5 and scoreReplica above 10.
//   - scoreRegion outweighs the difference between scoreCovers and scoreProbe.
const (
	scoreCovers  = 1000.0
	scoreProbe   = 950.0
	scoreBehind  = 400.0
	scoreReplica = 200.0
	scoreRegion  = 100.0
	scoreZone    = 10.0
	// scoreLoad, times this VM's requests in flight per slot of the server, is
	// subtracted.
	scoreLoad = 20.0
)

// probeAfter is the age in milliseconds from which the known position of a replica is
// too old to rule the replica out.
const probeAfter = 300 * clock.Millis(1)

// ForRead returns the name of the best server for a read, or "" when none is left.
// A replica that covers the floor, or will within MaxWait, comes first; then one whose
// known position is so old that one request is spent as a probe; then the primary; then
// a replica that will not reach the floor in time; and last one whose known position is
// of an earlier term. Within each of these groups the nearest server is taken, and among
// equally near ones the one with the fewest requests in flight from this VM per slot. A
// hash breaks ties. There are two exceptions: a high load outweighs the other criteria,
// and a replica to probe in the region of the read goes before one that covers the floor
// in another region.
func ForRead(servers []Server, r ReadRequest) string {
	best, bestScore := "", -1.0
	for _, s := range servers {
		if s.Leaving || r.Tried[s.Name] || s.AvoidUntil > r.Now {
			continue
		}
		score := r.score(s)
		if score > bestScore || score == bestScore && r.rank(s.Name) > r.rank(best) {
			best, bestScore = s.Name, score
		}
	}
	return best
}

// rank returns the hash that decides between servers of equal score.
func (r ReadRequest) rank(server string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(r.Salt)
	_, _ = d.WriteString(server)
	return d.Sum64()
}

// score returns how well a server suits the read; higher is better, and the lowest
// score is 0. The primary covers every floor.
func (r ReadRequest) score(s Server) float64 {
	score := scoreCovers
	if !s.Primary {
		score = r.coverage(s) + scoreReplica
	}
	if s.Region == r.Region {
		score += scoreRegion
	}
	if s.Zone == r.Zone {
		score += scoreZone
	}
	return max(score-scoreLoad*float64(s.InFlight)/float64(max(s.Slots, 1)), 0)
}

// coverage scores whether a replica will have reached the floor in time. A replica is
// probed only while no request of this VM is in flight to it, and an answer or a refusal
// renews its known position. So a replica that stays behind gets one probe at a time,
// and the next no earlier than probeAfter after the answer.
func (r ReadRequest) coverage(s Server) float64 {
	if s.Applied.Covers(r.Floor) {
		return scoreCovers
	}
	probe := r.Now-s.AppliedAt >= probeAfter && s.InFlight == 0
	if s.Applied.Term != r.Floor.Term {
		// How far the replica is behind is known only within one term.
		if probe {
			return scoreProbe
		}
		return 0
	}
	missing := float64(r.Floor.Position - s.Applied.Position)
	applied := s.ApplyRate * float64(r.Now+r.MaxWait-s.AppliedAt) / float64(clock.Second)
	if applied >= missing {
		return scoreCovers
	}
	if probe {
		return scoreProbe
	}
	return scoreBehind
}

// ForWrite returns the name of the primary or, when it is unknown, tried or leaving, of
// an untried server whose answer may name the primary. It returns "" when none is left.
// A leaving server gets no writes.
func ForWrite(servers []Server, tried map[string]bool) string {
	eligible := make([]Server, 0, len(servers))
	for _, s := range servers {
		if !s.Leaving {
			eligible = append(eligible, s)
		}
	}
	return ForFloor(eligible, tried)
}

// ForFloor returns the name of the server whose holder knows the floors of sessions:
// the primary, even when it is leaving. When the primary is unknown or tried, it returns
// the name of an untried server whose answer may name the primary, or "" when none is
// left.
func ForFloor(servers []Server, tried map[string]bool) string {
	fallback := ""
	for _, s := range servers {
		if tried[s.Name] {
			continue
		}
		if s.Primary {
			return s.Name
		}
		if fallback == "" {
			fallback = s.Name
		}
	}
	return fallback
}
