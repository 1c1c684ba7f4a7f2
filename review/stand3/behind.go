package main

import (
	"fmt"
	"time"
)

// The times of the case behind, from its start.
const (
	behindDeaf    = 4 * time.Second
	behindCrash   = 5 * time.Second
	behindHears   = 10 * time.Second
	behindKill    = 10500 * time.Millisecond
	behindBack    = 12 * time.Second
	behindWindow  = 15 * time.Second
	behindMaxLead = 4 * time.Second
	// behindLoss is the time from the change of primary to the loss of the new primary.
	behindLoss = 1500 * time.Millisecond
)

// runBehind lets one replica receive nothing and the primary crash meanwhile. The server that is
// promoted is lost for good soon afterwards. Then the replica receives again, all processes are
// killed and start again, and the primary is back with its log.
func runBehind(d *deployment) error {
	start := time.Now()
	until := func(at time.Duration) { time.Sleep(time.Until(start.Add(at))) }
	var before, after share
	d.load(start.Add(behindDeaf), &before)
	d.record.add("served before the final fault: %s", &before)
	during := make(chan struct{})
	go func() {
		defer close(during)
		var share share
		d.load(start.Add(behindKill), &share)
	}()
	if d.trouble {
		if err := d.loseTwoPrimaries(until); err != nil {
			return err
		}
	}
	until(behindKill)
	<-during
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
	back := time.Now()
	if d.trouble {
		until(behindBack)
		if err := d.group.servers[0].startWithLog(); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(back.Add(recoveryTime)))
	d.load(time.Now().Add(behindWindow), &after)
	d.record.add("served later than %s after the machines were back: %s", recoveryTime, &after)
	fmt.Printf("served before the final fault: %s, later than %s after it: %s\n", &before, recoveryTime, &after)
	if 4*before.served.Load() >= before.sent.Load() && 4*after.served.Load() < after.sent.Load() {
		d.record.broken("RECOVER", "%s requests were served, before the final fault %s", &after, &before)
	}
	return nil
}

// loseTwoPrimaries runs the disruption of the case behind.
func (d *deployment) loseTwoPrimaries(until func(time.Duration)) error {
	first := d.group.servers[0]
	until(behindDeaf)
	second, third := d.group.servers[1], d.group.servers[2]
	d.group.setDeaf(third, true)
	until(behindCrash)
	first.crash()
	deadline := time.Now().Add(behindMaxLead)
	for !d.group.leads(second) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s does not lead", second.id)
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(behindLoss)
	second.crash()
	until(behindHears)
	d.group.setDeaf(third, false)
	return nil
}

// setDeaf starts or ends the time in which a server receives nothing from the primary.
func (g *group) setDeaf(v *server, deaf bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v.deaf = deaf
	g.record.add("%s receives nothing: %t", v.id, deaf)
}

// leads reports whether a server leads the newest term.
func (g *group) leads(v *server) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return v.primary && v.term == g.term && g.term > 1
}
