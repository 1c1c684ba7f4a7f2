// Package vm runs one VM of the proxy: it connects the entry proxy, the holders, the
// observers, the limiter, the membership and the operators' HTTP server.
package vm

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/trace"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/pace"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/caller"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/peer"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/platform"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/entry"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/limit"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/membership"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/keys"
)

// Options configures a VM.
type Options struct {
	Name   string
	Zone   member.Zone
	Region string
	// Listen is the IP:port for callers, Inner that for other VMs and Operator that for
	// operators.
	Listen   string
	Inner    string
	Operator string
	// User and Password are the proxy's own credentials at backend servers.
	User     string
	Password string
	Keyring  *keys.Keyring
	Store    platform.Store
	Clock    clock.Clock
	Log      *log.Logger
	Limits   caller.Limits
	// MaxCallers is the largest number of callers.
	MaxCallers int
	// IdleTimeout is how long a caller may stay silent within a message, an unfinished
	// batch or an open transaction before it is disconnected, in milliseconds.
	IdleTimeout clock.Millis
	// Peers holds the addresses, IP:port, of VMs to get the configuration from when this
	// VM starts while the platform is down.
	Peers []string
	// TLS is nil when callers connect without TLS.
	TLS *tls.Config
	// OperatorTLS is nil when operators connect without TLS.
	OperatorTLS *tls.Config
	// BootstrapToken is the token that may edit the configuration as long as the
	// configuration names no operator.
	BootstrapToken string
	// Trace records spans; nil records none.
	Trace *trace.Tracer
	// Link bounds what this VM sends to each other region; a rate of 0 sets no bound.
	Link pace.Link
	// ExchangeFunc, unless nil, wraps each exchange between the entry proxy and the
	// holders. It is for trials that force faults; no setting sets it.
	ExchangeFunc func(inner.Exchange) inner.Exchange
}

// VM is a running VM.
type VM struct {
	options          Options
	self             member.VM
	transport        *peer.Transport
	callerListener   net.Listener
	operatorListener net.Listener
	entry            *entry.Entry
	holders          *holders
	observers        *observers
	membership       *membership.Membership
	limiter          *limit.Limiter
	// changed wakes followChanges.
	changed chan struct{}
	// sendingBeats counts the heartbeats that are being sent.
	sendingBeats sync.WaitGroup
	done         chan struct{}
}

// Start listens on the VM's addresses and serves until the context ends.
func Start(ctx context.Context, o Options) (*VM, error) {
	v := &VM{options: o, changed: make(chan struct{}, 1), done: make(chan struct{})}
	if err := v.listen(); err != nil {
		return nil, err
	}
	v.self = member.VM{Name: o.Name, Zone: o.Zone, Region: o.Region, Address: v.transport.Address(), Operator: v.OperatorURL()}
	v.membership = membership.New(membership.Options{
		Self: v.self, Clock: o.Clock, Store: o.Store, Log: o.Log, Peers: o.Peers,
		SendFunc:    v.sendBeat,
		AskFunc:     v.askAt,
		ChangedFunc: func(context.Context) { v.signalChange() },
	})
	v.holders = newHolders(v)
	v.observers = newObservers(v)
	v.limiter = limit.New(limit.Options{
		VM: v.self, Clock: o.Clock,
		MembersFunc:  v.membership.MemberSet,
		AcceptedFunc: v.membership.AcceptedRevision,
		DocumentFunc: v.membership.Document,
		AskFunc:      v.askMember,
	})
	v.entry = entry.New(entry.Options{
		VM: v.self, Clock: o.Clock, Limits: o.Limits, MaxCallers: o.MaxCallers, IdleTimeout: o.IdleTimeout, TLS: o.TLS, Trace: o.Trace,
		DocumentFunc:    v.membership.Document,
		OpenFunc:        v.openWrapped,
		FloorFunc:       v.askFloor,
		RecordFloorFunc: v.recordFloor,
		CancelFunc:      v.forwardCancel,
		LimitFunc:       v.limiter.Take,
	})
	go v.run(ctx)
	return v, nil
}

func (v *VM) listen() error {
	var err error
	if v.transport, err = peer.Listen(v.options.Inner, v.options.Keyring, peer.Options{Clock: v.options.Clock, Region: v.options.Region, Link: v.options.Link}); err != nil {
		return err
	}
	if v.callerListener, err = net.Listen("tcp", v.options.Listen); err != nil {
		return errors.Wrap(err, "address for callers")
	}
	if v.operatorListener, err = net.Listen("tcp", v.options.Operator); err != nil {
		return errors.Wrap(err, "address for operators")
	}
	if v.options.OperatorTLS != nil {
		v.operatorListener = tls.NewListener(v.operatorListener, v.options.OperatorTLS)
	}
	return nil
}

// Self returns the VM's name, zone, region and addresses as other VMs get them.
func (v *VM) Self() member.VM { return v.self }

// Address returns the IP:port on which callers connect.
func (v *VM) Address() string { return v.callerListener.Addr().String() }

// OperatorURL returns the base URL of the operators' HTTP server.
func (v *VM) OperatorURL() string {
	scheme := "http://"
	if v.options.OperatorTLS != nil {
		scheme = "https://"
	}
	return scheme + v.operatorListener.Addr().String()
}

// Entry returns the VM's entry proxy.
func (v *VM) Entry() *entry.Entry { return v.entry }

// Version returns the version of the configuration that the VM has, or 0.
func (v *VM) Version() uint64 { return v.membership.Version() }

// Membership returns the VM's membership.
func (v *VM) Membership() *membership.Membership { return v.membership }

// Done is closed once the VM no longer serves and its observers and holders have ended.
// Some that it gave up earlier may still be ending.
func (v *VM) Done() <-chan struct{} { return v.done }

func (v *VM) run(ctx context.Context) {
	defer close(v.done)
	var tasks sync.WaitGroup
	start := func(f func()) {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			f()
		}()
	}
	start(func() {
		v.transport.Serve(ctx, peer.Handlers{StreamFunc: v.acceptStream, DatagramFunc: v.membership.Receive})
	})
	start(func() { v.membership.Run(ctx) })
	start(func() { v.limiter.Run(ctx) })
	start(func() { v.followChanges(ctx) })
	start(func() { v.entry.Run(ctx, v.callerListener) })
	start(func() { v.serveOperators(ctx) })
	tasks.Wait()
	v.sendingBeats.Wait()
	v.observers.stop()
	v.holders.stop()
}

// headerTimeout bounds the reading of a request's headers from an operator.
const headerTimeout = 10 * time.Second

func (v *VM) serveOperators(ctx context.Context) {
	s := &http.Server{Handler: v.operatorHandler(), ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(v.operatorListener); !errors.Is(err, http.ErrServerClosed) {
		v.options.Log.Error("serving operators failed", "err", err)
	}
}
