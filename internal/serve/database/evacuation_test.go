package database

import (
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/evacuation"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// handoverOver is the age of an evacuation whose handover is over, in milliseconds.
const handoverOver = 4 * clock.Second

// zones are the evacuated zones of a group whose servers p, q and r are each in the zone of that name.
type zones struct {
	group *Group
	since atomic.Pointer[map[member.Zone]clock.Millis]
}

// zonedGroup returns a group of the fake's servers, each in a zone of its own.
func (f *fakeGroup) zonedGroup(t *testing.T, maxConns int) (*Group, *zones) {
	t.Helper()
	g := f.group(t, maxConns)
	z := &zones{group: g}
	z.since.Store(&map[member.Zone]clock.Millis{})
	g.options.Evacuation = evacuation.NewBounds(0)
	g.options.EvacuatedSinceFunc = func(zone member.Zone) (clock.Millis, bool) {
		since, ok := (*z.since.Load())[zone]
		return since, ok
	}
	g.Update([]Server{{ID: "p", Zone: "p", Group: "g", Slots: 2}, {ID: "q", Zone: "q", Group: "g", Slots: 2}, {ID: "r", Zone: "r", Group: "g", Slots: 2}})
	f.runTicks(g, testTimeout, g.Ready)
	return g, z
}

// evacuate evacuates zones as of age milliseconds ago.
func (z *zones) evacuate(age clock.Millis, names ...member.Zone) {
	next := maps.Clone(*z.since.Load())
	for _, n := range names {
		next[n] = z.group.options.Clock.Now() - age
	}
	z.since.Store(&next)
}

// TestEvacuationOnTheWay guards against a statement that is sent to a server whose zone was
// evacuated after the server was chosen: while the statement waits for a connection, or has one,
// and when another VM sends it or is to get it.
func TestEvacuationOnTheWay(t *testing.T) {
	f := &fakeGroup{}
	g, z := f.zonedGroup(t, 1)
	held, err := g.pools["q"].acquire(t.Context(), Requester{Account: "acme", Weight: 1}, 1000)
	if err != nil {
		t.Fatal(err)
	}
	z.evacuate(0, "q")
	if _, err := held.Run(Request{ID: "x", Timeout: 1000}); err != nil {
		t.Errorf("during the handover: %v", err)
	}
	queued := make(chan error, 1)
	go func() {
		_, err := g.pools["q"].acquire(t.Context(), Requester{Account: "acme", Weight: 1}, 60*clock.Second)
		queued <- err
	}()
	for g.pools["q"].queueLength() == 0 {
		time.Sleep(time.Millisecond)
	}
	z.evacuate(handoverOver, "q")
	_, sent := held.Run(Request{ID: "y", Timeout: 1000})
	_, forwarded := g.AcquireForwarded(t.Context(), "q", false, Requester{Account: "acme", Weight: 1}, 1000)
	_, toHolder := (&PooledConn{pool: g.pools["q"], remote: &RemoteConn{VM: "vm2"}}).Run(Request{ID: "z", Timeout: 1000})
	for name, err := range map[string]error{
		"queued": <-queued, "sent": sent, "settings": held.SyncSettings(map[string]string{"mode": "m"}, 1000), "forwarded": forwarded, "to a holder": toHolder,
	} {
		if !errors.Is(err, ErrServerEvacuated) {
			t.Errorf("%s: error %v, want %v", name, err, ErrServerEvacuated)
		}
	}
	if !IsUnsent(sent) || !IsUnsent(toHolder) {
		t.Error("a statement that was not sent counts as sent")
	}
}

// TestReadsLeaveEvacuatedZones guards against new reads at servers of evacuated zones, and against a wait when all are.
func TestReadsLeaveEvacuatedZones(t *testing.T) {
	f := &fakeGroup{}
	g, z := f.zonedGroup(t, 4)
	read := func() string {
		c, err := g.AcquireReader(t.Context(), ReadRequest{Requester: Requester{Account: "acme", Weight: 1}, Tried: map[string]bool{}, Wait: 1000})
		if err != nil {
			return err.Error()
		}
		defer c.Release()
		return c.Server().ID
	}
	z.evacuate(0, "q")
	got := []string{read()}
	z.evacuate(0, "r")
	got = append(got, read())
	z.evacuate(0, "p")
	got = append(got, read())
	if diff := cmp.Diff([]string{"r", "p", ErrEvacuated.Error()}, got); diff != "" {
		t.Errorf("with one, two and three zones evacuated (-want +got):\n%s", diff)
	}
}

// TestEvacuatedPrimaryIsReplaced guards against a primary in an evacuated zone that stays, one that
// is replaced by a server of another such zone, and one that takes no work until it is replaced.
func TestEvacuatedPrimaryIsReplaced(t *testing.T) {
	f := &fakeGroup{claimable: true}
	g, z := f.zonedGroup(t, 4)
	z.evacuate(0, "p", "q")
	if _, err := g.AcquirePrimary(t.Context(), Requester{Account: "acme", Weight: 1}, 0); err != nil {
		t.Errorf("before the change: %v", err)
	}
	f.runTicks(g, testTimeout, func() bool { _, promoted := f.claimCommands(); return len(promoted) > 0 })
	sealed, promoted := f.claimCommands()
	if diff := cmp.Diff([]string{"q", "r"}, slices.Compact(sealed)); diff != "" {
		t.Errorf("sealed servers, with the one in the other zone (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"r"}, slices.Compact(promoted)); diff != "" {
		t.Errorf("promoted servers (-want +got):\n%s", diff)
	}
}

// TestNoSuccessorOfEvacuatedPrimary guards against a claim that could only promote a server of an evacuated zone, and against callers that wait for it.
func TestNoSuccessorOfEvacuatedPrimary(t *testing.T) {
	f := &fakeGroup{claimable: true}
	g, z := f.zonedGroup(t, 4)
	refused := make(chan error, 1)
	g.doubtPrimary("p")
	go func() {
		_, err := g.AcquirePrimary(t.Context(), Requester{Account: "acme", Weight: 1}, 60*clock.Second)
		refused <- err
	}()
	z.evacuate(handoverOver, "p", "q", "r")
	f.runTicks(g, time.Second, func() bool { return len(refused) > 0 })
	select {
	case err := <-refused:
		if !errors.Is(err, ErrEvacuated) {
			t.Errorf("error %v, want %v", err, ErrEvacuated)
		}
	case <-time.After(testTimeout):
		t.Error("the caller is not refused")
	}
	f.runTicks(g, time.Second, func() bool { return false })
	if sealed, promoted := f.claimCommands(); len(sealed)+len(promoted) > 0 {
		t.Errorf("sealed %v, promoted %v", sealed, promoted)
	}
}

// TestSuccessorBehind guards against servers of evacuated zones that are promoted in turn because the only other server lacks acknowledged commits, and against a primary that steps down meanwhile.
func TestSuccessorBehind(t *testing.T) {
	f := &fakeGroup{claimable: true, logEnds: map[string]floor.Position{"p": 5, "q": 5, "r": 4}}
	g, z := f.zonedGroup(t, 4)
	g.mu.Lock()
	g.acknowledged = floor.ReplicationPosition{Term: 1, Position: 5}
	g.mu.Unlock()
	z.evacuate(0, "p", "q")
	f.runTicks(g, 2*time.Second, func() bool { return false })
	f.mu.Lock()
	stopped, sealed, promoted := f.steppedDown, len(f.sealedNow), len(f.promoted)
	f.logEnds["r"] = 5
	f.mu.Unlock()
	if stopped || sealed > 0 || promoted > 0 {
		t.Errorf("primary stepped down: %v, sealed: %d, promotions: %d", stopped, sealed, promoted)
	}
	f.runTicks(g, testTimeout, func() bool { _, promoted := f.claimCommands(); return len(promoted) > 0 })
	if _, promoted := f.claimCommands(); !slices.Equal([]string{"r"}, slices.Compact(promoted)) {
		t.Errorf("promoted %v, want r", promoted)
	}
}
