package vm

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

const (
	// followInterval is the longest pause between two checks of what this VM should hold,
	// in milliseconds.
	followInterval = clock.Second
	// dropSuspectAfter is how long a VM is suspected before the connections with it are
	// closed, in milliseconds. They are closed so that the transactions that it left open
	// are rolled back.
	dropSuspectAfter = 2 * clock.Second
	// beatTimeout bounds the sending of a heartbeat, in milliseconds.
	beatTimeout = 400 * clock.Millis(1)
)

// signalChange makes followChanges check for changes at once.
func (v *VM) signalChange() {
	select {
	case v.changed <- struct{}{}:
	default:
	}
}

// followChanges runs until the context ends. After each change of the members or the
// configuration, and at least every followInterval, it starts and stops holders and
// observers, and closes the connections of callers whose key has been withdrawn and those
// with VMs suspected for dropSuspectAfter.
func (v *VM) followChanges(ctx context.Context) {
	suspected := map[string]clock.Millis{}
	for ctx.Err() == nil {
		if d := v.membership.Latest(); d != nil {
			v.entry.CloseWithdrawnSessions(d)
		}
		v.holders.update(ctx)
		v.observers.update(ctx)
		v.dropSuspects(suspected)
		fired, stop := v.options.Clock.AfterFunc(followInterval)
		select {
		case <-ctx.Done():
		case <-v.changed:
		case <-fired:
		}
		stop()
	}
}

// sendBeat sends a heartbeat and returns at once, even when a connection has to be opened
// first.
func (v *VM) sendBeat(ctx context.Context, address string, body []byte) {
	v.sendingBeats.Add(1)
	go func() {
		defer v.sendingBeats.Done()
		ctx, cancel := context.WithTimeout(ctx, beatTimeout.Duration())
		defer cancel()
		_ = v.transport.SendDatagram(ctx, address, body)
	}()
}

// dropSuspects closes the connections with VMs that have been suspected for at least
// dropSuspectAfter, once for each suspicion. The map holds the time at which a check first
// found a VM suspected, or 0 once its connections have been closed.
func (v *VM) dropSuspects(suspected map[string]clock.Millis) {
	alive := map[string]bool{}
	for _, m := range v.membership.Alive() {
		alive[m.Name] = true
		delete(suspected, m.Name)
	}
	now := v.options.Clock.Now()
	for _, m := range v.membership.AllMembers() {
		since, known := suspected[m.Name]
		switch {
		case alive[m.Name]:
		case !known:
			suspected[m.Name] = now
		case since > 0 && now-since >= dropSuspectAfter:
			suspected[m.Name] = 0
			v.transport.CloseOutgoing(m.Address)
			v.transport.CloseIncoming(m.Name)
		}
	}
}
