package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// foreignID is the key of an entry of the directory that another writer has made.
	foreignID = "i-foreign"
	// foreignFault is the time of the final fault, foreignDown how long the processes are down.
	foreignFault = 6 * time.Second
	foreignDown  = time.Second
	// recoveryTime is recoveryS of the deployment, foreignWindow the time in which the requests
	// are counted after that.
	recoveryTime  = 12 * time.Second
	foreignWindow = 15 * time.Second
	// foreignPause is the pause between two requests of a client.
	foreignPause = 200 * time.Millisecond
)

// share counts requests and those of them that were served.
type share struct{ sent, served atomic.Int64 }

func (s *share) add(served bool) {
	s.sent.Add(1)
	if served {
		s.served.Add(1)
	}
}

func (s *share) String() string { return fmt.Sprintf("%d of %d", s.served.Load(), s.sent.Load()) }

// runForeign writes an entry without the field seq into the directory, as another writer. Then
// the primary is lost for good and all processes are killed and start again. Both happen without
// the entry, too.
func runForeign(d *deployment) error {
	nobody, err := freePort("127.0.0.1")
	if err != nil {
		return err
	}
	if d.trouble {
		d.store.put("servers", foreignID, map[string]any{
			"service": service, "address": net.JoinHostPort("127.0.0.1", fmt.Sprint(nobody)), "zone": "b", "version": "v1", "capacity": 3,
			"state": "ready", "coldLeftMs": 0, "dbRole": "replica", "born": time.Now().UnixMilli(),
		})
		d.record.add("an entry without the field seq is in the directory")
	}
	var before, after share
	d.load(time.Now().Add(foreignFault), &before)
	d.record.add("served before the final fault: %s", &before)
	d.group.servers[0].crash()
	for _, v := range d.vms {
		v.kill()
	}
	d.record.add("all processes are killed")
	time.Sleep(foreignDown)
	for _, v := range d.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	d.record.add("all machines are back")
	time.Sleep(recoveryTime)
	d.load(time.Now().Add(foreignWindow), &after)
	d.record.add("served later than %s after the machines were back: %s", recoveryTime, &after)
	fmt.Printf("served before the final fault: %s, later than %s after it: %s\n", &before, recoveryTime, &after)
	if 4*before.served.Load() >= before.sent.Load() && 4*after.served.Load() < after.sent.Load() {
		d.record.broken("RECOVER", "%s requests were served, before the final fault %s", &after, &before)
	}
	return nil
}

// load lets one client for each VM and kind of route send reads and writes until a time.
func (d *deployment) load(end time.Time, count *share) {
	var clients sync.WaitGroup
	for _, v := range d.vms {
		for _, kind := range []string{"primary", "bounded_staleness", "read_own"} {
			clients.Go(func() {
				name := "client-" + v.name + "-" + kind
				for n := 0; time.Now().Before(end); n++ {
					time.Sleep(foreignPause)
					text := "READ " + name
					if n%5 == 0 && kind != "bounded_staleness" {
						text = fmt.Sprintf("WRITE %s value-%d", name, n)
					}
					count.add(d.runOne(name, v.callers, kind, text))
				}
			})
		}
	}
	clients.Wait()
}

// runOne runs one statement in a session of its own and reports whether it succeeded.
func (d *deployment) runOne(name, address, database, text string) bool {
	s, err := open(d.record, name, address, database, "key-one")
	if err != nil {
		return false
	}
	defer s.close()
	a, err := s.query(text)
	return err == nil && a.code == ""
}
