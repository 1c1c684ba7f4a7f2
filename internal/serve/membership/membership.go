// Package membership keeps one VM synchronized with the others. It exchanges
// heartbeats, distributes the configuration down the relay tree, reconciles the member
// set with the platform's list of VMs, and determines whether the VM may act on its
// configuration.
package membership

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/heartbeat"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/platform"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/configuration"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// Options configures a membership.
type Options struct {
	Self  member.VM
	Clock clock.Clock
	Store platform.Store
	Log   *log.Logger
	// Peers holds the addresses, IP:port, of VMs to ask for the configuration while this
	// VM knows no address of its relay or, at a root, of another root. With them it can
	// start while the platform is down.
	Peers []string
	// SendFunc sends a datagram, which may be lost.
	SendFunc func(ctx context.Context, address string, body []byte)
	// AskFunc puts a question to the VM at an address.
	AskFunc func(ctx context.Context, address string, q inner.Question) (inner.Answer, error)
	// ChangedFunc is called after a later revision was adopted or the result of Alive may
	// have changed.
	ChangedFunc func(ctx context.Context)
}

// Membership runs this VM's side of the heartbeats and holds the configuration that the VM
// has. It is safe for concurrent use.
type Membership struct {
	options  Options
	counters counters
	done     chan struct{}
	// fetchWakeup starts a fetch of a later revision.
	fetchWakeup chan struct{}
	// bundle is nil before the first revision.
	bundle atomic.Pointer[configuration.Bundle]
	// canActUntil is the time until which the VM may act, and alive the result of Alive.
	// They are read without the lock.
	canActUntil atomic.Int64
	alive       atomic.Pointer[[]member.VM]

	mu    sync.Mutex
	state heartbeat.State
	// addresses holds the addresses that VMs have given in heartbeats, by name.
	addresses map[string]string
	// acceptedVersion is a version of the operators' document, not a revision.
	acceptedVersion uint64
	// ctx is nil until Run is called.
	ctx context.Context
}

// New returns a membership that exchanges heartbeats once Run is called.
func New(o Options) *Membership {
	m := &Membership{
		options: o, counters: newCounters(o.Self.Name), done: make(chan struct{}), fetchWakeup: make(chan struct{}, 1),
		state: heartbeat.New(o.Self, o.Clock.Now()), addresses: map[string]string{},
	}
	m.canActUntil.Store(int64(heartbeat.DistantPast))
	m.alive.Store(&[]member.VM{o.Self})
	return m
}

// Done is closed once Run has ended.
func (m *Membership) Done() <-chan struct{} { return m.done }

// CanAct reports whether the VM may act on its configuration now: a recent confirmation
// shows that its revision is the newest.
func (m *Membership) CanAct() bool {
	return int64(m.options.Clock.Now()) < m.canActUntil.Load()
}

// Document returns the configuration that the VM may act on now, or nil if it may not act.
func (m *Membership) Document() *document.Document {
	if b := m.bundle.Load(); b != nil && m.CanAct() {
		return b.Document
	}
	return nil
}

// Latest returns the configuration that the VM has, whether or not it may act on it. It is
// nil before the first.
func (m *Membership) Latest() *document.Document {
	if b := m.bundle.Load(); b != nil {
		return b.Document
	}
	return nil
}

// Version returns the version of the operators' document that the VM has, or 0.
func (m *Membership) Version() uint64 {
	if b := m.bundle.Load(); b != nil {
		return b.Record.Version
	}
	return 0
}

// AcceptedVersion returns the highest version of the operators' document for which it is
// known that no VM acts on an earlier one any more.
func (m *Membership) AcceptedVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.acceptedVersion
}

// Revision returns the revision of the configuration record that the VM has, or 0.
func (m *Membership) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Version()
}

// AcceptedRevision returns the highest revision for which it is known that no VM acts on an
// earlier one any more.
func (m *Membership) AcceptedRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.AcceptedVersion()
}

// MemberSet returns the revision that the VM has, the member set of that revision, and
// whether the VM may act.
func (m *Membership) MemberSet() (uint64, []member.VM, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Version(), m.state.Members(), m.state.CanAct(m.options.Clock.Now())
}

// Alive returns the VMs that may hold backend servers: the members that are not suspected,
// each with the address that it last gave. Before the first member set it returns the VM
// itself. The caller must not change the list.
func (m *Membership) Alive() []member.VM { return *m.alive.Load() }

// AllMembers returns every member, including the suspected ones. Before the first member
// set it returns the VM itself.
func (m *Membership) AllMembers() []member.VM {
	if _, members, _ := m.MemberSet(); len(members) > 0 {
		return members
	}
	return []member.VM{m.options.Self}
}

// publishLocked updates the results of CanAct, AcceptedVersion and Alive. The caller holds
// the lock.
func (m *Membership) publishLocked() {
	m.canActUntil.Store(int64(m.state.CanActUntil()))
	if b := m.bundle.Load(); b != nil && m.state.AcceptedVersion() >= b.Record.Revision {
		m.acceptedVersion = max(m.acceptedVersion, b.Record.Version)
	}
	out := m.state.Alive()
	if len(out) == 0 {
		out = []member.VM{m.options.Self}
	}
	for i, v := range out {
		if a := m.addresses[v.Name]; a != "" {
			out[i].Address = a
		}
	}
	if !slices.Equal(out, *m.alive.Load()) {
		m.alive.Store(&out)
	}
}

// Receive handles a datagram from the VM of that name. It ignores messages that are
// malformed or name another sender.
func (m *Membership) Receive(name string, datagram []byte) {
	f, err := inner.Unpack(datagram)
	if err != nil {
		return
	}
	switch f.Kind {
	case inner.KindBeat:
		var b heartbeat.Beat
		if inner.Decode(f, &b) == nil && b.From == name {
			m.recordAddress(b)
			m.step(func(n heartbeat.State, now clock.Millis) (heartbeat.State, []heartbeat.Message) {
				return n.OnBeat(b, now)
			})
		}
	case inner.KindBeatAnswer:
		var a heartbeat.Answer
		if inner.Decode(f, &a) == nil && a.From == name {
			m.step(func(n heartbeat.State, now clock.Millis) (heartbeat.State, []heartbeat.Message) {
				return n.OnAnswer(a, now), nil
			})
		}
	}
}

// recordAddress records the address that a sender gives because it differs from the one in
// the member set, and removes the record when the sender gives none.
func (m *Membership) recordAddress(b heartbeat.Beat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b.Address == "" {
		delete(m.addresses, b.From)
		return
	}
	m.addresses[b.From] = b.Address
}

// step applies an event to the heartbeat state and sends the messages that result. It
// announces a revision that has become known or accepted, starts a fetch while this VM lacks
// the newest one, and calls ChangedFunc when the result of Alive may have changed. Before
// Run it neither sends nor calls ChangedFunc.
func (m *Membership) step(event func(heartbeat.State, clock.Millis) (heartbeat.State, []heartbeat.Message)) {
	m.mu.Lock()
	old := m.state
	state, messages := event(old, m.options.Clock.Now())
	m.state = state
	m.publishLocked()
	if state.NewestVersion() > old.NewestVersion() || state.AcceptedVersion() > old.AcceptedVersion() {
		messages = append(messages, state.Notices()...)
	}
	addresses := m.addressesOf(messages)
	ctx := m.ctx
	m.mu.Unlock()
	invariant.Check(state.Version() >= old.Version() && state.AcceptedVersion() >= old.AcceptedVersion(), invariant.ConfigForward,
		"version %d came after %d", state.Version(), old.Version())
	m.counters.observe(state)
	if state.NewestVersion() > state.Version() {
		m.wakeFetch()
	}
	if ctx == nil {
		return
	}
	m.send(ctx, messages, addresses)
	if state.AliveRevision() != old.AliveRevision() {
		m.options.ChangedFunc(ctx)
	}
}

func (m *Membership) wakeFetch() {
	select {
	case m.fetchWakeup <- struct{}{}:
	default:
	}
}

// addressesOf returns the address of each message's receiver, "" where it is unknown. The
// caller holds the lock.
func (m *Membership) addressesOf(messages []heartbeat.Message) []string {
	out := make([]string, len(messages))
	for i, message := range messages {
		out[i] = m.addressLocked(message.To)
	}
	return out
}

// addressLocked returns the address of a VM: the one that it gave last, else that of the
// member set, or "". The caller holds the lock.
func (m *Membership) addressLocked(name string) string {
	if a := m.addresses[name]; a != "" {
		return a
	}
	for _, v := range m.state.Members() {
		if v.Name == name {
			return v.Address
		}
	}
	return ""
}

// send sends the messages whose address is known.
func (m *Membership) send(ctx context.Context, messages []heartbeat.Message, addresses []string) {
	for i, message := range messages {
		if addresses[i] == "" {
			continue
		}
		f := inner.Frame{}
		if message.Beat != nil {
			f = inner.Encode(inner.KindBeat, message.Beat)
		} else {
			f = inner.Encode(inner.KindBeatAnswer, message.Answer)
		}
		m.counters.messages.Inc()
		m.counters.bytes.Add(len(f.Body) + 1)
		m.options.SendFunc(ctx, addresses[i], inner.Pack(f))
	}
}
