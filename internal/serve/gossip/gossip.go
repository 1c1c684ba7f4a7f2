// Package gossip lets the VMs tell each other what they know: who is there,
// which configuration is in force, what accounts spend, and which primaries are
// proved to lead. Messages are datagrams that may be lost; nothing depends on any
// one of them.
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
	// interval is the pause between two messages to a VM, in milliseconds.
	interval = clock.Millis(300)
	// otherRegionInterval is the same to a VM of another region, whose link is slow and dear.
	otherRegionInterval = clock.Millis(900)
	// minInterval is the least pause when there is something urgent.
	minInterval = clock.Millis(60)
	// SilenceTimeout is the silence from which a VM counts as not there.
	SilenceTimeout = clock.Millis(2500)
	// silentInterval is the pause between two messages to a VM that is not there.
	silentInterval = clock.Millis(3000)
	// fullRateTries is the number of messages to a VM that is not heard before it is
	// sent to more seldom; the first are lost while the connection is opened.
	fullRateTries = 12
	// listInterval is the pause between two reads of the list of VMs, and listFirst
	// the same while no other VM is known.
	listInterval      = 40 * clock.Second
	listStartInterval = clock.Millis(700)
	// sentWindow is the number of messages whose moments are remembered.
	sentWindow = 32
)

// Options makes a mesh.
type Options struct {
	Self  member.VM
	Clock clock.Clock
	Log   *log.Logger
	// SendFunc sends a datagram.
	SendFunc func(ctx context.Context, address string, body []byte) error
	// RestartedFunc is called with the address of a VM that has started anew, for
	// which connections to its former process are of no use.
	RestartedFunc func(address string)
	// ListFunc lists the VMs that have registered, RegisterFunc adds this one, and
	// RemoveFunc takes one off.
	ListFunc     func(ctx context.Context) ([]member.VM, error)
	RegisterFunc func(ctx context.Context, v member.VM) error
	RemoveFunc   func(ctx context.Context, v member.VM) error
	// RegisteredFunc is called once this VM has registered.
	RegisteredFunc func()
	// BeginRoundFunc begins a round. FillFunc then puts what this VM knows into a message,
	// the same for all receivers of a scope.
	BeginRoundFunc func()
	ContentFunc    func(s inner.Scope) inner.Gossip
	// ReceiveFunc takes in a message. Bound gives a moment of this VM's clock that
	// something of the sender's cannot be older than, from its age at the sender.
	ReceiveFunc func(m inner.Gossip, bound func(age clock.Millis) clock.Millis)
}

// peer is another VM.
type peer struct {
	vm              member.VM
	process         uint64
	leaving         bool
	lastReceived    clock.Millis
	lastSent        clock.Millis
	lastNumber      uint64
	sentTimes       [sentWindow]clock.Millis
	highestNumber   uint64
	highestNumberAt clock.Millis
	// unanswered counts the messages since it was heard last.
	unanswered int
}

// Mesh is the running part.
type Mesh struct {
	options Options
	process uint64
	wakeup  chan struct{}
	done    chan struct{}
	bytes   *metrics.Counter

	mu      sync.Mutex
	peers   map[string]*peer
	leaving bool
	// registered is set once this VM stands in the list.
	registered bool
	// otherRegionsUrgent is set while VMs of other regions should be told soon too.
	otherRegionsUrgent bool
}

// New returns a mesh that works once Run is called.
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

// Process tells this start of the VM from others.
func (m *Mesh) Process() uint64 { return m.process }

// GossipSoon has the next messages sent soon, to other regions as well.
func (m *Mesh) GossipSoon() {
	m.mu.Lock()
	m.otherRegionsUrgent = true
	m.mu.Unlock()
	m.RegionGossipSoon()
}

// RegionGossipSoon has the next messages within the region sent soon.
func (m *Mesh) RegionGossipSoon() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// Leave tells the others that this VM is to stop.
func (m *Mesh) Leave(ctx context.Context) {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.GossipSoon()
	if err := m.options.RemoveFunc(ctx, m.options.Self); err != nil {
		m.options.Log.Warn("this VM could not be taken off the list", "err", err)
	}
}

// Alive returns the VMs that were heard lately and stay, with this one, in order
// of their names.
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

// RegionAlive returns the VMs of the own region that were heard lately, with this one.
func (m *Mesh) RegionAlive() []member.VM {
	return slices.DeleteFunc(m.Alive(), func(v member.VM) bool { return v.Region != m.options.Self.Region })
}

// Members returns the VMs that may be there, with this one: those heard lately,
// and those of other zones that this VM does not speak with.
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

// RegionKnown returns the VMs of the own region that are known, heard or not.
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

// KnownCount returns the number of VMs that are known, this one included, whether or
// not they are heard.
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

// pause waits for the next round, which comes early when it was asked for.
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

// RunRegistration registers this VM, and reads again and again who else has, until the
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

// register registers this VM unless the list has it already, as after a restart: a
// write may take long when many VMs start at once.
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

// Registered reports whether this VM stands in the list.
func (m *Mesh) Registered() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registered
}

// RefreshVMs reads the list of VMs.
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

// mergeList takes in the list of VMs. One that is off it and not heard is forgotten.
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

// newPeer returns a VM that was not heard yet. Numbers of messages begin at a place
// that differs between the starts of this VM, so that an echo of a number of an
// earlier start is not taken for one of this.
func (m *Mesh) newPeer(v member.VM, now clock.Millis) *peer {
	return &peer{vm: v, lastReceived: now - SilenceTimeout, lastSent: now - silentInterval, lastNumber: m.process % firstNumberChoices * sentWindow}
}

// firstNumberChoices is the number of places at which numbers of messages may begin.
const firstNumberChoices = 1 << 24

// datagram is a message on its way out.
type datagram struct {
	address string
	body    []byte
}

// round sends to every VM that is due.
func (m *Mesh) round(ctx context.Context) {
	m.options.BeginRoundFunc()
	messages := map[inner.Scope][]inner.Gossip{}
	for _, l := range m.datagrams(func(s inner.Scope) []inner.Gossip {
		if messages[s] == nil {
			messages[s] = splitUsages(m.options.ContentFunc(s))
		}
		return messages[s]
	}) {
		m.bytes.Add(len(l.body))
		// A VM that cannot be reached is found out by its silence.
		_ = m.options.SendFunc(ctx, l.address, l.body)
	}
}

// datagrams returns the messages of a round; parts gives those of a scope.
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

// encodeFor completes a message for one receiver. It needs the lock.
func (m *Mesh) encodeFor(p *peer, g inner.Gossip, now clock.Millis) []byte {
	self := m.options.Self
	g.From, g.Address, g.Process, g.Leaving, g.Zone = self.Name, self.Address, m.process, m.leaving, self.Zone
	g.Region = self.Region
	p.lastNumber++
	p.sentTimes[p.lastNumber%sentWindow] = now
	g.Number, g.Echo, g.Since = p.lastNumber, p.highestNumber, now-p.highestNumberAt
	return inner.Pack(inner.Encode(inner.KindGossip, g))
}

// firstUsages and laterUsages are the usages that fit into a datagram, beside the
// views and without.
const (
	maxUsagesWithViews = 14
	maxUsages          = 36
)

// splitUsages divides a message so that each part fits into a datagram.
func splitUsages(g inner.Gossip) []inner.Gossip {
	rest := g.Usages
	first := g
	first.Usages = rest[:min(len(rest), maxUsagesWithViews)]
	out := []inner.Gossip{first}
	for rest = rest[len(first.Usages):]; len(rest) > 0; {
		next := inner.Gossip{Version: g.Version, Scope: g.Scope, Usages: rest[:min(len(rest), maxUsages)]}
		rest = rest[len(next.Usages):]
		out = append(out, next)
	}
	return out
}

// Receive takes one datagram from the VM called name.
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

// recordMessage takes in that a VM was heard, and returns what its ages mean here: what
// happened at the sender some time after it received a message of this VM
// happened so long after that message was sent. Restarted is set for a VM that was
// heard before, in another process.
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
	if g.Number > p.highestNumber {
		p.highestNumber, p.highestNumberAt = g.Number, now
	}
	if g.Echo == 0 || g.Echo > p.lastNumber || p.lastNumber-g.Echo >= sentWindow {
		return nil, restarted
	}
	sent := p.sentTimes[g.Echo%sentWindow]
	return func(age clock.Millis) clock.Millis { return min(sent+g.Since-age, now) }, restarted
}
