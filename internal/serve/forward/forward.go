// Package forward lets one VM run statements on connections that another VM holds.
// A connection to a backend server serves one client account and is dear to open,
// so that few VMs near a server keep those of an account (member.Holders); every
// other VM sends its callers' statements there, on one stream for each operation.
//
// A holder that says nothing while a statement is with it is passed over for a
// time: what may run twice goes to the next one at once.
package forward

import (
	"context"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/trace"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
)

const (
	// maxHolderAttempts is the number of holders that are tried before a VM uses a
	// connection of its own.
	maxHolderAttempts = 2
	// openTimeout bounds the opening of a stream, in milliseconds.
	openTimeout = clock.Millis(250)
	// workingInterval is the pause between two signs of a holder that it is at work.
	workingInterval = clock.Millis(100)
	// silenceTimeout is how long a holder may say nothing, in milliseconds.
	silenceTimeout = clock.Millis(350)
	// writeSilenceTimeout is the same once a write was sent, whose end would be unknown.
	writeSilenceTimeout = clock.Millis(900)
	// minSuspicion is how long a silent holder is passed over; it doubles with each
	// further time in a row, up to suspectMost.
	minSuspicion = clock.Millis(500)
	maxSuspicion = 8 * clock.Second
	// unreachablePause is how long a holder that cannot reach a server is passed over for it.
	unreachablePause = clock.Millis(700)
	// stoppingPause is how long a holder that is to stop is passed over.
	stoppingPause = 3 * clock.Second
	// reconnectSilence is the silence from which the connection to a holder is opened anew.
	reconnectSilence = clock.Millis(1500)
)

// Options makes a forwarder.
type Options struct {
	Self  string
	Clock clock.Clock
	Log   *log.Logger
	Trace *trace.Tracer
	// HoldersFunc returns the VMs that hold the connections of an account to a
	// server, best first.
	HoldersFunc func(s database.Server, account string) []member.VM
	// OpenFunc opens a stream to a VM, DropFunc has the connection to it opened anew.
	OpenFunc func(ctx context.Context, v member.VM) (inner.Exchange, error)
	DropFunc func(v member.VM)
}

// Forwarder sends statements to other VMs.
type Forwarder struct {
	options   Options
	forwarded *metrics.Counter
	silences  *metrics.Counter

	mu sync.Mutex
	// holders is what is known of holders, and away until when one is passed over for a server.
	holders      map[string]holderState
	skippedUntil map[holderServer]clock.Millis
}

// holderState is what is known of a holder.
type holderState struct {
	// lastReceived is the moment of its last sign, and until that up to which it is passed over.
	lastReceived   clock.Millis
	suspectedUntil clock.Millis
	// suspicion is the length of the last time that it was passed over.
	suspicion clock.Millis
}

// holderServer is a holder of a server.
type holderServer struct{ vm, server string }

// New returns a forwarder.
func New(o Options) *Forwarder {
	return &Forwarder{
		options: o, holders: map[string]holderState{}, skippedUntil: map[holderServer]clock.Millis{},
		forwarded: metrics.GetOrCreateCounter("sycamoredoor_forwarded_total"),
		silences:  metrics.GetOrCreateCounter("sycamoredoor_holders_silent_total"),
	}
}

// Remote returns a connection of the VM that holds those of the account, or nil
// when this VM is to use one of its own.
func (f *Forwarder) Remote(ctx context.Context, a database.ConnRequest) *database.RemoteConn {
	vms := f.options.HoldersFunc(a.Server, a.Requester.Account)
	for _, v := range vms[:min(len(vms), maxHolderAttempts)] {
		if v.Name == f.options.Self {
			return nil
		}
		if f.usable(v.Name, a.Server.ID) {
			s := &stream{forwarder: f, ctx: ctx, vm: v, ask: a}
			return &database.RemoteConn{RunFunc: s.run, CloseFunc: s.close}
		}
	}
	return nil
}

func (f *Forwarder) usable(vm, server string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	return now >= f.holders[vm].suspectedUntil && now >= f.skippedUntil[holderServer{vm, server}]
}

// recordFrame notes a sign of a holder.
func (f *Forwarder) recordFrame(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holders[vm] = holderState{lastReceived: f.options.Clock.Now()}
}

// suspect has a holder passed over that said nothing.
func (f *Forwarder) suspect(v member.VM, cause error) {
	f.silences.Inc()
	f.mu.Lock()
	now := f.options.Clock.Now()
	s := f.holders[v.Name]
	known := now < s.suspectedUntil
	if !known {
		s.suspicion = min(max(2*s.suspicion, minSuspicion), maxSuspicion)
		s.suspectedUntil = now + s.suspicion
	}
	drop := now-s.lastReceived >= reconnectSilence
	f.holders[v.Name] = s
	f.mu.Unlock()
	if known {
		return
	}
	f.options.Log.Info("holder passed over", "vm", v.Name, "for_ms", int64(s.suspicion), "err", cause)
	if drop {
		f.options.DropFunc(v)
	}
}

// skip has a holder passed over for a server, since it cannot use it now.
func (f *Forwarder) skip(vm, server string, pause clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	for p, until := range f.skippedUntil {
		if now >= until {
			delete(f.skippedUntil, p)
		}
	}
	f.skippedUntil[holderServer{vm, server}] = now + pause
}

// reasonErrors are the errors that stand for the reasons of a holder.
var reasonErrors = map[inner.UnsentReason]error{
	inner.ReasonPoolTimeout: database.ErrPoolTimeout, inner.ReasonTooManyConnections: database.ErrTooManyConnections, inner.ReasonUnreachable: database.ErrUnreachable,
	inner.ReasonUnlisted: database.ErrUnlisted, inner.ReasonNoPrimary: database.ErrNoPrimary, inner.ReasonStopping: errStopping,
	inner.ReasonSessionSetup: errSetup,
}

var (
	errStopping     = errors.New("the VM that holds the connection is to stop")
	errSetup        = errors.New("the session could not be set up at the backend server")
	errUnresponsive = errors.New("the VM that holds the connection does not answer")
)

// reasonOf returns the reason that stands for an error.
func reasonOf(err error) inner.UnsentReason {
	for r, e := range reasonErrors {
		if errors.Is(err, e) {
			return r
		}
	}
	return inner.ReasonUnreachable
}
