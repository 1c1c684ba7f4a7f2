// Package system runs a whole installation in one process, on loopback addresses:
// stand-ins of the platform and of the database groups, and the VMs of the proxy.
package system

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/trace"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/caller"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/platform"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/configuration"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/vm"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/keys"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/settings"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/verifier"
	"github.com/sycamoredoor/sycamoredoor/internal/standin/backend"
	standin "github.com/sycamoredoor/sycamoredoor/internal/standin/platform"
)

// Place is an availability zone and its region.
type Place struct {
	Zone   member.Zone
	Region string
}

// Account is a client account. Key is in plain text; the configuration holds only a
// verifier of it. Rate is in statements per second, Burst in statements.
type Account struct {
	Name   string
	Key    string
	Rate   float64
	Burst  float64
	Weight int
}

// Options configures an installation.
type Options struct {
	// Places holds the place of each VM.
	Places []Place
	// Databases holds the names of the databases, each with a database group.
	Databases []string
	// Servers configures the backend servers. New sets its clock.
	Servers  backend.Options
	Accounts []Account
	// RoutesSection is the text of the configuration's section of the routes.
	RoutesSection string
	// OperatorsSection is the text of the section of the operators; it is left out when
	// empty.
	OperatorsSection string
	// ExternalVMs makes New start no VM, for VMs that run as processes of their own.
	ExternalVMs bool
	// Trace records the spans of every VM; nil records none.
	Trace *trace.Tracer
	// ExchangeFunc, unless nil, wraps each exchange between an entry proxy and a holder.
	ExchangeFunc func(inner.Exchange) inner.Exchange
	// Log gets the log of every VM; nil discards it.
	Log *log.Logger
}

// System is a running installation.
type System struct {
	Platform *standin.Platform
	// Groups holds the group of each database by name.
	Groups map[string]*backend.Group
	// VMs holds the VMs. It has no lock: no other use may overlap StartVM, KillVM or
	// DrainVM.
	VMs         []*vm.VM
	Store       platform.Store
	options     Options
	clock       clock.Clock
	authority   *keys.Authority
	cancelFuncs map[string]context.CancelFunc
}

const (
	// platformTimeout bounds a request to the platform, in milliseconds.
	platformTimeout = 2 * clock.Second
	// Timeout bounds the wait until an installation is ready, in milliseconds. Callers
	// of Wait use it as the timeout there too.
	Timeout = 10 * clock.Second
)

// New starts an installation, which runs until ctx ends, and waits until it is ready
// as in WaitReady. With ExternalVMs it does not wait.
func New(ctx context.Context, o Options) (*System, error) {
	if o.Log == nil {
		o.Log = log.New(io.Discard)
	}
	s := &System{options: o, clock: clock.System(), Groups: map[string]*backend.Group{}, cancelFuncs: map[string]context.CancelFunc{}}
	var err error
	if s.Platform, err = standin.New(ctx); err != nil {
		return nil, err
	}
	s.Store = platform.NewStore(s.Platform.URL(), platformTimeout)
	if s.authority, err = keys.NewAuthority(); err != nil {
		return nil, err
	}
	if err := s.startGroups(ctx); err != nil {
		return nil, err
	}
	if err := s.applyConfiguration(ctx); err != nil {
		return nil, err
	}
	if o.ExternalVMs {
		return s, nil
	}
	for i, place := range o.Places {
		if _, err := s.StartVM(ctx, fmt.Sprintf("vm%d", i+1), place); err != nil {
			return nil, err
		}
	}
	return s, s.WaitReady(ctx)
}

// startGroups starts the database groups, each with a server for each place but at
// most three.
func (s *System) startGroups(ctx context.Context) error {
	s.options.Servers.Clock = s.clock
	for _, name := range s.options.Databases {
		names := make([]string, 0, len(s.options.Places))
		for i := range min(len(s.options.Places), 3) {
			names = append(names, fmt.Sprintf("%s-%d", name, i+1))
		}
		g, err := backend.NewGroup(ctx, name, names, s.options.Servers)
		if err != nil {
			return err
		}
		s.Groups[name] = g
	}
	return nil
}

// applyConfiguration stores the first version of the configuration.
func (s *System) applyConfiguration(ctx context.Context) error {
	accounts, err := AccountsSection(s.options.Accounts)
	if err != nil {
		return err
	}
	texts := map[string]string{
		document.SectionDatabases: s.databasesSection(),
		document.SectionAccounts:  accounts,
		document.SectionRoutes:    s.options.RoutesSection,
	}
	if s.options.OperatorsSection != "" {
		texts[document.SectionOperators] = s.options.OperatorsSection
	}
	_, err = configuration.Apply(ctx, s.Store, configuration.Change{RequestID: "first", Time: time.Now(), Texts: texts})
	return err
}

// databasesSection returns the section of the databases, with the servers assigned to
// the places in turn.
func (s *System) databasesSection() string {
	var b strings.Builder
	b.WriteString("databases:\n")
	for _, name := range s.options.Databases {
		fmt.Fprintf(&b, "  - name: %s\n    servers:\n", name)
		for i, v := range s.Groups[name].Servers() {
			place := s.options.Places[i%len(s.options.Places)]
			fmt.Fprintf(&b, "      - {name: %s, address: %q, zone: %s, region: %s, slots: %d, connections: %d}\n",
				v.Name(), v.Address(), place.Zone, place.Region, s.options.Servers.Slots, s.options.Servers.Connections)
		}
	}
	return b.String()
}

// AccountsSection returns the section of the client accounts, with a verifier for each
// key.
func AccountsSection(accounts []Account) (string, error) {
	var b strings.Builder
	b.WriteString("accounts:\n")
	for _, a := range accounts {
		salt := make([]byte, verifier.SaltSize)
		if _, err := rand.Read(salt); err != nil {
			return "", err
		}
		stored, err := verifier.New(a.Key, salt)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "  - name: %s\n    rate: %g\n    burst: %g\n    weight: %d\n    keys:\n      - {id: k1, verifier: %q}\n", a.Name, a.Rate, a.Burst, a.Weight, stored)
	}
	return b.String(), nil
}

// IssueKeys returns new keys for the VM called name, signed by the installation's
// authority.
func (s *System) IssueKeys(name string) (keys.Material, error) { return s.authority.Issue(name) }

// StartVM starts a VM and adds it to VMs and to the platform's list.
func (s *System) StartVM(ctx context.Context, name string, place Place) (*vm.VM, error) {
	material, err := s.authority.Issue(name)
	if err != nil {
		return nil, err
	}
	keyRing, err := keys.NewKeyring(material)
	if err != nil {
		return nil, err
	}
	ctx, s.cancelFuncs[name] = context.WithCancel(ctx)
	callerDefaults := settings.Default().Callers
	v, err := vm.Start(ctx, vm.Options{
		Name: name, Zone: place.Zone, Region: place.Region, Listen: "127.0.0.1:0", Inner: "127.0.0.1:0", Operator: "127.0.0.1:0",
		User: "proxy", Keyring: keyRing, Store: platform.NewStore(s.Platform.URL(), platformTimeout), Clock: s.clock, Log: s.options.Log,
		Limits:     caller.Limits{MaxMessage: callerDefaults.MaxMessageSize, StartupTimeout: callerDefaults.StartupTimeout, WriteTimeout: callerDefaults.WriteTimeout},
		MaxCallers: callerDefaults.MaxConnections, IdleTimeout: callerDefaults.IdleInTransactionTimeout, Trace: s.options.Trace,
		ExchangeFunc: s.options.ExchangeFunc,
	})
	if err != nil {
		return nil, err
	}
	s.VMs = append(s.VMs, v)
	s.Platform.SetVM(v.Self())
	return v, nil
}

// StopVM ends a VM at once. It stays in VMs and on the platform's list.
func (s *System) StopVM(name string) { s.cancelFuncs[name]() }

// KillVM ends a VM at once, as a crash does, and removes it from VMs. It also removes the
// VM from the platform's list, as the platform does soon after a crash.
func (s *System) KillVM(name string) {
	s.StopVM(name)
	s.VMs = slices.DeleteFunc(slices.Clone(s.VMs), func(v *vm.VM) bool { return v.Self().Name == name })
	s.Platform.RemoveVM(name)
}

// DrainVM takes a VM out of service as planned: the platform lists it as leaving, it
// drains and stops, and the platform takes it off the list. It returns the error of
// the drain.
func (s *System) DrainVM(ctx context.Context, name string) error {
	i := slices.IndexFunc(s.VMs, func(v *vm.VM) bool { return v.Self().Name == name })
	v := s.VMs[i]
	self := v.Self()
	self.Leaving = true
	s.Platform.SetVM(self)
	s.VMs = slices.Delete(slices.Clone(s.VMs), i, i+1)
	err := v.Drain(ctx)
	s.StopVM(name)
	<-v.Done()
	s.Platform.RemoveVM(name)
	return err
}

// WaitReady waits until every VM has a configuration and knows the others, and every
// backend server has a holder. Timeout bounds the wait.
func (s *System) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, Timeout.Duration())
	defer cancel()
	for !s.isReady() {
		if err := s.clock.Sleep(ctx, 5); err != nil {
			return errors.Wrap(err, "the installation did not become ready")
		}
	}
	return nil
}

func (s *System) isReady() bool {
	heldServers := 0
	for _, v := range s.VMs {
		status := v.Status()
		if status.Version == 0 || len(status.Members) < len(s.VMs) {
			return false
		}
		for _, h := range status.Holdings {
			if h.Held {
				heldServers++
			}
		}
	}
	serverCount := 0
	for _, g := range s.Groups {
		serverCount += len(g.Servers())
	}
	return heldServers >= serverCount
}

// DSN returns the connection string of a database at a VM for an account.
func (s *System) DSN(v *vm.VM, account, key, database string) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable&connect_timeout=5", account, key, v.Address(), database)
}

// Wait waits until the platform, the groups and the VMs in VMs have stopped, and returns
// an error after timeout. The context that New got must have ended.
func (s *System) Wait(timeout time.Duration) error {
	t := time.NewTimer(timeout)
	defer t.Stop()
	doneChans := []<-chan struct{}{s.Platform.Done()}
	for _, v := range s.VMs {
		doneChans = append(doneChans, v.Done())
	}
	for _, g := range s.Groups {
		doneChans = append(doneChans, g.Done())
	}
	for _, done := range doneChans {
		select {
		case <-done:
		case <-t.C:
			return errors.New("a part of the installation did not stop")
		}
	}
	return nil
}
