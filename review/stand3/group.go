package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// applyLag is how much later a replica applies a commit than it receives it.
	applyLag = 20 * time.Millisecond
	// promoteDelay is the time from an order to promote a server until it leads.
	promoteDelay = 300 * time.Millisecond
	// heartbeat is the time between two writes of a server to its entry of the directory, and
	// expiry the silence after which the entry is removed.
	heartbeat = 1200 * time.Millisecond
	expiry    = 3 * heartbeat
)

// entry is one commit in a server's log.
type entry struct {
	term   uint64
	id     string
	writes map[string]string
	at     time.Time
}

// group is a service: a primary and its replicas, with one synchronous replica.
type group struct {
	name   string
	store  *store
	record *record

	mu      sync.Mutex
	servers []*server
	term    uint64
	// acknowledged holds the times at which clients received the acknowledgement of a commit.
	acknowledged map[string]time.Time
	// runs holds the runs of reads by request id.
	runs map[string]readRun
}

// readRun is a read that a server has run.
type readRun struct {
	server string
	at     time.Time
	// commits holds the commits that the server had applied.
	commits map[string]bool
}

// newGroup starts a group with one server in each of the zones. The first one is the primary.
func newGroup(s *store, r *record, name string, zones []string) (*group, error) {
	g := &group{name: name, store: s, record: r, term: 1, acknowledged: map[string]time.Time{}, runs: map[string]readRun{}}
	for i, zone := range zones {
		v, err := newServer(g, fmt.Sprintf("i-%s-%d", name, i), zone)
		if err != nil {
			return nil, err
		}
		v.primary, v.term = i == 0, 1
		g.servers = append(g.servers, v)
		go v.beat()
	}
	return g, nil
}

// commit appends a commit to the primary's log and reports whether a replica has received it.
// The second result is false if the server is no primary.
func (g *group) commit(p *server, id string, writes map[string]string) (acknowledged, primary bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !p.primary || p.down {
		return false, false
	}
	p.log = append(p.log[:len(p.log):len(p.log)], entry{term: p.term, id: id, writes: writes, at: time.Now()})
	return g.replicate(p), true
}

// replicate passes the primary's log to the replicas that take it, and reports whether there
// was one. The caller holds the lock.
func (g *group) replicate(p *server) bool {
	received := false
	for _, v := range g.servers {
		if v == p || v.primary || v.down || v.deaf || v.held > p.term || v.term > p.term {
			continue
		}
		v.log, v.term = p.log, p.term
		received = true
	}
	return received
}

// promote makes a server the primary of the next term, promoteDelay after the order.
func (g *group) promote(id, holder string, token uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, v := range g.servers {
		switch {
		case v.id != id:
		case v.down:
			return http.StatusConflict
		case v.primary && v.term == g.term:
			return http.StatusOK
		default:
			g.record.add("order to promote %s by %s with token %d", id, holder, token)
			time.AfterFunc(promoteDelay, func() { g.lead(v) })
			return http.StatusOK
		}
	}
	return http.StatusConflict
}

// lead makes a server the primary of the next term.
func (g *group) lead(v *server) {
	g.mu.Lock()
	if v.down || v.primary && v.term == g.term {
		g.mu.Unlock()
		return
	}
	g.term++
	v.primary, v.term, v.held = true, g.term, 0
	g.checkPromoted(v)
	g.record.add("%s leads term %d with %d commits", v.id, g.term, len(v.log))
	for _, o := range g.servers {
		if o != v && !o.down && !o.primary {
			o.held = 0
		}
	}
	g.replicate(v)
	g.mu.Unlock()
	v.register()
	// The former primary reaches the new one.
	time.AfterFunc(time.Second, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, o := range g.servers {
			if o != v && o.primary && o.term < v.term {
				o.primary = false
			}
		}
		g.replicate(v)
	})
}

// checkPromoted checks that a server which begins to lead has every commit that was acknowledged.
// The caller holds the lock.
func (g *group) checkPromoted(v *server) {
	has := map[string]bool{}
	for _, e := range v.log {
		has[e.id] = true
	}
	missing := 0
	for id := range g.acknowledged {
		if !has[id] {
			missing++
		}
	}
	if missing > 0 {
		g.record.broken("LOST", "%s leads term %d with %d commits and lacks %d that were acknowledged", v.id, g.term, len(v.log), missing)
	}
}

// acknowledge records that a client has received the acknowledgement of a commit.
func (g *group) acknowledge(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acknowledged[id] = time.Now()
}

// checkRead checks a read that a client sent at the given time and that has succeeded: the
// server had to have every commit that was acknowledged more than bound before that, unless a
// promotion rolled it back, which none does here.
func (g *group) checkRead(id string, sent time.Time, bound time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	run, ok := g.runs[id]
	if !ok {
		g.record.broken("MIXED", "read %s succeeded and no server ran it", id)
		return
	}
	var missing []string
	for commit, at := range g.acknowledged {
		if at.Before(sent.Add(-bound)) && !run.commits[commit] {
			missing = append(missing, commit)
		}
	}
	if len(missing) > 0 {
		g.record.broken("STALE", "read %s ran on %s, which has %d commits and lacks %d that were acknowledged before, such as %s",
			id, run.server, len(run.commits), len(missing), strings.Join(missing[:1], ""))
	}
}
