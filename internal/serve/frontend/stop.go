package frontend

import (
	"context"
	"net"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

const (
	// balancerDelay is how long the load balancer may still send new callers to a VM
	// that is not ready, in milliseconds: it probes once a second and takes a VM out
	// after two failed probes.
	balancerDelay = 2200 * clock.Millis(1)
	// stopPollInterval is the pause between two checks of the sessions that are left, in
	// milliseconds.
	stopPollInterval = clock.Millis(50)
	// exitMargin is the part of StopTimeout that is left for the end of the process, in
	// milliseconds.
	exitMargin = clock.Millis(500)
	// deregisterTimeout bounds the call that removes the VM from the registry, in
	// milliseconds.
	deregisterTimeout = clock.Second
)

// Stop takes the VM out of service. The VM is not ready from then on. After balancerDelay,
// or a third of StopTimeout if that is less, idle sessions end at once and the others after
// their statement or transaction. Stop returns when no caller is connected and no other VM
// uses a connection of this one, or when StopTimeout is nearly over.
func (f *Frontend) Stop() {
	f.stopping.Store(true)
	c := f.options.Clock
	startedAt := c.Now()
	end := startedAt + f.options.StopTimeout - exitMargin
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout.Duration())
	f.mesh.Leave(ctx)
	cancel()
	_ = c.Sleep(context.Background(), min(balancerDelay, f.options.StopTimeout/3)-(c.Now()-startedAt))
	f.closingSessions.Store(true)
	for c.Now() < end && f.openConns.Load()+f.holder.InUse() > 0 {
		f.wakeSessions()
		_ = c.Sleep(context.Background(), stopPollInterval)
	}
	f.options.Log.Info("callers' connections left at the end of the planned stop", "count", f.openConns.Load())
}

// wakeSessions interrupts the sessions that wait for their callers, so that they check
// whether they are to end.
func (f *Frontend) wakeSessions() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		interruptRead(c)
	}
}

// interruptRead ends a read that waits for data. The deadline is not in the past, because
// that would also fail a read for which data has already arrived.
func interruptRead(c net.Conn) { _ = c.SetReadDeadline(time.Now().Add(time.Millisecond)) }
