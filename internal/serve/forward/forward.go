// Package forward lets one VM run statements on connections that another VM
// holds. A connection to a backend server serves one client account and is
// expensive to open, so a few VMs near the server hold the connections of an
// account (member.Holders). The other VMs send their callers' statements there,
// on one stream for each statement or transaction.
//
// A holder that sends nothing while it runs a statement is suspected and passed
// over for a time. This package retries nothing: a caller that retries a
// statement calls Remote again, which passes over a suspected holder.
package forward

import (
	"context"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/trace"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/regions"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
)

const (
	// maxHolderCandidates is the number of holders that are considered before the
	// reserves.
	maxHolderCandidates = 2
	// openTimeout bounds the opening of a stream, in milliseconds.
	openTimeout = clock.Millis(250)
	// workingInterval is the time between two KindWorking frames of a holder
	// that runs a statement, in milliseconds.
	workingInterval = clock.Millis(100)
	// silenceTimeout bounds the time in milliseconds without a frame from a
	// holder.
	silenceTimeout = clock.Millis(350)
	// writeSilenceTimeout is the same after a write was sent. It is longer,
	// since the outcome of the write becomes unknown when it expires.
	writeSilenceTimeout = clock.Millis(900)
	// minSuspicion is how long a holder is passed over after it has not
	// answered, in milliseconds. Each further suspicion doubles the time, up to
	// maxSuspicion; a frame from the holder resets it.
	minSuspicion = clock.Millis(500)
	maxSuspicion = 8 * clock.Second
	// unreachablePause is how long a holder is passed over for a server that it
	// cannot use, in milliseconds.
	unreachablePause = clock.Millis(700)
	// stoppingPause is how long a holder that is stopping is passed over for a
	// server, in milliseconds.
	stoppingPause = 3 * clock.Second
	// reconnectSilence is the time since the last frame from a holder after
	// which a suspicion also closes the connection to it, in milliseconds.
	reconnectSilence = clock.Millis(1500)
)

// Options configures a Forwarder.
type Options struct {
	// Self is the name of this VM.
	Self  string
	Clock clock.Clock
	Log   *log.Logger
	Trace *trace.Tracer
	// HoldersFunc returns the VMs that hold the connections of an account to a
	// server, best first.
	HoldersFunc func(s database.Server, account string) []member.VM
	// ReservesFunc returns the VMs that may use connections of their own while no holder
	// answers, best first.
	ReservesFunc func(s database.Server, account string) []member.VM
	// OpenFunc opens a stream to a VM. DropFunc closes the connection to it, so
	// that the next stream opens a new one.
	OpenFunc func(ctx context.Context, v member.VM) (inner.Exchange, error)
	DropFunc func(v member.VM)
}

// Forwarder sends statements to other VMs. Its methods may be called
// concurrently.
type Forwarder struct {
	options   Options
	forwarded *metrics.Counter
	silences  *metrics.Counter
	// unserved counts the statements that no holder or reserve could be asked to run.
	unserved *metrics.Counter

	mu sync.Mutex
	// holders is the state of each holder by name.
	holders map[string]holderState
	// skippedUntil is the time until which a holder is passed over for one
	// server.
	skippedUntil map[holderServer]clock.Millis
}

// holderState is what this VM knows of a holder. The zero value is that of a
// holder that is not suspected.
type holderState struct {
	// lastReceived is the time of the last frame from the holder.
	lastReceived clock.Millis
	// suspectedUntil is the time until which the holder is passed over for
	// every server.
	suspectedUntil clock.Millis
	// suspicion is how long the holder was passed over the last time, in
	// milliseconds.
	suspicion clock.Millis
}

// holderServer is the pair of a holder and a server.
type holderServer struct{ vm, server string }

// New returns a forwarder.
func New(o Options) *Forwarder {
	return &Forwarder{
		options: o, holders: map[string]holderState{}, skippedUntil: map[holderServer]clock.Millis{},
		forwarded: metrics.GetOrCreateCounter("sycamoredoor_forwarded_total"),
		silences:  metrics.GetOrCreateCounter("sycamoredoor_holders_silent_total"),
		unserved:  metrics.GetOrCreateCounter("sycamoredoor_holders_unusable_total"),
	}
}

// Remote returns a connection of a VM that holds those of the account, or nil
// when this VM must use one of its own. While no holder answers, a reserve takes its
// place. The holder is contacted when the first statement runs. Only one goroutine may use
// the connection. Other VMs outside the allowed regions are skipped; the error is
// database.ErrNoVMAllowed if that leaves none and this VM is neither a holder nor a reserve.
func (f *Forwarder) Remote(ctx context.Context, request database.ConnRequest) (*database.RemoteConn, error) {
	candidates, err := f.candidates(request)
	if err != nil {
		return nil, err
	}
	v, ok := f.choose(candidates, request.Server.ID)
	if !ok {
		f.unserved.Inc()
		return nil, nil
	}
	if v.Name == f.options.Self {
		return nil, nil
	}
	s := &stream{forwarder: f, ctx: ctx, vm: v, request: request}
	return &database.RemoteConn{VM: v.Name, Region: v.Region, RunFunc: s.run, CloseFunc: s.close}, nil
}

// candidates returns the VMs that may run a statement, in the order in which they are considered:
// the first holders, then the reserves, unless this VM is one of them. The error is
// database.ErrNoVMAllowed.
func (f *Forwarder) candidates(request database.ConnRequest) ([]member.VM, error) {
	holders := f.options.HoldersFunc(request.Server, request.Requester.Account)
	reserves := f.options.ReservesFunc(request.Server, request.Requester.Account)
	if allowed := request.Requester.Regions; !allowed.IsAll() {
		holders, reserves = f.within(allowed, holders), f.within(allowed, reserves)
		if len(holders)+len(reserves) == 0 {
			return nil, database.ErrNoVMAllowed
		}
	}
	candidates := slices.Clone(holders[:min(len(holders), maxHolderCandidates)])
	if slices.ContainsFunc(reserves, func(v member.VM) bool { return v.Name == f.options.Self }) {
		reserves = nil
	}
	return append(candidates, reserves...), nil
}

// choose returns the first candidate that is this VM or can be used for a server, and false if
// there is none, so that this VM must use its own connections.
func (f *Forwarder) choose(candidates []member.VM, server string) (member.VM, bool) {
	for _, v := range candidates {
		if v.Name == f.options.Self || f.usable(v.Name, server) {
			return v, true
		}
	}
	return member.VM{}, false
}

// within returns those of the VMs that may receive a statement: this VM, to which the caller is
// connected, and those in allowed regions.
func (f *Forwarder) within(allowed regions.Allowed, vms []member.VM) []member.VM {
	out := make([]member.VM, 0, len(vms))
	for _, v := range vms {
		if v.Name == f.options.Self || allowed.Contains(v.Region) {
			out = append(out, v)
		}
	}
	return out
}

// usable reports whether a holder is neither suspected nor skipped for the
// server.
func (f *Forwarder) usable(vm, server string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	return now >= f.holders[vm].suspectedUntil && now >= f.skippedUntil[holderServer{vm, server}]
}

// recordFrame records that a frame was received from a holder, which ends its
// suspicion.
func (f *Forwarder) recordFrame(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holders[vm] = holderState{lastReceived: f.options.Clock.Now()}
}

// suspect passes over a holder that did not answer, with exponential backoff.
// It closes the connection to a holder whose last frame is reconnectSilence old.
// Calls for a holder that is suspected already are only counted, so that several
// streams that fail together cause one suspicion.
func (f *Forwarder) suspect(v member.VM, cause error) {
	f.silences.Inc()
	f.mu.Lock()
	now := f.options.Clock.Now()
	s := f.holders[v.Name]
	suspected := now < s.suspectedUntil
	if !suspected {
		s.suspicion = min(max(2*s.suspicion, minSuspicion), maxSuspicion)
		s.suspectedUntil = now + s.suspicion
	}
	drop := now-s.lastReceived >= reconnectSilence
	f.holders[v.Name] = s
	f.mu.Unlock()
	if suspected {
		return
	}
	f.options.Log.Info("holder suspected", "vm", v.Name, "for_ms", int64(s.suspicion), "err", cause)
	if drop {
		f.options.DropFunc(v)
	}
}

// skip passes over a holder for a server that it cannot use now, for pause
// milliseconds.
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

// reasonErrors maps each reason with which a holder refuses a statement to an
// error. The holder sends the reason for its error, and the sender turns the
// reason back into that error.
var reasonErrors = map[inner.UnsentReason]error{
	inner.ReasonPoolTimeout: database.ErrPoolTimeout, inner.ReasonTooManyConnections: database.ErrTooManyConnections, inner.ReasonUnreachable: database.ErrUnreachable,
	inner.ReasonUnknownServer: database.ErrUnknownServer, inner.ReasonNoPrimary: database.ErrNoPrimary, inner.ReasonStopping: errStopping,
	inner.ReasonSessionSetup: errSetup, inner.ReasonEvacuated: database.ErrServerEvacuated,
}

// reasonNames names the reasons in metrics.
var reasonNames = map[inner.UnsentReason]string{
	inner.ReasonPoolTimeout: "nofreeconnection", inner.ReasonTooManyConnections: "overcap", inner.ReasonUnreachable: "unreachable",
	inner.ReasonUnknownServer: "unknownserver", inner.ReasonNoPrimary: "noprimary", inner.ReasonStopping: "stopping", inner.ReasonSessionSetup: "setup",
	inner.ReasonEvacuated: "evacuated",
}

var (
	errStopping     = errors.New("the VM that holds the connection is to stop")
	errSetup        = errors.New("the session could not be set up at the backend server")
	errUnresponsive = errors.New("the VM that holds the connection does not answer")
)

// reasonOf returns the reason to send for an error: ReasonUnreachable unless
// reasonErrors has it.
func reasonOf(err error) inner.UnsentReason {
	if errors.Is(err, database.ErrEvacuated) {
		return inner.ReasonEvacuated
	}
	for r, e := range reasonErrors {
		if errors.Is(err, e) {
			return r
		}
	}
	return inner.ReasonUnreachable
}
