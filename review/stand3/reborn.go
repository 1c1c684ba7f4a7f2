package main

import (
	"fmt"
	"sync"
	"time"
)

// The times of the case reborn.
const (
	rebornCrash  = 6 * time.Second
	rebornPause  = 200 * time.Millisecond
	rebornLength = 12 * time.Second
	// readersPerVM is the number of clients at each VM, clientPause the pause between two of a
	// client's operations.
	readersPerVM = 4
	clientPause  = 40 * time.Millisecond
)

// runReborn lets clients write and read on a route of kind primary. Meanwhile the primary crashes
// and starts again under its id, with nothing.
func runReborn(d *deployment) error {
	end := time.Now().Add(rebornLength)
	var clients sync.WaitGroup
	for i, v := range d.vms {
		for j := range readersPerVM {
			clients.Go(func() { d.writeAndRead(fmt.Sprintf("client-%d-%d", i, j), v.callers, end) })
		}
	}
	time.Sleep(rebornCrash)
	if d.trouble {
		primary := d.group.servers[0]
		primary.crash()
		time.Sleep(rebornPause)
		if err := primary.startEmpty(); err != nil {
			return err
		}
	}
	clients.Wait()
	return nil
}

// writeAndRead runs one client: it writes an item of its own once a second, and else reads it.
func (d *deployment) writeAndRead(name, address string, end time.Time) {
	var s *session
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(clientPause)
		if s == nil {
			var err error
			if s, err = open(d.record, name, address, "primary", "key-one"); err != nil {
				d.record.add("%s opens no session: %v", name, err)
				continue
			}
		}
		text := "READ " + name
		isWrite := n%20 == 0
		if isWrite {
			text = fmt.Sprintf("WRITE %s value-%d", name, n)
		}
		a, err := s.query(text)
		switch {
		case err != nil:
			s = nil
		case a.code != "":
		case isWrite:
			d.group.acknowledge(a.id)
		default:
			d.group.checkRead(a.id, a.sent, 0)
		}
	}
	if s != nil {
		s.close()
	}
}
