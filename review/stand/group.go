package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/sycamoredoor/sycamoredoor/platform/standin"
)

const (
	heartbeat     = 1200 * time.Millisecond
	promoteTime   = 300 * time.Millisecond
	networkDelay  = time.Millisecond
	replicateTick = 2 * time.Millisecond
	demoteAfter   = time.Second
	slots         = 3
	queueLimit    = 24
)

// entry is one commit in a log.
type entry struct {
	term uint64
	id   string
	// item and data are those of the last write of the commit.
	item, data string
	at         time.Time
}

// ack is a commit whose acknowledgement was sent to a VM.
type ack struct {
	id string
	at time.Time
}

// group is a database service: a primary and its replicas.
type group struct {
	name  string
	store *standin.Store
	rec   *record

	mu       sync.Mutex
	servers  []*server
	term     uint64
	topToken uint64
	acked    []ack
	// ran holds the time of the first run of each request.
	ran map[string]time.Time
	// broken holds what broke a rule.
	broken []string
}

func newGroup(name string, store *standin.Store, rec *record, zones ...string) *group {
	g := &group{name: name, store: store, rec: rec, term: 1, ran: map[string]time.Time{}}
	for i, zone := range zones {
		s := g.addServer(fmt.Sprintf("%s-%d", name, i), zone)
		s.primary = i == 0
	}
	go g.tick()
	return g
}

// addServer starts a replica with an empty log, which catches up from the primary.
func (g *group) addServer(id, zone string) *server {
	s := newServer(g, id, zone)
	g.mu.Lock()
	g.servers = append(g.servers, s)
	g.mu.Unlock()
	go s.heartbeats()
	return s
}

func (g *group) breakRule(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	g.broken = append(g.broken, text)
	g.rec.printf("BROKEN %s", text)
}

// tick replicates, and demotes a former primary a second after it can reach the new one.
func (g *group) tick() {
	for {
		time.Sleep(replicateTick)
		g.mu.Lock()
		for _, p := range g.servers {
			if p.primary && !p.down {
				g.replicate(p)
			}
			if p.primary && p.term < g.term && !p.replacedAt.IsZero() && time.Since(p.replacedAt) > demoteAfter {
				p.primary = false
			}
		}
		g.mu.Unlock()
	}
}

// replicate copies the log of a primary to each replica that receives. The caller holds mu.
func (g *group) replicate(p *server) {
	for _, r := range g.servers {
		if r == p || r.primary || r.down || r.gone || r.held > p.term || r.term > p.term || p.unreached[r] || r.unreached[p] {
			continue
		}
		if r.term < p.term {
			r.log = r.log[:commonLength(r.log, p.log)]
		}
		r.term = p.term
		if len(r.log) < len(p.log) {
			r.log = append(r.log[:len(r.log):len(r.log)], p.log[len(r.log):]...)
			r.receivedAt = time.Now()
		}
	}
}

// commit appends to the log of a primary, waits until a replica has received it, and
// reports whether it may be acknowledged.
func (g *group) commit(s *server, id, item, data string) bool {
	g.mu.Lock()
	if !s.primary || s.down {
		g.mu.Unlock()
		return false
	}
	term := s.term
	s.log = append(s.log[:len(s.log):len(s.log)], entry{term: term, id: id, item: item, data: data, at: time.Now()})
	n := len(s.log)
	g.mu.Unlock()
	for {
		time.Sleep(networkDelay)
		g.mu.Lock()
		if s.down || !s.primary || s.term != term {
			g.mu.Unlock()
			return false
		}
		for _, r := range g.servers {
			if r != s && !r.primary && !r.down && !r.gone && r.term == term && len(r.log) >= n {
				g.acked = append(g.acked, ack{id: id, at: time.Now()})
				g.rec.printf("commit %s at %s (%d.%d) received by %s, acknowledged", id, s.id, term, n, r.id)
				g.mu.Unlock()
				return true
			}
		}
		g.mu.Unlock()
	}
}

// promote is what the platform does on POST /promotion. It returns the status.
func (g *group) promote(id, holder string, token uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	var target *server
	for _, s := range g.servers {
		if s.id == id {
			target = s
		}
	}
	g.rec.printf("promotion of %s ordered by %s, token %d", id, holder, token)
	if target == nil || target.down || target.gone {
		return 409
	}
	if token < g.topToken {
		g.breakRule("ONE: %s sent the fencing token %d after %d", holder, token, g.topToken)
	}
	g.topToken = max(g.topToken, token)
	if target.primary && target.term == g.term || target.promoting {
		return 200
	}
	target.promoting = true
	go func() {
		time.Sleep(promoteTime)
		g.takeEffect(target)
	}()
	return 200
}

// takeEffect makes a server lead the next term with what it has received.
func (g *group) takeEffect(target *server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	target.promoting = false
	if target.down {
		return
	}
	has := map[string]bool{}
	for _, e := range target.log {
		has[e.id] = true
	}
	lost := 0
	for _, a := range g.acked {
		if !has[a.id] {
			lost++
			if lost <= 5 {
				g.breakRule("LOST: commit %s, acknowledged %.3f s before, isn't in the log of the promoted %s", a.id, time.Since(a.at).Seconds(), target.id)
			}
		}
	}
	if lost > 0 {
		g.rec.printf("%d acknowledged commits lost", lost)
	}
	g.term++
	target.primary, target.term, target.held, target.base = true, g.term, 0, len(target.log)
	for _, s := range g.servers {
		if s != target && s.primary {
			s.replacedAt = time.Now()
			if s.unreached[target] {
				s.replacedAt = time.Time{}
			}
		}
	}
	g.rec.printf("%s leads term %d from %d", target.id, g.term, target.base)
	// A promote ends the pause of the replicas that the new primary reaches.
	for _, s := range g.servers {
		if s != target && !s.primary {
			s.held = 0
		}
	}
	target.changed = true
}

func (g *group) violations() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.broken...)
}

// recordRun records that a server has run a request.
func (g *group) recordRun(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.ran[id]; !ok {
		g.ran[id] = time.Now()
	}
}

// ranAt returns when a server first ran a request, or the zero time.
func (g *group) ranAt(id string) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ran[id]
}

// commonLength returns how many entries two logs share from their begin.
func commonLength(a, b []entry) int {
	n := 0
	for n < len(a) && n < len(b) && a[n].term == b[n].term && a[n].id == b[n].id {
		n++
	}
	return n
}
