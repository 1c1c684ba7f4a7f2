package entry

import (
	"sync"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/choice"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// avoidTime is how long a server is passed over after it could not be reached.
const avoidTime = 500 * clock.Millis(1)

// directory remembers what answers and refusals have told about the servers.
// It is only a hint: the holder and the server decide.
type directory struct {
	mu        sync.Mutex
	databases map[string]leader
	servers   map[string]choice.Server
}

// leader is the primary of the highest term heard of.
type leader struct {
	term floor.Term
	name string
}

func newDirectory() *directory {
	return &directory{databases: map[string]leader{}, servers: map[string]choice.Server{}}
}

// candidates returns the servers of a database as they are known now.
func (d *directory) candidates(b document.Database) []choice.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	primary := d.databases[b.Name].name
	out := make([]choice.Server, 0, len(b.Servers))
	for _, s := range b.Servers {
		c := d.servers[s.Name]
		c.Name, c.Zone, c.Region, c.Slots, c.Leaving = s.Name, s.Zone, s.Region, s.Slots, s.Leaving
		c.Primary = s.Name == primary
		out = append(out, c)
	}
	return out
}

// learn takes in the state that a holder told.
func (d *directory) learn(database string, s inner.State, now clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.databases[database]; s.Term > l.term || s.Term == l.term && s.Primary != "" {
		d.databases[database] = leader{term: s.Term, name: s.Primary}
	}
	d.seeLocked(s.Server, s.Applied, now)
}

// see takes in the state that a server had at an answer.
func (d *directory) see(server string, m floor.ReplicationPosition, now clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeLocked(server, m, now)
}

func (d *directory) seeLocked(server string, m floor.ReplicationPosition, now clock.Millis) {
	c := d.servers[server]
	if !m.Covers(c.Applied) {
		return
	}
	if c.Applied.Term == m.Term && now > c.AppliedAt {
		sample := float64(m.Position-c.Applied.Position) / float64(now-c.AppliedAt) * float64(clock.Second)
		c.ApplyRate += (sample - c.ApplyRate) / 8
	}
	c.Applied, c.AppliedAt = m, now
	d.servers[server] = c
}

// avoid passes a server over for a while.
func (d *directory) avoid(server string, now clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.servers[server]
	c.AvoidUntil = now + avoidTime
	d.servers[server] = c
}

// wait counts the requests that a server has not answered.
func (d *directory) wait(server string, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.servers[server]
	c.InFlight += n
	d.servers[server] = c
}

// primary returns the primary of a database, if one is known.
func (d *directory) primary(b document.Database) (document.Server, bool) {
	d.mu.Lock()
	name := d.databases[b.Name].name
	d.mu.Unlock()
	return serverOf(b, name)
}

func serverOf(b document.Database, name string) (document.Server, bool) {
	for _, s := range b.Servers {
		if s.Name == name {
			return s, true
		}
	}
	return document.Server{}, false
}
