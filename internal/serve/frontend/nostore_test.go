package frontend

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/freshness"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/quota"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/gossip"
)

// followedZone is a follower whose relays answer each of its messages. The store has version
// 1 at first.
type followedZone struct {
	follower *Frontend
	clock    clock.Clock
	// inStore is the version in the store, and calls counts the calls of the follower.
	inStore atomic.Uint64
	calls   atomic.Int64
	// lostStoreAt is the time from which the relays do not reach the store, or 0.
	lostStoreAt atomic.Int64
}

// confirmedAge returns how long ago the relays learned from the store that version 1 is the last.
func (z *followedZone) confirmedAge() clock.Millis {
	if at := z.lostStoreAt.Load(); at > 0 {
		return z.clock.Now() - clock.Millis(at)
	}
	return 0
}

// relayMessage returns a message of a relay that answers one of the follower.
func (z *followedZone) relayMessage(v member.VM, received []byte) ([]byte, bool) {
	frame, err := inner.Unpack(received)
	var g inner.Gossip
	if err != nil || frame.Kind != inner.KindGossip || inner.Decode(frame, &g) != nil {
		return nil, false
	}
	return inner.Pack(inner.Encode(inner.KindGossip, inner.Gossip{
		From: v.Name, Address: v.Address, Zone: v.Zone, Process: 1, Sequence: g.Sequence, Echo: g.Sequence, Version: 1, VersionAge: z.confirmedAge(),
	})), true
}

// source returns the store as the follower reaches it.
func (z *followedZone) source() Source {
	read := func() ([]byte, uint64) {
		z.calls.Add(1)
		version := z.inStore.Load()
		return fmt.Append(nil, version), version
	}
	return Source{
		ParseFunc: (&silentStore{}).source().ParseFunc,
		ReadFunc: func(context.Context) (Reading, uint64, error) {
			text, version := read()
			return Reading{Text: text}, version, nil
		},
		WaitFunc: func(ctx context.Context, after uint64, wait clock.Millis, _ func()) (Reading, uint64, error) {
			for end := z.clock.Now() + wait; z.clock.Now() < end && z.inStore.Load() <= after; {
				if err := z.clock.Sleep(ctx, 5); err != nil {
					return Reading{}, 0, err
				}
			}
			text, version := read()
			if version <= after {
				return Reading{}, version, nil
			}
			return Reading{Text: text}, version, nil
		},
	}
}

// newFollowedZone returns a follower in a zone of 40 VMs that has not started.
func newFollowedZone(t *testing.T) *followedZone {
	t.Helper()
	z := &followedZone{clock: clock.System()}
	z.inStore.Store(1)
	byAddress := map[string]member.VM{}
	var vms []member.VM
	for i := range 40 {
		v := member.VM{Name: fmt.Sprintf("vm%d", i), Address: fmt.Sprintf("address%d", i), Zone: "a", Region: "r"}
		vms, byAddress[v.Address] = append(vms, v), v
	}
	f := &Frontend{configured: make(chan struct{}), lostDependencies: map[string]bool{}, configCopy: freshness.New(), configCalls: &metrics.Counter{}, bounds: freshness.NewBounds(0)}
	f.follower = freshness.NewFollower(f.bounds, 0.9)
	f.limiter = newLimiter(z.clock, Tolerance{})
	f.limiter.vmCountFunc, f.limiter.buckets = func() int { return len(vms) }, map[string]quota.Bucket{}
	for _, v := range vms {
		f.options = Options{Self: v, Clock: z.clock, Log: log.New(io.Discard), Source: z.source()}
		f.mesh = z.newMesh(f, vms, byAddress)
		if err := f.mesh.RefreshVMs(t.Context()); err != nil {
			t.Fatal(err)
		}
		if f.mesh.Role() == gossip.Follower {
			break
		}
	}
	z.follower = f
	return z
}

// start starts the follower and waits until it has version 1 and makes no calls.
func (z *followedZone) start(t *testing.T) {
	t.Helper()
	f := z.follower
	ctx, cancel := context.WithCancel(context.Background())
	f.ctx = ctx
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.followConfiguration(ctx)
	}()
	go f.mesh.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-done
		<-f.mesh.Done()
		f.tasks.Wait()
	})
	awaitVersion(t, f, 1, configDeadline)
	// The first poll ends.
	time.Sleep((freshness.MaxPollWait + clock.Second).Duration())
}

// newMesh returns the mesh of the follower, whose relays answer at once.
func (z *followedZone) newMesh(f *Frontend, vms []member.VM, byAddress map[string]member.VM) *gossip.Mesh {
	var m *gossip.Mesh
	m = gossip.New(gossip.Options{
		Self: f.options.Self, Clock: z.clock, Log: log.New(io.Discard), MaxDatagram: 1100,
		ListFunc:      func(context.Context) (inner.List, error) { return inner.List{Version: 1, VMs: vms}, nil },
		RestartedFunc: func(string) {}, BeginRoundFunc: func() {}, ReceiveFunc: f.receiveGossip,
		ContentFunc: func(s inner.Scope) inner.Gossip { return inner.Gossip{Scope: s} },
		SendFunc: func(_ context.Context, address string, body []byte) error {
			if answer, ok := z.relayMessage(byAddress[address], body); ok {
				m.Receive(byAddress[address].Name, answer)
			}
			return nil
		},
	})
	return m
}

// TestFollowerOfRelaysWithoutStore guards against a follower that stays at an old configuration
// because its relays, which do not reach the store, go on reporting the version that they have.
func TestFollowerOfRelaysWithoutStore(t *testing.T) {
	z := newFollowedZone(t)
	z.start(t)
	z.lostStoreAt.Store(int64(z.clock.Now()))
	z.inStore.Store(2)
	awaitVersion(t, z.follower, 2, configDeadline)
}

// TestFollowerOfCurrentRelays guards against followers that call the store although their relays are up to date.
func TestFollowerOfCurrentRelays(t *testing.T) {
	z := newFollowedZone(t)
	z.start(t)
	before := z.calls.Load()
	time.Sleep(2 * configDeadline)
	if calls := z.calls.Load() - before; calls != 0 {
		t.Errorf("%d calls of the store, want none", calls)
	}
}
