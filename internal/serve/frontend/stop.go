package frontend

import (
	"context"
	"net"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

const (
	// balancerTime is how long the balancer may still send new callers to a VM that
	// is not ready: it asks once a second and wants two refusals.
	balancerTime = 2200 * clock.Millis(1)
	// stopPause is the pause between two looks at the sessions that are left.
	stopPause = clock.Millis(50)
	// stopMargin is left of the grace for the end of the process.
	stopMargin = clock.Millis(500)
	// leaveTimeout bounds the call that takes the VM off the list.
	leaveTimeout = clock.Second
)

// Stop takes the VM out of service: it is not ready from here on; once no new
// callers come, idle sessions end, the others after their operation. It returns
// when none is left or the grace is over.
func (f *Frontend) Stop() {
	f.stopping.Store(true)
	c := f.options.Clock
	began := c.Now()
	end := began + f.options.Grace - stopMargin
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout.Duration())
	f.mesh.Leave(ctx)
	cancel()
	_ = c.Sleep(context.Background(), min(balancerTime, f.options.Grace/3)-(c.Now()-began))
	f.closing.Store(true)
	for c.Now() < end && f.open.Load()+f.holder.InUse() > 0 {
		f.wakeSessions()
		_ = c.Sleep(context.Background(), stopPause)
	}
	f.options.Log.Info("sessions left at the end of the planned stop", "count", f.open.Load())
}

// wakeSessions has every session that waits for its caller look whether it is to end.
func (f *Frontend) wakeSessions() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		wake(c)
	}
}

// wake ends a read that waits, but not one that has something to read.
func wake(c net.Conn) { _ = c.SetReadDeadline(time.Now().Add(time.Millisecond)) }
