package frontend

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/gossip"
)

// drainDeadline is how old a VM's directory may become before work is sent to a server that has
// left, in milliseconds.
const drainDeadline = 7 * clock.Second

// TestDirectoryWithoutReader guards against a directory that grows too old because the VM that reads it for the region does not reach the store, and one call of this VM fails.
func TestDirectoryWithoutReader(t *testing.T) {
	c := clock.System()
	var reads atomic.Int64
	f := &Frontend{era: 1, lostDependencies: map[string]bool{}, groups: map[string]*database.Group{}, directoryReadAt: clock.DistantPast, restoredAt: clock.DistantPast}
	f.options = Options{Self: member.VM{Name: "vm1", Zone: "b", Region: "r"}, Clock: c, Log: log.New(io.Discard), EraFunc: func() uint64 { return 1 }}
	f.options.ServersFunc = func(context.Context) ([]database.Server, error) {
		if reads.Add(1) == 2 {
			return nil, errors.New("no answer")
		}
		return nil, nil
	}
	vms := []member.VM{f.options.Self, {Name: "vm0", Zone: "a", Region: "r"}}
	f.mesh = gossip.New(gossip.Options{Self: f.options.Self, Clock: c, ListFunc: func(context.Context) (inner.List, error) { return inner.List{VMs: vms}, nil }})
	if err := f.mesh.RefreshVMs(t.Context()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.pollDirectory(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	for reads.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	// Another VM's directory arrives last 600 ms later.
	time.Sleep(600 * time.Millisecond)
	f.mu.Lock()
	lastReadAt := c.Now()
	f.directoryReadAt = lastReadAt
	f.mu.Unlock()
	for reads.Load() < 3 && c.Now()-lastReadAt < 2*drainDeadline {
		time.Sleep(5 * time.Millisecond)
	}
	if age := c.Now() - lastReadAt; age > drainDeadline {
		t.Errorf("the directory was %d ms old when it was read, want at most %d", age, drainDeadline)
	}
}
