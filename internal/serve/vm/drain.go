package vm

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

const (
	// handoverTimeout is how long a leaving VM waits for the others to take over the
	// backend servers that it holds, in milliseconds. They learn from the member set that
	// it leaves.
	handoverTimeout = 5 * clock.Second
	// handoverPollInterval is the pause between two checks of the handover, in
	// milliseconds.
	handoverPollInterval = 20 * clock.Millis(1)
	// retireGrace is how long a former holder keeps the lock while transactions are open,
	// in milliseconds.
	retireGrace = 500 * clock.Millis(1)
	// lingerDelay is how long the VM keeps running after its last transaction so that the
	// last answers arrive, in milliseconds.
	lingerDelay = 300 * clock.Millis(1)
)

// Drain takes the VM out of service while it keeps running. Callers are told to connect
// elsewhere as soon as they are idle, the backend servers that the VM holds go to their
// next holders, and open transactions finish. The caller of Drain ends the context of
// Start afterwards. When ctx ends first, the error names what was still open. The
// remaining callers are then cut off at once, and transactions of other VMs when the
// context of Start ends.
func (v *VM) Drain(ctx context.Context) error {
	v.options.Log.Info("draining", "vm", v.self.Name)
	if err := v.entry.Drain(ctx); err != nil {
		return errors.Wrap(err, "callers are still connected")
	}
	v.awaitHandover(ctx)
	v.holders.releaseAll()
	if err := v.holders.awaitTransactions(ctx); err != nil {
		return errors.Wrap(err, "transactions of other VMs are still open")
	}
	v.limiter.Release(ctx)
	return v.options.Clock.Sleep(ctx, lingerDelay)
}

// awaitHandover waits until this VM is no longer the holder of any backend server, for at
// most handoverTimeout. That time passes in full when this is the only VM, or when the
// platform does not list it as leaving; the other VMs then take over once they suspect it.
func (v *VM) awaitHandover(ctx context.Context) {
	deadline := v.options.Clock.Now() + handoverTimeout
	for v.holders.isHolding() && v.options.Clock.Now() < deadline {
		if v.options.Clock.Sleep(ctx, handoverPollInterval) != nil {
			return
		}
	}
}

// isHolding reports whether the VM runs a holder, which has its server's lock or waits for
// it.
func (h *holders) isHolding() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.running) > 0
}

// releaseAll retires every holder and prevents new ones from starting.
func (h *holders) releaseAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
	for name := range h.running {
		h.retireLocked(name)
	}
}

// retireLocked retires the holder of a server: the holder refuses new transactions and
// releases the lock to the next holder as soon as the open transactions have ended, or
// after retireGrace. It stays in h.retired until a later call finds that they have ended.
// The caller holds the lock of h.
func (h *holders) retireLocked(name string) {
	r := h.running[name]
	delete(h.running, name)
	retired := h.retired[:0]
	for _, o := range append(h.retired, r) {
		if o == r || o.holder.OpenTransactions() > 0 {
			retired = append(retired, o)
		}
	}
	h.retired = retired
	h.pendingReleases.Add(1)
	go func() {
		defer h.pendingReleases.Done()
		r.holder.Drain(retireGrace)
		r.cancel()
	}()
}

// awaitTransactions waits until the transactions of every retired holder have ended. When
// ctx ends first, it returns the error of ctx.
func (h *holders) awaitTransactions(ctx context.Context) error {
	h.mu.Lock()
	retired := append([]*runningHolder(nil), h.retired...)
	h.mu.Unlock()
	for _, r := range retired {
		if err := r.holder.AwaitTransactions(ctx); err != nil {
			return err
		}
	}
	return nil
}
