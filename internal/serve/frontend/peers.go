package frontend

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/peer"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/gossip"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/keys"
)

const (
	// keysRetryInterval is the pause between two attempts to get the VM's keys, in milliseconds.
	keysRetryInterval = clock.Millis(250)
	// connIdleTimeout is how long a connection to another VM is kept without a packet; to
	// open one takes as many bytes as some ten statements. A VM that does not answer
	// is found out by the messages themselves.
	connIdleTimeout = 60 * clock.Second
	// askTimeout bounds a question to another VM.
	askTimeout = clock.Second
	// fetchDelay is the time that the store is given to bring a configuration that
	// another VM has, before that VM is asked for it.
	fetchDelay = clock.Millis(300)
	// fetchRetryDelay is the pause before a VM is asked again.
	fetchRetryDelay = clock.Millis(500)
)

// Registry is the list of VMs in the platform's store, and their keys.
type Registry struct {
	ListFunc     func(ctx context.Context) ([]member.VM, error)
	RegisterFunc func(ctx context.Context, v member.VM) error
	RemoveFunc   func(ctx context.Context, v member.VM) error
	// KeysFunc issues the keys of a VM.
	KeysFunc func(ctx context.Context, vm string) (keys.Material, error)
}

// newMesh returns the gossip of this VM.
func (f *Frontend) newMesh() *gossip.Mesh {
	o := f.options
	return gossip.New(gossip.Options{
		Self: o.Self, Clock: o.Clock, Log: o.Log,
		SendFunc: f.sendDatagram, RestartedFunc: f.dropConn,
		ListFunc: o.Registry.ListFunc, RegisterFunc: o.Registry.RegisterFunc, RemoveFunc: o.Registry.RemoveFunc,
		RegisteredFunc: f.updateGroups,
		BeginRoundFunc: f.beginRound, ContentFunc: f.gossipFor, ReceiveFunc: f.receiveGossip,
	})
}

// servePeers gets the VM's keys, then speaks with the other VMs until the context ends.
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

// awaitTransport opens the transport as soon as the keys are to be had.
func (f *Frontend) awaitTransport(ctx context.Context) *peer.Transport {
	for ctx.Err() == nil {
		m, err := f.options.Registry.KeysFunc(ctx, f.options.Self.Name)
		f.recordDependency("keys", err)
		if err == nil {
			t, err := f.listenPeers(m)
			if err == nil {
				return t
			}
			f.options.Log.Error("the address for other VMs failed", "err", err)
		}
		_ = f.options.Clock.Sleep(ctx, keysRetryInterval)
	}
	return nil
}

func (f *Frontend) listenPeers(m keys.Material) (*peer.Transport, error) {
	r, err := keys.NewKeyring(m)
	if err != nil {
		return nil, err
	}
	return peer.Listen(f.options.Self.Address, r, peer.Options{Clock: f.options.Clock, Region: f.options.Self.Region, IdleTimeout: connIdleTimeout})
}

// dropConn has the connection to an address opened anew.
func (f *Frontend) dropConn(address string) {
	if t := f.transport.Load(); t != nil {
		t.CloseOutgoing(address)
	}
}

// regionVMs lists the VMs of the own region: those that are heard, or, as long as this VM
// hears none, those that have registered.
func (f *Frontend) regionVMs() []string {
	vms := f.mesh.RegionAlive()
	if len(vms) == 1 {
		vms = f.mesh.RegionKnown()
	}
	return vmNames(vms)
}

var errNoTransport = errors.New("this VM has no keys yet")

func (f *Frontend) sendDatagram(ctx context.Context, address string, body []byte) error {
	t := f.transport.Load()
	if t == nil {
		return errNoTransport
	}
	return t.TrySendDatagram(ctx, address, body)
}

// gossipFor puts what this VM knows into a message of a scope.
func (f *Frontend) gossipFor(s inner.Scope) inner.Gossip {
	g := inner.Gossip{Scope: s, Usages: f.limiter.usages(s)}
	if c := f.catalog.Load(); c != nil {
		g.Version = c.Version
	}
	f.mu.Lock()
	g.DirectoryHash, g.DirectoryAge = f.directoryHash, f.options.Clock.Now()-f.directoryReadAt
	f.mu.Unlock()
	if s == inner.ScopeOtherZones {
		return g
	}
	for _, group := range f.allGroups() {
		g.Views = append(g.Views, group.View())
	}
	return g
}

// receiveGossip takes in a message of another VM.
func (f *Frontend) receiveGossip(g inner.Gossip, localTimeFunc func(clock.Millis) clock.Millis) {
	f.limiter.mergeGossip(g, g.Scope == inner.ScopeVM || f.mesh.IsFirstRelay(g.From, g.Zone))
	for _, v := range g.Views {
		if group := f.Group(v.Group); group != nil {
			group.MergeView(g.From, v, localTimeFunc)
		}
	}
	if localTimeFunc != nil {
		f.noteDirectory(g.Address, g.DirectoryHash, localTimeFunc(g.DirectoryAge))
	}
	c := f.catalog.Load()
	if c == nil || g.Version > c.Version {
		f.startConfigurationFetch(g.Address, g.Version)
	}
}

// startConfigurationFetch has a later configuration fetched from another VM, unless that is
// under way.
func (f *Frontend) startConfigurationFetch(address string, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	if version == 0 || now < f.nextFetchAt {
		return
	}
	f.nextFetchAt = now + fetchRetryDelay + fetchDelay
	f.spawn(func() { f.fetchConfiguration(address, version) })
}

// fetchConfiguration asks another VM for the configuration that it has, once the store
// has had time to bring it.
func (f *Frontend) fetchConfiguration(address string, version uint64) {
	ctx, cancel := context.WithTimeout(f.ctx, (fetchDelay + askTimeout).Duration())
	defer cancel()
	_ = f.options.Clock.Sleep(ctx, fetchDelay)
	if c := f.catalog.Load(); c != nil && c.Version >= version {
		return
	}
	a, err := f.ask(ctx, address, inner.Question{Topic: inner.TopicText})
	if err != nil {
		f.options.Log.Info("configuration not got from another VM", "address", address, "version", version, "err", err)
		return
	}
	f.adoptConfiguration(a.Payload, "vm")
}

// ask puts one question to the VM at an address.
func (f *Frontend) ask(ctx context.Context, address string, a inner.Question) (inner.Answer, error) {
	t := f.transport.Load()
	if t == nil {
		return inner.Answer{}, errNoTransport
	}
	return t.Ask(ctx, address, peer.Label{Control: true}, a)
}

// serveStream serves a stream of another VM: statements, and then a question, since
// VMs use a stream again.
func (f *Frontend) serveStream(x inner.Exchange) {
	r, err := x.Receive()
	if err == nil && r.Kind == inner.KindRun {
		r, err = f.holder.Serve(f.ctx, x, r)
	}
	if err != nil || r.Kind != inner.KindQuestion {
		return
	}
	var a inner.Question
	if inner.Decode(r, &a) != nil {
		return
	}
	_ = x.Send(inner.Encode(inner.KindAnswer, f.answer(a)))
}

// answer answers one question of another VM.
func (f *Frontend) answer(a inner.Question) inner.Answer {
	switch a.Topic {
	case inner.TopicServers:
		return f.answerDirectory()
	case inner.TopicText:
		f.mu.Lock()
		defer f.mu.Unlock()
		if len(f.configText) == 0 {
			return inner.Answer{Error: "the VM has no configuration yet"}
		}
		return inner.Answer{Payload: f.configText}
	}
	return inner.Answer{Error: "unknown question " + a.Topic}
}
