package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// ingress chooses the VM of a new connection as the platform does: it probes each VM once a
// second, takes one out after two misses, and uses all VMs of the zone while fewer than half
// of them are in rotation.
type ingress struct {
	mu     sync.Mutex
	vms    []*vm
	misses []int
}

func newIngress(vms []*vm) *ingress {
	g := &ingress{vms: vms, misses: make([]int, len(vms))}
	for i := range vms {
		go func() {
			for {
				ok := g.vms[i].ready()
				g.mu.Lock()
				g.misses[i]++
				if ok {
					g.misses[i] = 0
				}
				g.mu.Unlock()
				time.Sleep(time.Second)
			}
		}()
	}
	return g
}

func (g *ingress) pick() *vm {
	g.mu.Lock()
	defer g.mu.Unlock()
	var in []*vm
	for i, v := range g.vms {
		if g.misses[i] < 2 {
			in = append(in, v)
		}
	}
	if 2*len(in) < len(g.vms) && len(in) > 0 {
		in = g.vms
	}
	if len(in) == 0 {
		return g.vms[rand.IntN(len(g.vms))]
	}
	return in[rand.IntN(len(in))]
}

// cutRequest is a request whose connection ended without a complete answer.
type cutRequest struct {
	id    string
	vm    *vm
	sent  time.Time
	ended time.Time
	text  string
}

// lastStop: two of the three VMs of a zone are stopped as planned, 1.1 s apart. Clients go on
// with transactions and single statements, each in a session of its own.
func lastStop(d *deployment, trouble bool) ([]string, error) {
	g, err := startOne(d, "primary", "a", "a", "a")
	if err != nil {
		return nil, err
	}
	in := newIngress(d.vms)
	time.Sleep(time.Second)
	var mu sync.Mutex
	var cuts []cutRequest
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 24 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(20+rand.IntN(60)) * time.Millisecond):
				}
				if c := transact(d, in.pick(), fmt.Sprintf("client%d", i)); c != nil {
					mu.Lock()
					cuts = append(cuts, *c)
					mu.Unlock()
				}
			}
		}()
	}
	time.Sleep(2 * time.Second)
	terms := map[*vm]time.Time{}
	for _, v := range d.vms[:2] {
		terms[v] = time.Now()
		if trouble {
			d.rec.printf("SIGTERM to %s", v.name)
			v.signal(syscall.SIGTERM)
		}
		time.Sleep(1100 * time.Millisecond)
	}
	time.Sleep(7 * time.Second)
	close(stop)
	clients.Wait()
	var out []string
	for _, c := range cuts {
		term, ok := terms[c.vm]
		if !ok || c.ended.Before(term) || c.ended.After(term.Add(7*time.Second)) {
			continue
		}
		passed := g.ranAt(c.id)
		after := c.sent.Sub(term).Seconds()
		if passed.IsZero() || after <= 3 || c.ended.Sub(c.sent) > 900*time.Millisecond {
			continue
		}
		out = append(out, fmt.Sprintf("LOST: request %s (%s), sent %.3f s after SIGTERM to %s, ran at a server, and its connection ended %.3f s after SIGTERM without an answer",
			c.id, c.text, after, c.vm.name, c.ended.Sub(term).Seconds()))
	}
	return out, nil
}

// transact runs one transaction in a session of its own, and returns the request that was cut.
func transact(d *deployment, v *vm, name string) *cutRequest {
	s, err := openSession(d.rec, v.callers, database, name+"@"+v.name)
	if err != nil {
		return nil
	}
	defer s.close()
	texts := []string{"BEGIN", "READ a", "WRITE b x", "READ c", "READ d", "WRITE e y", "COMMIT"}
	for _, text := range texts {
		id, sent := newID(), time.Now()
		a, err := s.query(id, text)
		if err != nil {
			return &cutRequest{id: id, vm: v, sent: sent, ended: time.Now(), text: text}
		}
		if !a.ok() {
			return nil
		}
		time.Sleep(time.Duration(10+rand.IntN(20)) * time.Millisecond)
	}
	return nil
}
