package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// formerTries bounds the attempts to have a claim given up.
	formerTries = 8
	// formerReplicaDown is how long the replica is down, formerPrimaryDown how long the primary.
	formerReplicaDown = 3 * time.Second
	formerPrimaryDown = 1200 * time.Millisecond
	formerSettle      = 2 * time.Second
)

// The times of the case former, from the start of the replacement of a replica.
const (
	formerDrain = time.Second
	formerDeaf  = 3 * time.Second
	// formerEnd is when the replaced replica ends, 8 s after it began to drain.
	formerEnd   = 9 * time.Second
	formerCrash = 9200 * time.Millisecond
	formerHears = 9500 * time.Millisecond
	formerKill  = 9600 * time.Millisecond
	formerStart = 10200 * time.Millisecond
	formerBack  = 16200 * time.Millisecond
	formerOver  = 22 * time.Second
)

// runFormer has a claim given up, since the primary recovers. Later a replica is replaced while
// the others receive nothing, the primary crashes, and all processes are killed at once.
func runFormer(d *deployment) error {
	end := make(chan struct{})
	var clients sync.WaitGroup
	defer clients.Wait()
	defer close(end)
	for i, v := range d.vms {
		for j := range readersPerVM {
			clients.Go(func() { d.writeUntil(fmt.Sprintf("client-%d-%d", i, j), v.callers, end) })
		}
	}
	time.Sleep(formerSettle)
	if d.trouble && os.Getenv("HISTORY") != "0" {
		if err := d.giveUpClaim(); err != nil {
			return err
		}
	}
	start := time.Now()
	until := func(at time.Duration) { time.Sleep(time.Until(start.Add(at))) }
	primary, replicas := d.group.roles()
	leaving := replicas[0]
	added, err := d.group.add(fmt.Sprintf("i-%s-new", service), leaving.zone)
	if err != nil {
		return err
	}
	until(formerDrain)
	leaving.drain()
	until(formerDeaf)
	if !d.trouble {
		until(formerEnd)
		leaving.leave()
		until(formerOver)
		return nil
	}
	staying := []*server{replicas[1], added}
	for _, v := range staying {
		d.group.setDeaf(v, true)
	}
	until(formerEnd)
	leaving.leave()
	until(formerCrash)
	primary.crash()
	until(formerHears)
	for _, v := range staying {
		d.group.setDeaf(v, false)
	}
	until(formerKill)
	for _, v := range d.vms {
		v.kill()
	}
	d.record.add("all processes are killed")
	until(formerStart)
	for _, v := range d.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	until(formerBack)
	if err := primary.startWithLog(); err != nil {
		return err
	}
	until(formerOver)
	return nil
}

// giveUpClaim lets a replica and the primary crash for a short time, until the record has a claim
// for the present term, in which the primary still leads.
func (d *deployment) giveUpClaim() error {
	for range formerTries {
		primary, replicas := d.group.roles()
		replicas[0].crash()
		time.Sleep(100 * time.Millisecond)
		primary.crash()
		time.Sleep(formerPrimaryDown)
		if err := primary.startWithLog(); err != nil {
			return err
		}
		time.Sleep(formerReplicaDown - formerPrimaryDown)
		if err := replicas[0].startWithLog(); err != nil {
			return err
		}
		time.Sleep(formerSettle)
		var claim struct {
			Term   uint64
			Former string
		}
		text := d.store.value("claims", service)
		d.record.add("the record of the claim is %s", text)
		leader, term := d.group.leader()
		if json.Unmarshal(text, &claim) == nil && claim.Term == term && leader != nil && claim.Former == leader.id {
			return nil
		}
	}
	return errors.New("no claim was given up")
}

// writeUntil runs one client, which writes an item of its own until end is closed.
func (d *deployment) writeUntil(name, address string, end chan struct{}) {
	var s *session
	for n := 0; ; n++ {
		select {
		case <-end:
			if s != nil {
				s.close()
			}
			return
		case <-time.After(clientPause):
		}
		if s == nil {
			var err error
			if s, err = open(d.record, name, address, "primary", "key-one"); err != nil {
				continue
			}
		}
		a, err := s.query(fmt.Sprintf("WRITE %s value-%d", name, n))
		switch {
		case err != nil:
			s = nil
		case a.code == "":
			d.group.acknowledge(a.id)
		}
	}
}

// value returns the value of a row with an empty partition, or nil.
func (s *store) value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[storeRow{Table: table, Key: key}.id()].Value
}

// leader returns the primary of the newest term, or nil, and that term.
func (g *group) leader() (*server, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, v := range g.servers {
		if v.primary && v.term == g.term {
			return v, g.term
		}
	}
	return nil, g.term
}

// roles returns the primary and the other servers.
func (g *group) roles() (*server, []*server) {
	primary, _ := g.leader()
	g.mu.Lock()
	defer g.mu.Unlock()
	var others []*server
	for _, v := range g.servers {
		if v != primary {
			others = append(others, v)
		}
	}
	return primary, others
}

// add starts a server of the group, which receives the log with the next commit.
func (g *group) add(id, zone string) (*server, error) {
	v, err := newServer(g, id, zone)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	g.servers = append(g.servers, v)
	g.mu.Unlock()
	g.record.add("%s starts", id)
	go v.beat()
	return v, nil
}

// drain makes the server report that it drains.
func (v *server) drain() {
	v.group.mu.Lock()
	v.draining = true
	v.group.mu.Unlock()
	v.group.record.add("%s drains", v.id)
	v.register()
}

// leave ends a server that has drained. Its entry is removed and its log is gone.
func (v *server) leave() {
	v.crash()
	v.group.store.drop("servers", v.id)
	v.group.record.add("%s has left", v.id)
}
