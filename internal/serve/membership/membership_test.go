package membership

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/platform"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/configuration"
	standin "github.com/sycamoredoor/sycamoredoor/internal/standin/platform"
)

// network connects memberships in one process. Isolated VMs reach no other VM and cannot
// read records of the platform.
type network struct {
	platform *standin.Platform

	mu          sync.Mutex
	memberships map[string]*Membership
	isolated    map[string]bool
	stopFuncs   map[string]func()
}

func newNetwork(t *testing.T) *network {
	t.Helper()
	t.Cleanup(invariant.SetHandler(func(n invariant.Name, detail string) { t.Errorf("invariant %s: %s", n, detail) }))
	p, err := standin.New(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return &network{platform: p, memberships: map[string]*Membership{}, isolated: map[string]bool{}, stopFuncs: map[string]func(){}}
}

// reach returns the membership at an address, or nil if there is none or one of the two
// VMs is isolated.
func (w *network) reach(from, to string) *Membership {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isolated[from] || w.isolated[to] {
		return nil
	}
	return w.memberships[to]
}

func (w *network) setIsolated(name string, isolated bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isolated[name] = isolated
}

func (w *network) isIsolated(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isolated[name]
}

// start runs a VM and adds it to the platform's list. Its name serves as its address.
func (w *network) start(t *testing.T, name string, zone int) *Membership {
	t.Helper()
	store := platform.NewStore(w.platform.URL(), clock.Second)
	get := store.GetRecordFunc
	store.GetRecordFunc = func(ctx context.Context, key string) (platform.Record, error) {
		if w.isIsolated(name) {
			return platform.Record{}, &platform.UnavailableError{Cause: errors.New("isolated")}
		}
		return get(ctx, key)
	}
	self := member.VM{Name: name, Zone: member.Zone(fmt.Sprintf("zone%d", zone)), Address: name}
	m := New(Options{
		Self: self, Clock: clock.System(), Store: store, Log: log.New(io.Discard), Peers: []string{"vm1", "vm2"},
		SendFunc: func(_ context.Context, address string, body []byte) {
			if to := w.reach(name, address); to != nil {
				go to.Receive(name, body)
			}
		},
		AskFunc: func(_ context.Context, address string, a inner.Question) (inner.Answer, error) {
			if to := w.reach(name, address); to != nil {
				return to.Serve(a), nil
			}
			return inner.Answer{}, errors.New("unreachable")
		},
		ChangedFunc: func(context.Context) {},
	})
	w.mu.Lock()
	w.memberships[name] = m
	w.mu.Unlock()
	w.platform.SetVM(self)
	ctx, cancel := context.WithCancel(context.Background())
	go m.Run(ctx)
	w.stopFuncs[name] = func() {
		cancel()
		<-m.Done()
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.memberships[name] == m {
			delete(w.memberships, name)
		}
	}
	t.Cleanup(w.stopFuncs[name])
	return m
}

// waitUntil polls until a condition holds, for at most 20 s.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("not true after 20 s: %s", what)
}

const (
	databasesText  = "databases: [{name: orders, servers: [{name: o1, address: \"127.0.0.1:1\", zone: zone0, slots: 1, connections: 2}]}]"
	accountsFormat = "accounts: [{name: counter, rate: %d, burst: 10, weight: 1, keys: []}]"
)

// apply edits the configuration at version base, with the given rate for the account, and
// returns the new version.
func (w *network) apply(t *testing.T, rate int, base uint64) uint64 {
	t.Helper()
	version, err := configuration.Apply(t.Context(), platform.NewStore(w.platform.URL(), clock.Second), configuration.Change{
		Texts: map[string]string{"databases": databasesText, "accounts": fmt.Sprintf(accountsFormat, rate)}, BaseVersion: base,
	})
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// TestOutage checks that VMs keep acting while the platform is down, that a VM can start
// during the outage and becomes a member after it, and that an isolated VM stops acting
// while the others go on, and acts again once it can reach them.
func TestOutage(t *testing.T) {
	w := newNetwork(t)
	vms := []*Membership{w.start(t, "vm1", 0), w.start(t, "vm2", 1), w.start(t, "vm3", 2)}
	allVMs := func(condition func(*Membership) bool) func() bool {
		return func() bool {
			for _, m := range vms {
				if !condition(m) {
					return false
				}
			}
			return true
		}
	}
	w.apply(t, 5, 0)
	waitUntil(t, "every VM acts on a member set of three", allVMs(func(m *Membership) bool {
		return m.Document() != nil && len(m.Alive()) == 3
	}))
	version := w.apply(t, 6, vms[0].Version())
	waitUntil(t, "the change is accepted", allVMs(func(m *Membership) bool { return m.AcceptedVersion() >= version }))

	w.platform.SetDown(true)
	time.Sleep(5 * time.Second)
	waitUntil(t, "every VM acts while the platform is down", allVMs((*Membership).CanAct))

	newVM := w.start(t, "vm4", 0)
	waitUntil(t, "a VM that starts now gets the configuration from another", newVM.CanAct)

	w.setIsolated("vm3", true)
	waitUntil(t, "an isolated VM stops acting", func() bool { return !vms[2].CanAct() })
	if vms[2].Document() != nil {
		t.Error("an isolated VM returns a configuration to act on")
	}
	waitUntil(t, "the others suspect it", func() bool { return len(vms[0].Alive()) == 2 })
	if !vms[0].CanAct() || !vms[1].CanAct() {
		t.Error("the majority stopped acting together with the isolated VM")
	}
	w.setIsolated("vm3", false)
	waitUntil(t, "it acts again by itself", vms[2].CanAct)

	w.platform.SetDown(false)
	waitUntil(t, "the new VM becomes a member", func() bool { return len(vms[0].Alive()) == 4 })
}

// TestRestart restarts all VMs at once while the platform is down. With no VM to ask for
// the configuration, none may act until the platform is back.
func TestRestart(t *testing.T) {
	w := newNetwork(t)
	names := []string{"vm1", "vm2", "vm3"}
	vms := map[string]*Membership{}
	actingCount := func() int {
		n := 0
		for _, m := range vms {
			if m.Document() != nil {
				n++
			}
		}
		return n
	}
	for i, name := range names {
		vms[name] = w.start(t, name, i)
	}
	w.apply(t, 5, 0)
	waitUntil(t, "all act", func() bool { return actingCount() == 3 })
	w.platform.SetDown(true)
	for _, name := range names {
		w.stopFuncs[name]()
	}
	for i, name := range names {
		vms[name] = w.start(t, name, i)
	}
	for range 20 {
		time.Sleep(50 * time.Millisecond)
		if n := actingCount(); n > 0 {
			t.Fatalf("%d VMs act although no VM has a configuration", n)
		}
	}
	w.platform.SetDown(false)
	waitUntil(t, "all act again", func() bool { return actingCount() == 3 })
}
