package frontend

import (
	"context"
	"net"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

const (
	// balancerDelay is how long the balancer may still send new callers to a VM that
	// is not ready: it asks once a second and wants two refusals.
	balancerDelay = 2200 * clock.Millis(1)
	// stopPollInterval is the pause between two looks at the sessions that are left.
	stopPollInterval = clock.Millis(50)
	// exitMargin is left of the grace for the end of the process.
	exitMargin = clock.Millis(500)
	// deregisterTimeout bounds the call that takes the VM off the list.
	deregisterTimeout = clock.Second
)

// Stop takes the VM out of service: it is not ready from here on; once no new
// callers come, idle sessions end, the others after their operation. It returns
// when none is left or the grace is over.
func (f *Frontend) Stop() {
	f.stopping.Store(true)
	c := f.options.Clock
	began := c.Now()
	end := began + f.options.StopTimeout - exitMargin
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout.Duration())
	f.mesh.Leave(ctx)
	cancel()
	_ = c.Sleep(context.Background(), min(balancerDelay, f.options.StopTimeout/3)-(c.Now()-began))
	f.closingSessions.Store(true)
	for c.Now() < end && f.openConns.Load()+f.holder.InUse() > 0 {
		f.wakeSessions()
		_ = c.Sleep(context.Background(), stopPollInterval)
	}
	f.options.Log.Info("sessions left at the end of the planned stop", "count", f.openConns.Load())
}

// wakeSessions has every session that waits for its caller look whether it is to end.
func (f *Frontend) wakeSessions() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		interruptRead(c)
	}
}

// interruptRead ends a read that waits, but not one that has something to read.
func interruptRead(c net.Conn) { _ = c.SetReadDeadline(time.Now().Add(time.Millisecond)) }
