package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// service and database are the names in the cases with one service.
const (
	service  = "members-db"
	database = "app"
)

// startOne starts one service with a server in each of three zones, and VMs.
func startOne(d *deployment, kind string, zones ...string) (*group, error) {
	g := d.addGroup(service, "a", "b", "c")
	d.configure(route{database, kind, service})
	time.Sleep(100 * time.Millisecond)
	return g, d.startVMs(database, zones...)
}

// workload writes at every VM until stop is closed.
type workload struct {
	stop chan struct{}
	done sync.WaitGroup
}

// startWrites has sessions at each VM write every pause.
func startWrites(d *deployment, perVM int, pause time.Duration) *workload {
	return startLoad(d, perVM, pause, "")
}

// startLoad opens sessions at each VM that send a text, or a write if it is empty, every
// pause, and reconnect after a close.
func startLoad(d *deployment, perVM int, pause time.Duration, text string) *workload {
	w := &workload{stop: make(chan struct{})}
	for _, v := range d.vms {
		for i := range perVM {
			w.done.Add(1)
			go func() {
				defer w.done.Done()
				w.send(d, v, fmt.Sprintf("%s/%d", v.name, i), pause, text)
			}()
		}
	}
	return w
}

func (w *workload) send(d *deployment, v *vm, name string, pause time.Duration, text string) {
	var s *session
	for n := 0; ; n++ {
		select {
		case <-w.stop:
			if s != nil {
				s.close()
			}
			return
		case <-time.After(pause):
		}
		if s == nil {
			var err error
			if s, err = openSession(d.rec, v.callers, database, name); err != nil {
				s = nil
				continue
			}
		}
		next := text
		if next == "" {
			next = fmt.Sprintf("WRITE item%s v%d", v.name, n)
		}
		if _, err := s.query(newID(), next); err != nil {
			s.close()
			s = nil
		}
	}
}

func (w *workload) finish() {
	close(w.stop)
	w.done.Wait()
}

// release starts the replacement of the primary, and has the primary report a little later
// that it drains.
func release(d *deployment, g *group) {
	d.rec.printf("the replacement of the primary starts")
	g.addServer(service+"-3", "a")
	time.Sleep(time.Second)
	p := g.servers[0]
	p.set(func() { p.leaving = true })
	d.rec.printf("the primary %s reports that it drains", p.id)
}

// awaitChange waits until another server leads.
func awaitChange(g *group, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		g.mu.Lock()
		term := g.term
		g.mu.Unlock()
		if term > 1 {
			return true
		}
	}
	return false
}

// storeCut: a replica is partitioned from the store for 12 s and keeps receiving from its
// primary. Its entry lapses. Then the primary is replaced as planned.
func storeCut(d *deployment, trouble bool) ([]string, error) {
	g, err := startOne(d, "primary", "a", "b", "c")
	if err != nil {
		return nil, err
	}
	time.Sleep(10 * time.Second)
	w := startWrites(d, 3, 20*time.Millisecond)
	cut := g.servers[2]
	if trouble {
		d.rec.printf("%s is partitioned from the store", cut.id)
		cut.set(func() { cut.cut = true })
		time.AfterFunc(12*time.Second, func() {
			d.rec.printf("%s reaches the store again", cut.id)
			cut.set(func() { cut.cut = false })
		})
	}
	time.Sleep(8500 * time.Millisecond)
	release(d, g)
	changed := awaitChange(g, 10*time.Second)
	time.Sleep(2 * time.Second)
	w.finish()
	if !changed {
		return nil, fmt.Errorf("the primary was not replaced")
	}
	return d.violations(), nil
}

// restarted: the primary is replaced as planned while the promotion service is down for two
// seconds. Meanwhile a replica that is sealed crashes and runs again half a second later.
func restarted(d *deployment, trouble bool) ([]string, error) {
	g, err := startOne(d, "primary", "a", "b", "c")
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	w := startWrites(d, 3, 20*time.Millisecond)
	replica := g.servers[2]
	if trouble {
		d.promoterDown.Store(true)
		go func() {
			<-replica.paused
			time.Sleep(400 * time.Millisecond)
			replica.crash()
			time.Sleep(500 * time.Millisecond)
			replica.restart()
			time.Sleep(1300 * time.Millisecond)
			d.rec.printf("the promotion service answers again")
			d.promoterDown.Store(false)
		}()
	}
	release(d, g)
	changed := awaitChange(g, 15*time.Second)
	time.Sleep(2 * time.Second)
	w.finish()
	if !changed {
		return nil, fmt.Errorf("the primary was not replaced")
	}
	return d.violations(), nil
}

// smuggled: a VM is stopped as planned while a statement of an open transaction arrives in
// two parts, 200 ms apart as after a lost packet. Its data contains the text of a statement.
func smuggled(d *deployment, trouble bool) ([]string, error) {
	g, err := startOne(d, "primary", "a", "b", "c")
	if err != nil {
		return nil, err
	}
	v := d.vms[0]
	s, err := openSession(d.rec, v.callers, database, "client")
	if err != nil {
		return nil, err
	}
	defer s.close()
	if trouble {
		d.rec.printf("SIGTERM to %s", v.name)
		v.signal(syscall.SIGTERM)
	}
	time.Sleep(1700 * time.Millisecond)
	for _, text := range []string{"BEGIN", "READ 1a4"} {
		if a, err := s.query(newID(), text); err != nil || !a.ok() {
			return nil, fmt.Errorf("%s: %v %v", text, a.code, err)
		}
	}
	time.Sleep(350 * time.Millisecond)
	id, inner := newID(), newID()
	first, second := fmt.Sprintf("QUERY %s WRITE 1a4 a ", id), fmt.Sprintf("QUERY %s WRITE 2b7 xkqpwnzd\r\n", inner)
	d.rec.printf("client sends one statement %s in two parts: %q and, 200 ms later, %q", id, first, second)
	if _, err := fmt.Fprint(s.conn, first); err != nil {
		return nil, err
	}
	time.Sleep(200 * time.Millisecond)
	if _, err := fmt.Fprint(s.conn, second); err != nil {
		return nil, err
	}
	a, err := s.receive(id)
	d.rec.printf("code %q signature %q err %v", a.code, a.signature, err)
	if at := g.ranAt(inner); !at.IsZero() {
		return []string{"UNASKED: a server ran " + inner + ", which no client sent as a statement: it was data inside " + id}, nil
	}
	return nil, nil
}

// halfGrace: a VM is stopped as planned while a transaction is open, whose client sends a
// statement every 200 ms and commits 2.7 s after SIGTERM, within the first half of graceS.
func halfGrace(d *deployment, trouble bool) ([]string, error) {
	if _, err := startOne(d, "primary", "a", "b", "c"); err != nil {
		return nil, err
	}
	v := d.vms[0]
	s, err := openSession(d.rec, v.callers, database, "client")
	if err != nil {
		return nil, err
	}
	defer s.close()
	for _, text := range []string{"BEGIN", "WRITE 1a4 xkqpwnzd"} {
		if a, err := s.query(newID(), text); err != nil || !a.ok() {
			return nil, fmt.Errorf("%s: %v %v", text, a.code, err)
		}
	}
	term := time.Now()
	if trouble {
		d.rec.printf("SIGTERM to %s, a transaction is open", v.name)
		v.signal(syscall.SIGTERM)
	}
	for n := range 10 {
		time.Sleep(time.Until(term.Add(time.Duration(n+1) * 250 * time.Millisecond)))
		if a, err := s.query(newID(), fmt.Sprintf("READ item%d", n)); err != nil || !a.ok() {
			return []string{fmt.Sprintf("DRAIN: the open transaction was ended %.2f s after SIGTERM, before half of graceS (3 s): code %q, error %v", time.Since(term).Seconds(), a.code, err)}, nil
		}
	}
	time.Sleep(time.Until(term.Add(2700 * time.Millisecond)))
	a, err := s.query(newID(), "COMMIT")
	if err != nil || !a.ok() {
		return []string{fmt.Sprintf("DRAIN: the COMMIT %.2f s after SIGTERM, before half of graceS (3 s), got code %q, error %v", time.Since(term).Seconds(), a.code, err)}, nil
	}
	return nil, nil
}

// partitionTime is how long the primary is partitioned from its replicas.
const partitionTime = 5 * time.Second

// replacement: the primary is partitioned from its replicas, and another is to lead. While
// the replicas are sealed, a server that replaces the primary starts. The primary reaches it.
func replacement(d *deployment, trouble bool) ([]string, error) {
	g, err := startOne(d, "primary", "a", "b", "c")
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	w := startWrites(d, 3, 20*time.Millisecond)
	time.Sleep(time.Second)
	p := g.servers[0]
	if trouble {
		d.rec.printf("the primary %s is partitioned from %s and %s for %v", p.id, g.servers[1].id, g.servers[2].id, partitionTime)
		p.set(func() { p.unreached = map[*server]bool{g.servers[1]: true, g.servers[2]: true} })
		time.AfterFunc(partitionTime, func() {
			d.rec.printf("the partition of the primary ends")
			p.set(func() { p.unreached = nil })
		})
		select {
		case <-g.servers[2].paused:
		case <-time.After(partitionTime):
			return nil, fmt.Errorf("no VM tried to change the primary")
		}
		time.Sleep(100 * time.Millisecond)
	}
	release(d, g)
	changed := awaitChange(g, 10*time.Second)
	time.Sleep(2 * time.Second)
	w.finish()
	if !changed {
		return nil, fmt.Errorf("the primary was not replaced")
	}
	return d.violations(), nil
}
