// Package choice picks the backend server that runs a request.
package choice

import (
	"github.com/cespare/xxhash/v2"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// Server is what is known of a backend server at the moment of the choice.
type Server struct {
	Name    string
	Zone    member.Zone
	Region  string
	Primary bool
	Leaving bool
	// Applied is the state that the server was last seen at, at the moment Seen.
	Applied   floor.ReplicationPosition
	AppliedAt clock.Millis
	// ApplyRate is the number of log records that it applies in a second.
	ApplyRate float64
	// AvoidUntil is the moment until which the server is passed over after a failure.
	AvoidUntil clock.Millis
	// InFlight is the number of requests of this VM that it has not answered.
	InFlight int
	// Slots is the number of statements that it runs at once.
	Slots int
}

// ReadRequest is a request for a server that may serve a read.
type ReadRequest struct {
	Floor  floor.ReplicationPosition
	Zone   member.Zone
	Region string
	Now    clock.Millis
	// MaxWait is how long the request may wait for a replica, in milliseconds.
	MaxWait clock.Millis
	// Tried names servers that have refused the request.
	Tried map[string]bool
	// Salt differs from request to request and from VM to VM, so that those who
	// see equal servers do not all take the same one.
	Salt uint64
}

// Scores of a candidate; the parts are far enough apart that a lower one decides
// only between equals, except that load outweighs nearness in the end.
const (
	scoreCovers  = 1000.0
	scoreProbe   = 950.0
	scoreBehind  = 400.0
	scoreReplica = 200.0
	scoreRegion  = 100.0
	scoreZone    = 10.0
	// scoreLoad is taken off for each full set of slots that this VM waits for.
	scoreLoad = 20.0
)

// probeAfter is the age from which what is known of a replica is too old to rule it
// out, in milliseconds.
const probeAfter = 300 * clock.Millis(1)

// ForRead returns the name of the best server for a read, or "" when none is left.
// A replica that covers the floor comes first, or that will within the wait, then
// one whose state was not seen for so long that one request is spent on asking,
// then the primary; among these the nearest, and among equals the one that
// this VM waits for least. Ties fall by hash.
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

func (r ReadRequest) rank(server string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(r.Salt)
	_, _ = d.WriteString(server)
	return d.Sum64()
}

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

// coverage estimates whether a replica is at the floor by the time it is asked.
// An answer or a refusal renews the state, so a replica that stays behind gets
// one such request at a time, and none for askAgain after it.
func (r ReadRequest) coverage(s Server) float64 {
	if s.Applied.Covers(r.Floor) {
		return scoreCovers
	}
	probe := r.Now-s.AppliedAt >= probeAfter && s.InFlight == 0
	if s.Applied.Term != r.Floor.Term {
		if probe {
			return scoreProbe
		}
		return 0
	}
	ahead := float64(r.Floor.Position - s.Applied.Position)
	reached := s.ApplyRate * float64(r.Now+r.MaxWait-s.AppliedAt) / float64(clock.Second)
	if reached >= ahead {
		return scoreCovers
	}
	if probe {
		return scoreProbe
	}
	return scoreBehind
}

// ForWrite returns the name of the primary, or, when it is not known, a server
// that has not been tried and may tell. A leaving server gets no work.
func ForWrite(servers []Server, tried map[string]bool) string {
	kept := make([]Server, 0, len(servers))
	for _, s := range servers {
		if !s.Leaving {
			kept = append(kept, s)
		}
	}
	return ForFloor(kept, tried)
}

// ForFloor returns the name of the server whose holder knows the floors of
// sessions: the primary, even when it is leaving, or one that may tell.
func ForFloor(servers []Server, tried map[string]bool) string {
	other := ""
	for _, s := range servers {
		if tried[s.Name] {
			continue
		}
		if s.Primary {
			return s.Name
		}
		if other == "" {
			other = s.Name
		}
	}
	return other
}
