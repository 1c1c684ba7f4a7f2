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
	// listInterval is the pause between two reads of the list of VMs, in milliseconds,
	// and listStartInterval the same while this VM is not registered or receives
	// messages from no other.
	listInterval      = 40 * clock.Second
	listStartInterval = clock.Millis(700)
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
	// ListFunc lists the registered VMs, RegisterFunc adds this one and RemoveFunc
	// removes it.
	ListFunc     func(ctx context.Context) ([]member.VM, error)
	RegisterFunc func(ctx context.Context, v member.VM) error
	RemoveFunc   func(ctx context.Context, v member.VM) error
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
}

// Mesh exchanges messages with the other VMs.
type Mesh struct {
	options Options
	process uint64
	// wakeup starts the next round early.
	wakeup chan struct{}
	done   chan struct{}
	bytes  *metrics.Counter

	mu      sync.Mutex
	peers   map[string]*peer
	leaving bool
	// registered is set once this VM is in the list of VMs.
	registered bool
	// otherRegionsUrgent is set when the next round is to include the VMs of other
	// regions, whenever the last message to them was sent.
	otherRegionsUrgent bool
}

// New returns a mesh that exchanges messages once Run is called.
func New(o Options) *Mesh {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return &Mesh{
		options: o, process: binary.BigEndian.Uint64(raw[:]), wakeup: make(chan struct{}, 1), done: make(chan struct{}),
		bytes: metrics.GetOrCreateCounter("sycamoredoor_gossip_bytes_total"), peers: map[string]*peer{},
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

// Leave announces to the other VMs that this one is stopping, and removes it from the list
// of VMs.
func (m *Mesh) Leave(ctx context.Context) {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.GossipSoon()
	if err := m.options.RemoveFunc(ctx, m.options.Self); err != nil {
		m.options.Log.Warn("removing this VM from the list of VMs failed", "err", err)
	}
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

// RegionAlive returns those of Alive that are in this VM's region.
func (m *Mesh) RegionAlive() []member.VM {
	return slices.DeleteFunc(m.Alive(), func(v member.VM) bool { return v.Region != m.options.Self.Region })
}

// Members returns the VMs that are presumably running, ordered by name: those of Alive
// and, when relays are used, also those of other zones that are not leaving, since only
// relays send messages to other zones. VMs whose zone is unknown are left out.
func (m *Mesh) Members() []member.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	out := []member.VM{m.options.Self}
	for _, p := range m.peers {
		otherZone := m.usesRelaysLocked() && p.vm.Zone != m.options.Self.Zone
		if !p.leaving && p.vm.Zone != "" && (otherZone || now-p.lastReceived < SilenceTimeout) {
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

// KnownCount returns the number of known VMs, this one included, whether or not messages
// come from them.
func (m *Mesh) KnownCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) + 1
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

// RunRegistration registers this VM and reads the list of VMs periodically until the
// context ends.
func (m *Mesh) RunRegistration(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := m.readList(ctx)
		if err == nil {
			m.register(ctx, slices.Contains(vms, m.options.Self))
		}
		pause := listInterval
		if !m.Registered() || len(m.Alive()) == 1 {
			pause = listStartInterval
		}
		_ = m.options.Clock.Sleep(ctx, pause)
	}
}

// register registers this VM unless it is listed already, as after a restart. That saves
// a write, and writes may take long when many VMs start at once.
func (m *Mesh) register(ctx context.Context, listed bool) {
	if !listed && m.options.RegisterFunc(ctx, m.options.Self) != nil {
		return
	}
	m.mu.Lock()
	first := !m.registered
	m.registered = true
	m.mu.Unlock()
	if first {
		m.options.RegisteredFunc()
	}
}

// Registered reports whether this VM is in the list of VMs.
func (m *Mesh) Registered() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registered
}

// RefreshVMs reads the list of VMs and merges it.
func (m *Mesh) RefreshVMs(ctx context.Context) error {
	_, err := m.readList(ctx)
	return err
}

func (m *Mesh) readList(ctx context.Context) ([]member.VM, error) {
	vms, err := m.options.ListFunc(ctx)
	if err == nil {
		m.mergeList(vms)
	}
	return vms, err
}

// mergeList merges the list of VMs into the peers. It removes a peer that is not listed and
// counts as down. The list replaces what is known of a VM only while the VM counts as down,
// since its own messages are more recent.
func (m *Mesh) mergeList(vms []member.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	listed := map[string]bool{}
	for _, v := range vms {
		listed[v.Name] = true
		if v.Name == m.options.Self.Name {
			continue
		}
		p := m.peers[v.Name]
		if p == nil {
			m.peers[v.Name] = m.newPeer(v, now)
			continue
		}
		if now-p.lastReceived >= SilenceTimeout {
			p.vm = v
		}
	}
	for name, p := range m.peers {
		if !listed[name] && now-p.lastReceived >= SilenceTimeout {
			delete(m.peers, name)
		}
	}
}

// newPeer returns a peer from which no message has come. The first message number depends
// on the process of this VM, so that the echo of a number of an earlier process is not
// taken for one of this process.
func (m *Mesh) newPeer(v member.VM, now clock.Millis) *peer {
	return &peer{vm: v, lastReceived: now - SilenceTimeout, lastSent: now - silentInterval, lastNumber: m.process % firstNumberChoices * sentWindow}
}

// firstNumberChoices is the number of first message numbers to choose from, sentWindow
// apart.
const firstNumberChoices = 1 << 24

// datagram is a message to send.
type datagram struct {
	address string
	body    []byte
}

// round sends each VM the messages that are due.
func (m *Mesh) round(ctx context.Context) {
	m.options.BeginRoundFunc()
	messages := map[inner.Scope][]inner.Gossip{}
	for _, d := range m.datagrams(func(s inner.Scope) []inner.Gossip {
		if messages[s] == nil {
			messages[s] = m.splitMessage(m.options.ContentFunc(s))
		}
		return messages[s]
	}) {
		m.bytes.Add(len(d.body))
		// The error is ignored: an unreachable VM is detected by its silence.
		_ = m.options.SendFunc(ctx, d.address, d.body)
	}
}

// datagrams returns the messages to send in a round. The function messagesFunc returns
// the messages of a scope; it is called without the lock, since it may wait for locks whose
// holders call the mesh. After fullRateTries unanswered rounds, a VM that counts as down
// gets messages only every silentInterval. A VM of another region gets them only every
// otherRegionInterval, unless the last is unanswered or the round includes other regions.
func (m *Mesh) datagrams(messagesFunc func(inner.Scope) []inner.Gossip) []datagram {
	recipients := m.recipients()
	messages := map[inner.Scope][]inner.Gossip{}
	for _, r := range recipients {
		for _, s := range r.scopes {
			messages[s] = messagesFunc(s)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	var out []datagram
	urgent := m.otherRegionsUrgent
	m.otherRegionsUrgent = false
	for _, r := range recipients {
		p := r.peer
		if p.vm.Region != m.options.Self.Region && p.unanswered == 0 && !urgent && now-p.lastSent < otherRegionInterval-minInterval {
			continue
		}
		if now-p.lastReceived >= SilenceTimeout && p.unanswered >= fullRateTries && now-p.lastSent < silentInterval {
			continue
		}
		p.unanswered++
		p.lastSent = now
		for _, s := range r.scopes {
			for _, g := range messages[s] {
				out = append(out, datagram{address: p.vm.Address, body: m.encodeFor(p, g, now)})
			}
		}
	}
	return out
}

// encodeFor fills in the sender and the fields that depend on the receiver, and encodes the
// message. The caller holds the lock.
func (m *Mesh) encodeFor(p *peer, g inner.Gossip, now clock.Millis) []byte {
	self := m.options.Self
	g.From, g.Address, g.Process, g.Leaving, g.Zone = self.Name, self.Address, m.process, m.leaving, self.Zone
	g.Region = self.Region
	p.lastNumber++
	p.sentTimes[p.lastNumber%sentWindow] = now
	g.Sequence, g.Echo, g.EchoAge = p.lastNumber, p.highestNumber, now-p.highestNumberAt
	return inner.Pack(inner.Encode(inner.KindGossip, g))
}

// Receive handles a datagram from the VM of that name. It ignores messages that are
// malformed or name another sender.
func (m *Mesh) Receive(name string, datagram []byte) {
	f, err := inner.Unpack(datagram)
	if err != nil || f.Kind != inner.KindGossip {
		return
	}
	var g inner.Gossip
	if inner.Decode(f, &g) != nil || g.From != name || name == m.options.Self.Name {
		return
	}
	toLocalTime, restarted := m.recordMessage(g)
	if restarted {
		m.options.RestartedFunc(g.Address)
	}
	m.options.ReceiveFunc(g, toLocalTime)
}

// recordMessage records a message from a VM. The function toLocalTime turns the age of an
// event at the sender into a time of this VM's clock: the send time of the message that the
// sender echoes, plus EchoAge, less the age. The sender cannot have received that message
// before it was sent, so the result is never later than the event. toLocalTime is nil when
// that send time is not kept. The result restarted is set when an earlier message came from
// another process of that VM.
func (m *Mesh) recordMessage(g inner.Gossip) (toLocalTime func(clock.Millis) clock.Millis, restarted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	p := m.peers[g.From]
	if p == nil {
		p = m.newPeer(member.VM{Name: g.From}, now)
		m.peers[g.From] = p
	}
	if p.process != g.Process {
		restarted = p.process != 0
		p.process, p.highestNumber = g.Process, 0
	}
	p.vm.Address, p.vm.Zone, p.vm.Region, p.leaving, p.lastReceived, p.unanswered = g.Address, g.Zone, g.Region, g.Leaving, now, 0
	if g.Sequence > p.highestNumber {
		p.highestNumber, p.highestNumberAt = g.Sequence, now
	}
	if g.Echo == 0 || g.Echo > p.lastNumber || p.lastNumber-g.Echo >= sentWindow {
		return nil, restarted
	}
	sent := p.sentTimes[g.Echo%sentWindow]
	return func(age clock.Millis) clock.Millis { return min(sent+g.EchoAge-age, now) }, restarted
}
