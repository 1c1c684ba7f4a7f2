package frontend

import (
	"context"
	"net"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/shutdown"
)

const (
	// stopPollInterval is the pause between two checks of the sessions that are left, in
	// milliseconds.
	stopPollInterval = clock.Millis(50)
	// deregisterTimeout bounds the call that removes the VM from the registry, in
	// milliseconds.
	deregisterTimeout = clock.Second
)

// Stop takes the VM out of service, in the phases of shutdown.Stop. The VM is not ready from
// then on. From IdleEnd on, idle sessions end at once and the others after their statement or
// transaction; what could not end before End is refused. Stop returns when no caller is
// connected and no other VM uses a connection of this one, or at End.
func (f *Frontend) Stop() {
	c := f.options.Clock
	stop := shutdown.New(c.Now(), f.options.StopTimeout)
	f.stop.Store(&stop)
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout.Duration())
	f.mesh.Leave(ctx)
	cancel()
	_ = c.Sleep(context.Background(), stop.IdleEnd()-c.Now())
	f.closingSessions.Store(true)
	for c.Now() < stop.End() && f.openConns.Load()+f.holder.InUse() > 0 {
		f.wakeSessions()
		_ = c.Sleep(context.Background(), stopPollInterval)
	}
	f.options.Log.Info("callers' connections left at the end of the planned stop", "count", f.openConns.Load())
}

// isStopping reports whether a planned stop has begun.
func (f *Frontend) isStopping() bool { return f.stop.Load() != nil }

// takes reports whether a statement that may run for timeout milliseconds ends before a
// planned stop closes the connections.
func (f *Frontend) takes(timeout clock.Millis) bool {
	stop := f.stop.Load()
	return stop == nil || stop.Takes(f.options.Clock.Now(), timeout)
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
