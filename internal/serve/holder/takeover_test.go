package holder

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	standin "github.com/sycamoredoor/sycamoredoor/internal/standin/backend"
)

// startGroup starts a stand-in database group and returns it with the
// configuration of its servers.
func startGroup(t *testing.T, names ...string) (*standin.Group, []document.Server) {
	t.Helper()
	failOnViolation(t)
	ctx, cancel := context.WithCancel(context.Background())
	g, err := standin.NewGroup(ctx, "orders", names, standin.Options{Slots: 3, Connections: 12, Clock: clock.System()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		<-g.Done()
	})
	var servers []document.Server
	for _, s := range g.Servers() {
		servers = append(servers, document.Server{Name: s.Name(), Address: s.Address(), Slots: 3, Connections: 5})
	}
	return g, servers
}

// pausableClock is a clock whose timers do not fire while it is paused, as
// those of a stopped process.
type pausableClock struct {
	mu     sync.Mutex
	paused chan struct{}
}

func (p *pausableClock) clock() clock.Clock {
	system := clock.System()
	return clock.Clock{NowFunc: system.NowFunc, AfterFunc: func(m clock.Millis) (<-chan struct{}, func()) {
		fired := make(chan struct{}, 1)
		t := time.AfterFunc(m.Duration(), func() {
			p.mu.Lock()
			paused := p.paused
			p.mu.Unlock()
			if paused != nil {
				<-paused
			}
			fired <- struct{}{}
		})
		return fired, func() { t.Stop() }
	}}
}

func (p *pausableClock) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = make(chan struct{})
}

func (p *pausableClock) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.paused)
	p.paused = nil
}

var member7Begin = inner.Begin{Kind: document.KindWrite, Session: "member-7"}

func writeRow(t *testing.T, h *Holder) inner.End {
	t.Helper()
	c := startCall(h, member7Begin)
	out, end := c.run(backend.QueryMessage("INSERT INTO box (id, v) VALUES ('7', 'plum') ON CONFLICT (id) DO UPDATE SET v = EXCLUDED.v"))
	<-c.done
	if len(out) != 2 || out[0] != "C INSERT 0 1" {
		t.Fatalf("the write was answered with %q", out)
	}
	return end
}

// awaitFloor waits until the holder returns a floor for the session, and checks
// that it covers the minimum.
func awaitFloor(t *testing.T, h *Holder, minimum floor.ReplicationPosition) {
	t.Helper()
	await(t, "the holder returns a floor", func() bool {
		position, err := h.Floor(t.Context(), member7Begin.Session)
		if err == nil && !position.Covers(minimum) {
			t.Fatalf("the floor is %s after a write at %s", position, minimum)
		}
		return err == nil
	})
}

// TestTakeoverAfterKill stops the holder. Its successor must return a floor
// that covers the session's write.
func TestTakeoverAfterKill(t *testing.T) {
	_, servers := startGroup(t, "one", "two", "three")
	a, stop := startHolder(t, Options{Server: servers[0], VM: "a"})
	await(t, "a acquires the lock", func() bool { _, held := a.State(); return held })
	b, _ := startHolder(t, Options{Server: servers[0], VM: "b"})
	end := writeRow(t, a)
	if end.FloorUnrecorded {
		t.Error("the holder of the lock did not record the floor")
	}
	if _, held := b.State(); held {
		t.Fatal("two holders have the lock")
	}
	stop()
	awaitFloor(t, b, end.Position)
}

// TestTakeoverFromPaused pauses the holder's clock. Its successor must acquire
// the lock only once the VM is no longer a member. The old holder must then
// neither return floors nor report the floor of a write as recorded.
func TestTakeoverFromPaused(t *testing.T) {
	_, servers := startGroup(t, "one", "two", "three")
	p := &pausableClock{}
	a := startHolderWithLock(t, Options{Server: servers[0], VM: "a", Clock: p.clock()})
	first := writeRow(t, a)
	p.pause()
	var removed atomic.Bool
	aliveQueried := make(chan struct{}, 1)
	b, _ := startHolder(t, Options{Server: servers[0], VM: "b", AliveFunc: func(vm string) bool {
		select {
		case aliveQueried <- struct{}{}:
		default:
		}
		return vm != "a" || !removed.Load()
	}})
	<-aliveQueried
	if _, held := b.State(); held {
		t.Fatal("the lock of a member was taken over")
	}
	removed.Store(true)
	awaitFloor(t, b, first.Position)
	second := writeRow(t, a)
	if !second.FloorUnrecorded {
		t.Error("a holder without the lock reported a floor as recorded")
	}
	if err := b.RecordFloor(t.Context(), member7Begin.Session, second.Position); err != nil {
		t.Fatal(err)
	}
	awaitFloor(t, b, second.Position)
	p.resume()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if position, err := a.Floor(ctx, member7Begin.Session); err == nil {
		t.Errorf("a holder without the lock returned floor %s for a session", position)
	}
}

// TestFloorAfterPromotion queries the holder of a new primary for a session
// that wrote to the old primary. The floor must cover the write.
func TestFloorAfterPromotion(t *testing.T) {
	_, servers := startGroup(t, "one", "two", "three")
	a := startHolderWithLock(t, Options{Server: servers[0]})
	b := startHolderWithLock(t, Options{Server: servers[1]})
	end := writeRow(t, a)
	c, err := backend.Dial(t.Context(), backend.Options{Address: servers[1].Address, Database: "orders", User: "proxy", ConnectTimeout: clock.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Acquire(1)
	await(t, "the replica has the write", func() bool { s, _ := b.State(); return s.Applied.Covers(end.Position) })
	for _, sql := range []string{"SELECT group_seal(2, 'b')", "SELECT group_promote(2, 'b')"} {
		if _, err := c.Query(1, sql); err != nil {
			t.Fatal(err)
		}
	}
	awaitFloor(t, b, end.Position)
}
