package frontend

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/traffic"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/memory"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/peer"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/gossip"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/keys"
)

const (
	// keysRetryInterval is the pause between two attempts to get the VM's keys and to
	// listen with them, in milliseconds.
	keysRetryInterval = clock.Millis(250)
	// connIdleTimeout is how long a connection to another VM is kept without a packet,
	// in milliseconds. It is long because opening a connection takes as many bytes as
	// about ten statements. It does not serve to detect failed VMs: unanswered
	// messages do that.
	connIdleTimeout = 60 * clock.Second
	// fetchSilence is how long another VM may send nothing of an answer, in milliseconds.
	// The whole answer may take fetchTimeout, since a long configuration takes seconds on a
	// slow link.
	fetchSilence = clock.Second
	fetchTimeout = 15 * clock.Second
	// fetchDelay is how long this VM waits for the store to deliver a configuration that
	// another VM already has, before it asks that VM, in milliseconds.
	fetchDelay = clock.Millis(300)
	// fetchRetryDelay is the least pause after a VM was asked before the next fetch
	// starts, from the same VM or another, in milliseconds.
	fetchRetryDelay = clock.Millis(500)
)

// Registry is the list of VMs in the platform's store and the source of their keys.
type Registry struct {
	// The functions are those of gossip.Options.
	ListFunc     func(ctx context.Context) (inner.List, error)
	RegisterFunc func(ctx context.Context, v member.VM) error
	AddFunc      func(ctx context.Context, v member.VM) error
	RemoveFunc   func(ctx context.Context, v member.VM) error
	// AuthorityFunc returns the stored certificate authority of the VMs. If there is none, it
	// stores the known one or, if that is nil, a new one.
	AuthorityFunc func(ctx context.Context, known *keys.Authority) (*keys.Authority, error)
}

// newMesh returns the gossip mesh of this VM, connected to the frontend's state.
func (f *Frontend) newMesh() *gossip.Mesh {
	o := f.options
	return gossip.New(gossip.Options{
		Self: o.Self, Clock: o.Clock, Log: o.Log,
		SendFunc: f.sendDatagram, MaxDatagram: peer.MaxDatagram, RestartedFunc: f.dropConn,
		ListFunc: o.Registry.ListFunc, FetchListFunc: f.fetchList, RegisterFunc: o.Registry.RegisterFunc, AddFunc: o.Registry.AddFunc, RemoveFunc: o.Registry.RemoveFunc,
		RegisteredFunc: f.updateGroups,
		BeginRoundFunc: f.beginRound, ContentFunc: f.gossipFor, ReceiveFunc: f.receiveGossip,
		EvacuationFunc: f.evacuationsToAnnounce, ReceiveEvacuationFunc: f.receiveEvacuation,
	})
}

// servePeers waits for the VM's keys, then gossips with the other VMs and serves their
// streams until the context ends.
func (f *Frontend) servePeers(ctx context.Context) {
	t := f.awaitTransport(ctx)
	if t == nil {
		return
	}
	f.transport.Store(t)
	f.spawn(func() { f.mesh.Run(ctx) })
	t.Serve(ctx, peer.Handlers{
		StreamFunc:   func(_ context.Context, _ string, s peer.Stream) { f.serveStream(s.Exchange) },
		DatagramFunc: func(name string, body []byte) { f.mesh.Receive(name, body) },
	})
}

// awaitTransport gets the VM's keys and opens the transport. It repeats a failed attempt
// every keysRetryInterval, and returns nil when the context ends first.
func (f *Frontend) awaitTransport(ctx context.Context) *peer.Transport {
	for ctx.Err() == nil {
		if f.issueKeys(ctx) == nil {
			t, err := f.listen()
			if err == nil {
				return t
			}
			f.options.Log.Error("listening for other VMs failed", "err", err)
		}
		_ = f.options.Clock.Sleep(ctx, keysRetryInterval)
	}
	return nil
}

// listen opens the transport.
func (f *Frontend) listen() (*peer.Transport, error) {
	f.keysLock.Lock()
	resetKey, err := f.authority.ResetKey(f.options.Self.Name)
	f.keysLock.Unlock()
	if err != nil {
		return nil, err
	}
	return peer.Listen(f.options.Self.Address, f.keyring, peer.Options{
		Clock: f.options.Clock, Region: f.options.Self.Region, IdleTimeout: connIdleTimeout, ResetKey: &resetKey, Memory: f.options.Memory,
	})
}

// issueKeys issues this VM's keys from the stored certificate authority, unless that is the one
// which issued them already. It stores the authority again if the store has lost it.
func (f *Frontend) issueKeys(ctx context.Context) error {
	f.keysLock.Lock()
	defer f.keysLock.Unlock()
	a, err := f.options.Registry.AuthorityFunc(ctx, f.authority)
	f.recordDependency("keys", err)
	if err != nil {
		return err
	}
	if f.authority != nil && f.authority.Equal(a) {
		return nil
	}
	m, err := a.Issue(f.options.Self.Name)
	if err == nil {
		err = f.keyring.Load(m)
	}
	if err != nil {
		f.options.Log.Error("issuing the keys of this VM failed", "err", err)
		return err
	}
	if f.authority != nil {
		f.options.Log.Warn("the certificate authority was replaced")
	}
	f.authority = a
	return nil
}

// restoreKeys issues this VM's keys again after the store came back from a copy. It repeats a
// failed attempt every keysRetryInterval.
func (f *Frontend) restoreKeys(ctx context.Context) {
	for ctx.Err() == nil && f.issueKeys(ctx) != nil {
		_ = f.options.Clock.Sleep(ctx, keysRetryInterval)
	}
}

// dropConn closes the connection to an address; the next use opens a new one.
func (f *Frontend) dropConn(address string) {
	if t := f.transport.Load(); t != nil {
		t.CloseOutgoing(address)
	}
}

// regionVMs lists the VMs of this VM's region: the live ones or, while this VM
// receives messages from no other, all registered ones.
func (f *Frontend) regionVMs() []string {
	vms := f.mesh.RegionAlive()
	if len(vms) == 1 {
		vms = f.mesh.RegionKnown()
	}
	return vmNames(vms)
}

var errNoTransport = errors.New("this VM has no keys yet")

// sendDatagram sends a datagram to the VM at an address. It does not wait for a connection:
// while none is open, the datagram is lost.
func (f *Frontend) sendDatagram(ctx context.Context, address string, body []byte) error {
	t := f.transport.Load()
	if t == nil {
		return errNoTransport
	}
	return t.TrySendDatagram(ctx, address, body)
}

// gossipFor returns the content of a gossip message of a scope. The second relay of a zone
// reports no totals of the zone, since others would ignore them.
func (f *Frontend) gossipFor(s inner.Scope) inner.Gossip {
	g := inner.Gossip{Scope: s}
	if c := f.catalog.Load(); c != nil {
		g.Version = c.Version
	}
	f.mu.Lock()
	g.VersionAge = f.configCopy.Age(f.options.Clock.Now())
	g.DirectoryHash, g.DirectoryAge = f.directoryHash, f.options.Clock.Now()-f.directoryReadAt
	f.mu.Unlock()
	if s == inner.ScopeZone && !f.mesh.IsFirstRelay(f.options.Self.Name, f.options.Self.Zone) {
		return g
	}
	g.Covered, g.Known = f.limiter.coverage(s)
	g.Usages = f.limiter.usages(s)
	for _, group := range f.allGroups() {
		g.Views = append(g.Views, group.View())
	}
	return g
}

// receiveGossip merges a gossip message of another VM. The function toLocalTime turns an
// age at the sender into a time of this VM's clock; it is nil while that is not known.
func (f *Frontend) receiveGossip(g inner.Gossip, toLocalTime func(clock.Millis) clock.Millis) {
	f.limiter.mergeGossip(g, g.Scope == inner.ScopeVM || f.mesh.IsFirstRelay(g.From, g.Zone))
	for _, v := range g.Views {
		if group := f.Group(v.Group); group != nil {
			group.MergeView(database.Sender{VM: g.From, Process: g.Process}, v, toLocalTime)
		}
	}
	report := versionReport{vm: g.From, address: g.Address, version: g.Version, confirmedAt: clock.DistantPast}
	if toLocalTime != nil {
		f.compareDirectory(g.Address, g.DirectoryHash, toLocalTime(g.DirectoryAge))
		report.confirmedAt = toLocalTime(g.VersionAge)
	}
	c := f.catalog.Load()
	if c == nil || g.Version > c.Version {
		f.startConfigurationFetch(report)
		return
	}
	f.confirmConfiguration(report.version, report.confirmedAt, report.vm)
}

// versionReport is what another VM reports of its configuration. confirmedAt is a time at which
// the store had no later version, or clock.DistantPast.
type versionReport struct {
	vm          string
	address     string
	version     uint64
	confirmedAt clock.Millis
}

// startConfigurationFetch starts fetching a later configuration from the VM that reports it, and
// interrupts a silent poll of the store. It starts no fetch while another is in progress,
// within fetchDelay + fetchRetryDelay of the last start, or for version 0: the other VM has
// no configuration either.
func (f *Frontend) startConfigurationFetch(r versionReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	if r.version > 0 && f.laterKnownAt == 0 {
		f.laterKnownAt = now
	}
	f.interruptPollLocked(now)
	if r.version == 0 || f.fetchingConfiguration || now < f.nextFetchAt {
		return
	}
	f.fetchingConfiguration = true
	f.nextFetchAt = now + fetchRetryDelay + fetchDelay
	f.spawn(func() {
		f.fetchConfiguration(r)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.fetchingConfiguration = false
	})
}

// fetchConfiguration fetches the configuration from the VM that reports it, unless the store has
// delivered that version or a later one within fetchDelay.
func (f *Frontend) fetchConfiguration(r versionReport) {
	_ = f.options.Clock.Sleep(f.ctx, fetchDelay)
	if c := f.catalog.Load(); c != nil && c.Version >= r.version {
		return
	}
	asked := f.options.Clock.Now()
	answer, err := f.ask(r.address, inner.Question{Topic: inner.TopicText})
	if err != nil {
		f.fetchFailures.Inc()
		f.options.Log.Info("fetching the configuration from another VM failed", "address", r.address, "version", r.version,
			"took", f.options.Clock.Now()-asked, "role", f.mesh.Role(), "poll_ms", f.storeCallAge(), "confirmed_ms", f.configurationCopy().Age(f.options.Clock.Now()), "err", err)
		return
	}
	if answer.Evacuation != nil {
		f.adoptReport(*answer.Evacuation, asked)
	}
	f.adoptConfiguration(answer.Payload, r.address)
	f.confirmConfiguration(r.version, r.confirmedAt, r.vm)
}

// ask puts one question to the VM at an address.
func (f *Frontend) ask(address string, q inner.Question) (inner.Answer, error) {
	return f.askWithin(address, q, fetchSilence)
}

// askWithin is ask with the time in milliseconds for which the other VM may be silent.
func (f *Frontend) askWithin(address string, q inner.Question, silence clock.Millis) (inner.Answer, error) {
	t := f.transport.Load()
	if t == nil {
		return inner.Answer{}, errNoTransport
	}
	ctx, cancel := context.WithTimeout(f.ctx, fetchTimeout.Duration())
	defer cancel()
	q.AcceptsGzip = true
	answer, err := t.Fetch(ctx, address, peer.Label{Control: true}, q, silence)
	if err != nil {
		return answer, err
	}
	if f.mesh.IsInOtherRegion(address) {
		traffic.AddBetweenRegions(traffic.Fetches, len(answer.Payload))
	}
	return answer.WithoutGzip()
}

// serveStream serves a stream of another VM. VMs reuse streams, so a question may follow
// statements on the same stream.
func (f *Frontend) serveStream(x inner.Exchange) {
	frame, err := x.Receive()
	if (err == nil || errors.Is(err, memory.ErrShort)) && frame.Kind == inner.KindRun {
		frame, err = f.holder.Serve(f.ctx, x, frame, err)
	}
	if err != nil || frame.Kind != inner.KindQuestion {
		return
	}
	var q inner.Question
	if inner.Decode(frame, &q) != nil {
		return
	}
	_ = x.Send(inner.Encode(inner.KindAnswer, f.answer(q)))
}

// answer answers one question of another VM.
func (f *Frontend) answer(q inner.Question) inner.Answer {
	switch q.Topic {
	case inner.TopicServers:
		return f.answerDirectory()
	case inner.TopicText:
		return f.answerText(q)
	case inner.TopicVMs:
		return f.answerList(q)
	}
	return inner.Answer{Error: "unknown question " + q.Topic}
}

// answerList answers with the list of VMs.
func (f *Frontend) answerList(q inner.Question) inner.Answer {
	l := f.mesh.List()
	if l.Version == 0 {
		return inner.Answer{Error: "the VM has no list of VMs yet"}
	}
	text, err := json.Marshal(l)
	if err != nil {
		return inner.Answer{Error: err.Error()}
	}
	if !q.AcceptsGzip {
		return inner.Answer{Payload: text}
	}
	return f.compressedList.answer(text)
}

// fetchList asks the VM at an address for its list of VMs.
func (f *Frontend) fetchList(_ context.Context, address string) (inner.List, error) {
	answer, err := f.ask(address, inner.Question{Topic: inner.TopicVMs})
	if err != nil {
		f.fetchFailures.Inc()
		return inner.List{}, err
	}
	var l inner.List
	err = json.Unmarshal(answer.Payload, &l)
	return l, err
}

// answerText answers with the text of the configuration in force, compressed if the other VM
// can decompress it.
func (f *Frontend) answerText(q inner.Question) inner.Answer {
	if q.Wait > 0 {
		f.awaitConfiguration(f.ctx, min(q.Wait, maxQuestionWait))
	}
	f.mu.Lock()
	text, held := f.configText, f.configCopy
	f.mu.Unlock()
	if len(text) == 0 {
		return inner.Answer{Error: "the VM has no configuration yet"}
	}
	out := inner.Answer{Payload: text}
	if q.AcceptsGzip {
		out = f.compressed.answer(text)
	}
	if held.IsConfirmed() {
		out.Version, out.VersionAge = held.Version, held.Age(f.options.Clock.Now())
	}
	out.Evacuation = f.evacuationReport()
	return out
}

// compressedText is the last text that another VM asked for, compressed. Each text is
// compressed once, without a lock that statements wait for.
type compressedText struct {
	mu     sync.Mutex
	text   []byte
	result inner.Answer
}

// answer returns the answer with the compressed text.
func (c *compressedText) answer(text []byte) inner.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !bytes.Equal(c.text, text) {
		c.text, c.result = text, inner.Answer{Payload: text}.WithGzip()
	}
	return c.result
}

// announceProof starts the next round of gossip early, because a primary is proved and other VMs may be
// waiting for it, such as after a start of all VMs. A follower sends to its relays, which forward to
// those of the other zones.
func (f *Frontend) announceProof() {
	if f.mesh.Role() == gossip.Follower {
		f.mesh.RegionGossipSoon()
		return
	}
	f.mesh.GossipSoon()
}
