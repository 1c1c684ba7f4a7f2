package main

import (
	"fmt"
	"strings"
	"time"
)

// replicaLag is how far the replicas of the first service are behind, as in replica_lag.
const replicaLag = 1200 * time.Millisecond

// stormGap is the pause between two configurations, as in config_storm.
const stormGap = 330 * time.Millisecond

// routeBack: the route of a session with its own writes is changed to another service and
// back, in quick succession, while the replicas of the first are behind.
func routeBack(d *deployment, trouble bool) ([]string, error) {
	first := d.addGroup("members-a", "a", "b", "c")
	d.addGroup("members-b", "a", "b", "c")
	toFirst, toSecond := route{database, "read_own", "members-a"}, route{database, "read_own", "members-b"}
	d.configure(toFirst)
	time.Sleep(100 * time.Millisecond)
	if err := d.startVMs(database, "a", "b", "c"); err != nil {
		return nil, err
	}
	for _, s := range first.servers[1:] {
		s.set(func() { s.lag = replicaLag })
	}
	d.rec.printf("the replicas of members-a are %v behind", replicaLag)
	v := d.vms[1]
	// The log advances, so that the VM knows positions of it.
	for n := range 40 {
		if err := d.writeOnce(v, n); err != nil {
			return nil, err
		}
		time.Sleep(60 * time.Millisecond)
	}
	readers := startLoad(d, 3, 10*time.Millisecond, "READ other1")
	defer readers.finish()
	time.Sleep(time.Second)
	var out []string
	for round := range 8 {
		b, err := d.oneReturn(v, round, trouble, toFirst, toSecond)
		if err != nil {
			return nil, err
		}
		out = append(out, b...)
		time.Sleep(1500 * time.Millisecond)
	}
	return out, nil
}

func (d *deployment) writeOnce(v *vm, n int) error {
	s, err := openSession(d.rec, v.callers, database, "other")
	if err != nil {
		return err
	}
	defer s.close()
	a, err := s.query(newID(), fmt.Sprintf("WRITE other%d x", n))
	if err == nil && !a.ok() {
		return fmt.Errorf("write: %s", a.code)
	}
	return err
}

// oneReturn writes, has the route changed and changed back, and reads what it wrote.
func (d *deployment) oneReturn(v *vm, round int, trouble bool, toFirst, toSecond route) ([]string, error) {
	s, err := openSession(d.rec, v.callers, database, "client")
	if err != nil {
		return nil, err
	}
	defer s.close()
	item, want := fmt.Sprintf("item%d", round), fmt.Sprintf("value%d", round)
	if a, err := s.query(newID(), "WRITE "+item+" "+want); err != nil || !a.ok() {
		return nil, fmt.Errorf("write: %v %v", a.code, err)
	}
	acked := time.Now()
	if trouble {
		d.configure(toSecond)
		if !s.writeUntil("members-b") {
			return nil, fmt.Errorf("the route did not change")
		}
		time.Sleep(stormGap)
		d.configure(toFirst)
	}
	for time.Since(acked) < replicaLag+300*time.Millisecond {
		sent := time.Now()
		a, err := s.query(newID(), "READ "+item)
		if err != nil {
			return nil, err
		}
		if !a.ok() || !strings.HasPrefix(a.signature, "members-a") {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if a.row != want {
			return []string{fmt.Sprintf("STALE: a read sent %.3f s after the session's commit was acknowledged ran at %s, whose log lacks the commit: got %q instead of %q",
				sent.Sub(acked).Seconds(), a.signature, a.row, want)}, nil
		}
		return nil, nil
	}
	return nil, nil
}

// writeUntil writes until a server of a service has signed an answer.
func (s *session) writeUntil(service string) bool {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(15 * time.Millisecond) {
		a, err := s.query(newID(), "WRITE probe x")
		if err != nil {
			return false
		}
		if a.ok() && strings.HasPrefix(a.signature, service) {
			return true
		}
	}
	return false
}
