// Command stand3 runs one case of the third review: VMs as processes, and stand-ins for the
// platform, the backend servers and the clients, on loopback addresses.
//
//	stand3 CASE FOLDER
//
// It writes record.txt into the folder and exits with 1 if a rule was broken, 0 if none was, and
// 2 if the case could not run. TROUBLE=0 in the environment leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// deployment is the running system with its stand-ins.
type deployment struct {
	record *record
	store  *store
	group  *group
	vms    []*vm
	// trouble is set unless the disruption is left out.
	trouble bool
}

// cases holds the cases by name.
var cases = map[string]func(d *deployment) error{
	"reborn":    runReborn,
	"withdrawn": runWithdrawn,
	"foreign":   runForeign,
	"behind":    runBehind,
	"former":    runFormer,
}

// The figures of a deployment.
const (
	vmCount      = 3
	readyTimeout = 20 * time.Second
	service      = "members"
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER")
		os.Exit(2)
	}
	broken, err := run(os.Args[1], os.Args[2])
	switch {
	case err != nil:
		_, _ = fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case broken > 0:
		os.Exit(1)
	}
}

// run runs a case and returns how often a rule was broken.
func run(name, folder string) (int, error) {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return 0, err
	}
	scratch, err := os.MkdirTemp("", "stand3")
	if err != nil {
		return 0, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(scratch) }()
	}
	d := &deployment{record: r, trouble: os.Getenv("TROUBLE") != "0"}
	defer d.stop()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		d.stop()
		os.Exit(2)
	}()
	if err := d.start(scratch); err != nil {
		return 0, err
	}
	if err := cases[name](d); err != nil {
		return 0, err
	}
	found := r.violations()
	for i, v := range found {
		if i < 5 {
			fmt.Println(v)
		}
	}
	fmt.Printf("%s: %d times a rule was broken\n", name, len(found))
	return len(found), nil
}

// start starts the stand-ins and the VMs, and waits until each VM is ready.
func (d *deployment) start(scratch string) error {
	var err error
	if d.store, err = newStore(); err != nil {
		return err
	}
	d.store.put("op", "config", configuration(7, "key-one", "key-two"))
	if d.group, err = newGroup(d.store, d.record, service, []string{"a", "b", "c"}); err != nil {
		return err
	}
	d.store.promote = func(_, id, holder string, token uint64) int { return d.group.promote(id, holder, token) }
	for i := range vmCount {
		v, err := newVM(scratch, i, d.store.address())
		if err != nil {
			return err
		}
		d.vms = append(d.vms, v)
		if err := v.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, v := range d.vms {
		for !v.isReady() {
			if time.Now().After(deadline) {
				return errors.Errorf("%s is not ready", v.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	d.record.add("all VMs are ready")
	for _, v := range d.vms {
		for !d.serves(v) {
			if time.Now().After(deadline) {
				return errors.Errorf("%s serves no write", v.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// serves reports whether a write in a new session at a VM succeeds.
func (d *deployment) serves(v *vm) bool {
	s, err := open(d.record, "first", v.callers, "primary", "key-two")
	if err != nil {
		return false
	}
	defer s.close()
	a, err := s.query("WRITE first " + v.name)
	return err == nil && a.code == ""
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, v := range d.vms {
		v.kill()
	}
}

// configuration returns the operator's configuration. The keys are those of the one tenant.
func configuration(version int, keys ...string) map[string]any {
	route := func(kind string) map[string]any {
		return map[string]any{
			"name": "r-" + kind, "host": kind, "prefix": "/", "routeKind": kind, "timeoutMs": 1000, "targetLatencyMs": 800,
			"priority": 1, "service": service, "maxAttempts": 2, "maxStalenessMs": 1500, "public": false,
		}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("primary"), route("bounded_staleness"), route("read_own")},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 22, "protocol": "h1", "tls": false, "syncReplicas": 1}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000},
		"tenants":  []any{map[string]any{"name": "acme", "apiKeys": keys, "priority": 1, "ratePerS": 5000, "burst": 5000}},
	}
}
