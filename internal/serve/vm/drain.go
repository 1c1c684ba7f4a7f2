package vm

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

const (
	// handoverTimeout is how long a leaving VM waits for the others to take over what
	// it holds, in milliseconds. They learn from the member set that it leaves.
	handoverTimeout = 5 * clock.Second
	// handoverPollInterval is the pause between two looks.
	handoverPollInterval = 20 * clock.Millis(1)
	// retireGrace is how long a former holder keeps the lock for the transactions
	// that are open, in milliseconds.
	retireGrace = 500 * clock.Millis(1)
	// lingerDelay is how long the VM stays after its last transaction, so that its
	// last answers arrive, in milliseconds.
	lingerDelay = 300 * clock.Millis(1)
)

// Drain takes the VM out of service while it still runs: callers are told to
// connect elsewhere as soon as they are idle, what the VM holds goes to its
// successors, and open transactions finish. The context of Start is to end
// afterwards. When ctx ends first, the rest is cut by that, and the error says
// what was left.
func (v *VM) Drain(ctx context.Context) error {
	v.options.Log.Info("leaving", "vm", v.self.Name)
	if err := v.entry.Drain(ctx); err != nil {
		return errors.Wrap(err, "callers were left")
	}
	v.awaitHandover(ctx)
	v.holders.releaseAll()
	if err := v.holders.awaitTransactions(ctx); err != nil {
		return errors.Wrap(err, "transactions of other VMs were left")
	}
	v.limiter.Release(ctx)
	return v.options.Clock.Sleep(ctx, lingerDelay)
}

// awaitHandover waits until nothing falls to this VM any more. That does not
// happen when it is the only one, or when the platform does not list it as
// leaving; the others then take over once they miss it.
func (v *VM) awaitHandover(ctx context.Context) {
	deadline := v.options.Clock.Now() + handoverTimeout
	for v.holders.isHolding() && v.options.Clock.Now() < deadline {
		if v.options.Clock.Sleep(ctx, handoverPollInterval) != nil {
			return
		}
	}
}

// isHolding reports whether the VM holds a server or is about to.
func (h *holders) isHolding() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.running) > 0
}

// releaseAll gives up every server, and takes none any more.
func (h *holders) releaseAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
	for name := range h.running {
		h.retireLocked(name)
	}
}

// retireLocked gives up one server: its holder takes no new transaction, and
// releases the lock to its successor as soon as the open ones have ended, or
// after retireGrace. It is kept until they have ended.
func (h *holders) retireLocked(name string) {
	r := h.running[name]
	delete(h.running, name)
	kept := h.retired[:0]
	for _, o := range append(h.retired, r) {
		if o == r || o.holder.OpenTransactions() > 0 {
			kept = append(kept, o)
		}
	}
	h.retired = kept
	h.pendingReleases.Add(1)
	go func() {
		defer h.pendingReleases.Done()
		r.holder.Drain(retireGrace)
		r.cancel()
	}()
}

// awaitTransactions waits until the transactions of every former holder have ended.
func (h *holders) awaitTransactions(ctx context.Context) error {
	h.mu.Lock()
	list := append([]*runningHolder(nil), h.retired...)
	h.mu.Unlock()
	for _, r := range list {
		if err := r.holder.AwaitTransactions(ctx); err != nil {
			return err
		}
	}
	return nil
}
