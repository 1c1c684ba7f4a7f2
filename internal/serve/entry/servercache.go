package entry

import (
	"sync"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/choice"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// avoidDuration is how long a server is not chosen for reads after it could not
// be reached, in milliseconds.
const avoidDuration = 500 * clock.Millis(1)

// serverCache holds the state of the servers as reported with answers and
// refusals. It may be out of date and only guides the choice: the holder and the
// server decide whether a request runs.
type serverCache struct {
	mu sync.Mutex
	// primaries is by database name, servers by server name.
	primaries map[string]knownPrimary
	servers   map[string]choice.Server
}

// knownPrimary is the primary of the highest term reported so far.
type knownPrimary struct {
	term floor.Term
	// name is empty while no holder has named the primary of the term.
	name string
}

func newServerCache() *serverCache {
	return &serverCache{primaries: map[string]knownPrimary{}, servers: map[string]choice.Server{}}
}

// candidates returns the servers of a database with their cached state.
func (d *serverCache) candidates(b document.Database) []choice.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	primary := d.primaries[b.Name].name
	out := make([]choice.Server, 0, len(b.Servers))
	for _, s := range b.Servers {
		c := d.servers[s.Name]
		c.Name, c.Zone, c.Region, c.Slots, c.Leaving = s.Name, s.Zone, s.Region, s.Slots, s.Leaving
		c.Primary = s.Name == primary
		out = append(out, c)
	}
	return out
}

// updateFromRefusal records the state that a holder reported with a refusal. A
// state without a primary replaces the known primary only in a higher term.
func (d *serverCache) updateFromRefusal(database string, s inner.ServerState, now clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known := d.primaries[database]; s.Term > known.term || s.Term == known.term && s.Primary != "" {
		d.primaries[database] = knownPrimary{term: s.Term, name: s.Primary}
	}
	d.updateAppliedLocked(s.Server, s.Applied, now)
}

// updateApplied records the replication position that a server reported with an
// answer.
func (d *serverCache) updateApplied(server string, position floor.ReplicationPosition, now clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateAppliedLocked(server, position, now)
}

// updateAppliedLocked records an applied position unless a later one is known,
// and updates the moving average of the records that the server applies per
// second. The caller must hold d.mu.
func (d *serverCache) updateAppliedLocked(server string, position floor.ReplicationPosition, now clock.Millis) {
	c := d.servers[server]
	if !position.Covers(c.Applied) {
		return
	}
	if c.Applied.Term == position.Term && now > c.AppliedAt {
		sample := float64(position.Position-c.Applied.Position) / float64(now-c.AppliedAt) * float64(clock.Second)
		c.ApplyRate += (sample - c.ApplyRate) / 8
	}
	c.Applied, c.AppliedAt = position, now
	d.servers[server] = c
}

// avoid keeps a server from being chosen for reads for avoidDuration.
func (d *serverCache) avoid(server string, now clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.servers[server]
	c.AvoidUntil = now + avoidDuration
	d.servers[server] = c
}

// addInFlight adds n, which may be negative, to the number of requests that a
// server has not answered.
func (d *serverCache) addInFlight(server string, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.servers[server]
	c.InFlight += n
	d.servers[server] = c
}

// primary returns the primary of a database, and false when none is known.
func (d *serverCache) primary(b document.Database) (document.Server, bool) {
	d.mu.Lock()
	name := d.primaries[b.Name].name
	d.mu.Unlock()
	return findServer(b, name)
}

func findServer(b document.Database, name string) (document.Server, bool) {
	for _, s := range b.Servers {
		if s.Name == name {
			return s, true
		}
	}
	return document.Server{}, false
}
