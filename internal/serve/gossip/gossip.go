// Package gossip spreads what the VMs know between them: which VMs are alive, which
// configuration is in force, what accounts spend, and which primaries are confirmed.
// Messages are datagrams that may be lost; nothing depends on any single one.
package gossip

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"slices"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

const (
	// interval is the pause between two rounds of messages, in milliseconds.
	interval = clock.Millis(300)
	// otherRegionInterval is the pause between two messages to a VM of another region,
	// in milliseconds. It is longer because links between regions are slow and costly.
	otherRegionInterval = clock.Millis(900)
	// minInterval is the least pause between two rounds when one is urgent, in
	// milliseconds.
	minInterval = clock.Millis(60)
	// SilenceTimeout is the time without a message from a VM after which that VM counts
	// as down, in milliseconds.
	SilenceTimeout = clock.Millis(2500)
	// silentInterval is the pause between two messages to a VM that counts as down, in
	// milliseconds.
	silentInterval = clock.Millis(3000)
	// fullRateTries is the number of unanswered rounds after which this VM sends less
	// often to one that counts as down. The first messages are lost while the connection
	// is being opened.
	fullRateTries = 12
	// sentWindow is the number of the last messages to a VM whose send times are kept.
	sentWindow = 32
)

// Options configures a mesh.
type Options struct {
	Self  member.VM
	Clock clock.Clock
	Log   *log.Logger
	// SendFunc sends a datagram, which may be lost, to the VM at an address.
	SendFunc func(ctx context.Context, address string, body []byte) error
	// MaxDatagram is the largest body of a datagram, in bytes.
	MaxDatagram int
	// RestartedFunc is called with the address of a VM that has restarted. Connections to
	// its former process are of no use any more.
	RestartedFunc func(address string)
	// ListFunc lists the registered VMs. RegisterFunc registers this one, RemoveFunc removes it,
	// and AddFunc adds another that has no entry; an error of theirs may also mean that the entry
	// has changed meanwhile. No call has an effect on an entry that another process of the VM has
	// made since. FetchListFunc asks the VM at an address for the list.
	ListFunc      func(ctx context.Context) (inner.List, error)
	FetchListFunc func(ctx context.Context, address string) (inner.List, error)
	RegisterFunc  func(ctx context.Context, v member.VM) error
	AddFunc       func(ctx context.Context, v member.VM) error
	RemoveFunc    func(ctx context.Context, v member.VM) error
	// RegisteredFunc is called once, after this VM has been registered.
	RegisteredFunc func()
	// BeginRoundFunc begins a round. ContentFunc then returns the content of a message of
	// a scope, which all its receivers in the round get.
	BeginRoundFunc func()
	ContentFunc    func(s inner.Scope) inner.Gossip
	// ReceiveFunc merges a message. toLocalTime converts the age of an event at the sender
	// into a time of this VM's clock that is not after the event; it is nil while no send
	// time is known to compute it from.
	ReceiveFunc func(m inner.Gossip, toLocalTime func(age clock.Millis) clock.Millis)
	// EvacuationFunc returns the message on evacuated zones for a round, or nil if none is to be
	// sent. ReceiveEvacuationFunc adopts such a message of another VM. The functions may be nil.
	EvacuationFunc        func() *inner.Evacuation
	ReceiveEvacuationFunc func(e inner.Evacuation)
}

// peer is the state kept for another VM. Times are those of this VM's clock.
type peer struct {
	vm      member.VM
	process uint64
	leaving bool
	// lastReceived and lastSent are the times of the last message from it and to it.
	lastReceived clock.Millis
	lastSent     clock.Millis
	// lastNumber is the number of the last message to it, and sentTimes the send times of
	// the last messages, at their numbers modulo sentWindow.
	lastNumber uint64
	sentTimes  [sentWindow]clock.Millis
	// highestNumber is the highest number of a message from its process, received at
	// highestNumberAt.
	highestNumber   uint64
	highestNumberAt clock.Millis
	// unanswered counts the rounds with a message to it since the last message from it.
	unanswered int
	// rosterSentAt is the time at which this VM last sent it a roster because it is not listed.
	rosterSentAt clock.Millis
}

// isDown reports whether the VM is leaving, or has left maxUnanswered rounds with a message
// to it unanswered and counts as down. Once no message was sent to it for downMaxAge, it may
// have come back.
func (p *peer) isDown(now clock.Millis) bool {
	silent := now-p.lastReceived >= SilenceTimeout && p.unanswered >= maxUnanswered
	return p.leaving || silent && now-p.lastSent < downMaxAge
}

// downMaxAge is how long a VM counts as down after the last message to it, in milliseconds.
const downMaxAge = 5 * clock.Second

// maxUnanswered is the number of unanswered rounds from which a silent VM is known to be
// down. Until then it may only be starting.
const maxUnanswered = 6

// Mesh exchanges messages with the other VMs.
type Mesh struct {
	options Options
	process uint64
	// wakeup starts the next round early, relist the next read of the list of VMs.
	wakeup chan struct{}
	relist chan struct{}
	done   chan struct{}
	bytes  *metrics.Counter
	// sent and received count datagrams, lists the reads of the list of VMs.
	sent     *metrics.Counter
	received *metrics.Counter
	lists    *metrics.Counter
	// known counts the known VMs.
	known *metrics.Gauge
	// down counts the registered VMs that are not taken for running.
	down *metrics.Gauge

	mu sync.Mutex
	// role is that of the last round.
	role    Role
	peers   map[string]*peer
	leaving bool
	// removable is set once this VM, which is leaving, uses no primary any more.
	removable bool
	// removedAt is the time at which this VM last removed another that was no longer listed,
	// or 0.
	removedAt clock.Millis
	// downReports holds, by zone, the last report of the VMs of a zone that are down.
	downReports map[member.Zone]downReport
	// roster is the latest list of VMs.
	roster roster
	// registered is set once this VM is in the list of VMs. unlisted is set when the store
	// comes back from a copy, at restoredAt, until this VM has registered again.
	registered bool
	unlisted   bool
	restoredAt clock.Millis
	// otherRegionsUrgent is set when the next round is to include the VMs of other
	// regions, whenever the last message to them was sent.
	otherRegionsUrgent bool
}

// New returns a mesh that exchanges messages once Run is called.
func New(o Options) *Mesh {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return &Mesh{
		options: o, process: binary.BigEndian.Uint64(raw[:]), wakeup: make(chan struct{}, 1), relist: make(chan struct{}, 1), restoredAt: -restoreTime, done: make(chan struct{}),
		sent: metrics.GetOrCreateCounter("sycamoredoor_gossip_sent_total"), received: metrics.GetOrCreateCounter("sycamoredoor_gossip_received_total"),
		lists: metrics.GetOrCreateCounter("sycamoredoor_vm_lists_total"), known: metrics.GetOrCreateGauge("sycamoredoor_vms_known", nil),
		roster: newRoster(),
		bytes:  metrics.GetOrCreateCounter("sycamoredoor_gossip_bytes_total"), down: metrics.GetOrCreateGauge("sycamoredoor_vms_down", nil), peers: map[string]*peer{}, downReports: map[member.Zone]downReport{},
	}
}

// Done is closed once Run has ended.
func (m *Mesh) Done() <-chan struct{} { return m.done }

// Process returns a random number that identifies this process of the VM.
func (m *Mesh) Process() uint64 { return m.process }

// GossipSoon starts the next round early and includes the VMs of other regions in it.
func (m *Mesh) GossipSoon() {
	m.mu.Lock()
	m.otherRegionsUrgent = true
	m.mu.Unlock()
	m.RegionGossipSoon()
}

// RegionGossipSoon starts the next round early, without including the VMs of other
// regions ahead of their time.
func (m *Mesh) RegionGossipSoon() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// Leave announces to the other VMs that this one is stopping. It stays in the list of VMs
// until Unregister: a claimant that does not hear it must know that it still uses primaries.
func (m *Mesh) Leave() {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.GossipSoon()
}

// Unregister removes this VM, which uses no primary any more, from the list of VMs.
func (m *Mesh) Unregister(ctx context.Context) error {
	m.mu.Lock()
	m.leaving, m.removable = true, true
	m.mu.Unlock()
	return m.unregister(ctx)
}

// unregister removes this VM from the list of VMs.
func (m *Mesh) unregister(ctx context.Context) error {
	err := m.options.RemoveFunc(ctx, m.options.Self)
	if err != nil {
		m.options.Log.Warn("removing this VM from the list of VMs failed", "err", err)
	}
	return err
}

// Alive returns the VMs from which a message came within SilenceTimeout and which are not
// leaving, and this one, ordered by name.
func (m *Mesh) Alive() []member.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	out := []member.VM{m.options.Self}
	for _, p := range m.peers {
		if now-p.lastReceived < SilenceTimeout && !p.leaving {
			out = append(out, p.vm)
		}
	}
	slices.SortFunc(out, func(a, b member.VM) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Leaving returns the VMs from which a message came within SilenceTimeout and which are
// leaving. They may still use primaries.
func (m *Mesh) Leaving() []member.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	var out []member.VM
	for _, p := range m.peers {
		if now-p.lastReceived < SilenceTimeout && p.leaving {
			out = append(out, p.vm)
		}
	}
	return out
}

// RemovedAt returns the time at which this VM last found that another was no longer
// registered, or 0.
func (m *Mesh) RemovedAt() clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.removedAt
}

// RegionAlive returns those of Alive that are in this VM's region.
func (m *Mesh) RegionAlive() []member.VM {
	return slices.DeleteFunc(m.Alive(), func(v member.VM) bool { return v.Region != m.options.Self.Region })
}

// Members returns the VMs that are presumably running, ordered by name: those of Alive
// and, when relays are used, also those that no relay reports as down, since most VMs get
// messages from relays only. VMs whose zone is unknown are left out.
func (m *Mesh) Members() []member.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	silentZones := m.silentZonesLocked(now)
	presumed := func(p *peer) bool {
		return m.usesRelaysLocked() && !p.isDown(now) && !m.reportedDownLocked(p.vm, now) && !slices.Contains(silentZones, p.vm.Zone)
	}
	out := []member.VM{m.options.Self}
	for _, p := range m.peers {
		alive := now-p.lastReceived < SilenceTimeout && !p.leaving
		if p.vm.Zone != "" && (alive || presumed(p)) {
			out = append(out, p.vm)
		}
	}
	slices.SortFunc(out, func(a, b member.VM) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// RegionKnown returns all known VMs of this VM's region and this one, whether or not
// messages come from them.
func (m *Mesh) RegionKnown() []member.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []member.VM{m.options.Self}
	for _, p := range m.peers {
		if p.vm.Region == m.options.Self.Region {
			out = append(out, p.vm)
		}
	}
	return out
}

// IsInOtherRegion reports whether the VM at an address is known to be in another region.
func (m *Mesh) IsInOtherRegion(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.vm.Address == address {
			return p.vm.Region != m.options.Self.Region
		}
	}
	return false
}

// KnownCount returns the number of known VMs, this one included, whether or not messages
// come from them.
func (m *Mesh) KnownCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) + 1
}

// ExpectedCount returns the number of known VMs that may be running, this one included: those of
// KnownCount but for the ones that announced that they are leaving and then went silent.
func (m *Mesh) ExpectedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	out := 1
	for _, p := range m.peers {
		if !p.leaving || now-p.lastReceived < SilenceTimeout {
			out++
		}
	}
	return out
}

// Run exchanges messages until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	defer close(m.done)
	for ctx.Err() == nil {
		m.round(ctx)
		m.pause(ctx)
	}
}

// pause waits for the next round: interval, or less when the round is urgent, but at least
// minInterval.
func (m *Mesh) pause(ctx context.Context) {
	if m.options.Clock.Sleep(ctx, minInterval) != nil {
		return
	}
	fired, stop := m.options.Clock.AfterFunc(interval - minInterval)
	defer stop()
	select {
	case <-ctx.Done():
	case <-fired:
	case <-m.wakeup:
	}
}
