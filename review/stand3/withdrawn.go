package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// configDeadline is configDeadlineMs of the deployment.
	configDeadline = 3 * time.Second
	// withdrawnPause is the pause of the client between two statements. It is below txIdleMs.
	withdrawnPause = time.Second
	// withdrawnStatements is the number of statements of the transaction after its BEGIN, the
	// COMMIT included.
	withdrawnStatements = 11
)

// runWithdrawn lets a client open a transaction. Then its key is withdrawn, and the client goes
// on with the transaction and commits it.
func runWithdrawn(d *deployment) error {
	s, err := open(d.record, "client", d.vms[0].callers, "primary", "key-one")
	if err != nil {
		return err
	}
	defer s.close()
	if a, err := s.query("BEGIN"); err != nil || a.code != "" {
		return errors.Errorf("BEGIN: %v %s", err, a.code)
	}
	if a, err := s.query("WRITE item first"); err != nil || a.code != "" {
		return errors.Errorf("WRITE: %v %s", err, a.code)
	}
	keys := []string{"key-one", "key-two"}
	if d.trouble {
		keys = keys[1:]
	}
	d.store.put("op", "config", configuration(9, keys...))
	acknowledged := time.Now()
	d.record.add("the store acknowledges version 9 with the keys %s", strings.Join(keys, ", "))
	for i := range withdrawnStatements {
		time.Sleep(withdrawnPause)
		text := fmt.Sprintf("WRITE item later-%d", i)
		switch {
		case i == withdrawnStatements-1:
			text = "COMMIT"
		case i%2 == 0:
			text = "READ item"
		}
		a, err := s.query(text)
		if err != nil {
			return nil
		}
		after := a.sent.Sub(acknowledged)
		if d.trouble && a.code == "" && after > configDeadline {
			d.record.broken("CONFIG", "%s %s, sent %d ms after the acknowledgement, ran with a dropped key: %s", a.id, text, after.Milliseconds(), a.signature)
		}
		if !d.trouble && a.code != "" {
			return errors.Errorf("%s: %s", text, a.code)
		}
	}
	if _, err := open(d.record, "another client", d.vms[0].callers, "primary", "key-one"); err != nil {
		d.record.add("another client with the key: %v", err)
	}
	return nil
}
