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
	// deregisterTimeout bounds a call that removes the VM from the registry, in
	// milliseconds, and lastDeregisterTimeout one at the end of the stop. deregisterPause is
	// the pause after a call that failed.
	deregisterTimeout     = clock.Second
	lastDeregisterTimeout = clock.Millis(300)
	deregisterPause       = clock.Millis(200)
)

// Stop takes the VM out of service, in the phases of shutdown.Stop. The VM is not ready from
// then on. From IdleEnd on, idle sessions end at once and the others after their statement or
// transaction; what could not end before End is refused. Stop returns when no caller is
// connected and no other VM uses a connection of this one, or at End. The VM then takes no
// statement any more and is removed from the registry.
func (f *Frontend) Stop() {
	c := f.options.Clock
	stop := shutdown.New(c.Now(), f.options.StopTimeout)
	f.stop.Store(&stop)
	f.mesh.Leave()
	_ = c.Sleep(context.Background(), stop.IdleEnd()-c.Now())
	f.closingSessions.Store(true)
	for c.Now() < stop.End() && f.openConns.Load()+f.holder.InUse() > 0 {
		f.wakeSessions()
		_ = c.Sleep(context.Background(), stopPollInterval)
	}
	f.options.Log.Info("callers' connections left at the end of the planned stop", "count", f.openConns.Load())
	f.endService()
	f.deregister(stop)
}

// endService refuses every later statement, and cuts the callers that are left.
func (f *Frontend) endService() {
	f.ended.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		_ = c.Close()
	}
}

// deregister removes the VM from the registry. It tries again until the end of the stop, since
// claimants wait for the lease of a VM that is listed and not heard.
func (f *Frontend) deregister(stop shutdown.Stop) {
	c := f.options.Clock
	for {
		timeout := max(lastDeregisterTimeout, min(deregisterTimeout, stop.End()-c.Now()))
		ctx, cancel := context.WithTimeout(context.Background(), timeout.Duration())
		err := f.mesh.Unregister(ctx)
		cancel()
		if err == nil || c.Now()+deregisterPause >= stop.End() {
			return
		}
		_ = c.Sleep(context.Background(), deregisterPause)
	}
}

// isStopping reports whether a planned stop has begun.
func (f *Frontend) isStopping() bool { return f.stop.Load() != nil }

// expiresTransactions reports whether the part of a planned stop is over that is left to open
// transactions.
func (f *Frontend) expiresTransactions() bool {
	stop := f.stop.Load()
	return stop != nil && f.options.Clock.Now() >= stop.TransactionEnd()
}

// takes reports whether a statement that may run for timeout milliseconds ends before a
// planned stop closes the connections.
func (f *Frontend) takes(timeout clock.Millis) bool {
	stop := f.stop.Load()
	return stop == nil || !f.ended.Load() && stop.Takes(f.options.Clock.Now(), timeout)
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
