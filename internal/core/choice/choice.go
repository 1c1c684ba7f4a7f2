// Package choice picks the backend server that runs a request.
package choice

import (
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
	Applied floor.Mark
	Seen    clock.Millis
	// Rate is the number of log records that it applies in a second.
	Rate float64
	// Avoid is the moment until which the server is passed over after a failure.
	Avoid clock.Millis
	// Waiting is the number of requests of this VM that it has not answered.
	Waiting int
	// Slots is the number of statements that it runs at once.
	Slots int
}

// Read is a request for a server that may serve a read.
type Read struct {
	Floor  floor.Mark
	Zone   member.Zone
	Region string
	Now    clock.Millis
	// Wait is how long the request may wait for a replica, in milliseconds.
	Wait clock.Millis
	// Tried names servers that have refused the request.
	Tried map[string]bool
}

// Scores of a candidate; a higher one wins whatever the lower parts say.
const (
	scoreCovers  = 1000.0
	scoreWaits   = 400.0
	scoreRegion  = 100.0
	scoreZone    = 10.0
	scoreReplica = 200.0
)

// ForRead returns the name of the best server for a read, or "" when none is left.
// A replica that covers the floor comes first, then one that will within the
// wait, then the primary.
func ForRead(servers []Server, r Read) string {
	best, bestScore := "", -1.0
	for _, s := range servers {
		if s.Leaving || r.Tried[s.Name] || s.Avoid > r.Now {
			continue
		}
		if score := r.score(s); score > bestScore {
			best, bestScore = s.Name, score
		}
	}
	return best
}

func (r Read) score(s Server) float64 {
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
	return score - 20*float64(s.Waiting)/float64(max(s.Slots, 1))
}

// coverage estimates whether a replica is at the floor by the time it is asked.
func (r Read) coverage(s Server) float64 {
	if s.Applied.Covers(r.Floor) {
		return scoreCovers
	}
	// Positions go on from term to term, so they tell how far behind a replica
	// is that was last asked in an earlier one.
	ahead := float64(r.Floor.Position) - float64(s.Applied.Position)
	reached := s.Rate * float64(r.Now+r.Wait-s.Seen) / float64(clock.Second)
	if reached >= ahead {
		return scoreCovers
	}
	return scoreWaits
}

// ForWrite returns the name of the primary, or, when it is not known, a server
// that has not been tried and may tell.
func ForWrite(servers []Server, tried map[string]bool) string {
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
