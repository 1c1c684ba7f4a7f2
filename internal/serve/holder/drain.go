package holder

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// drainPollInterval is the pause between two checks for open transactions, in
// milliseconds.
const drainPollInterval = 10 * clock.Millis(1)

// Drain refuses new transactions and waits until the open ones have ended, at
// most for the timeout in milliseconds. Afterwards the caller may end the
// context of Run, which gives the lock to a successor. A transaction that is
// still open keeps its connection; the entry proxy has the successor record the
// floor of its write.
func (h *Holder) Drain(timeout clock.Millis) {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	h.admission.refuseWaiting()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	deadline := h.options.Clock.Now() + timeout
	for h.OpenTransactions() > 0 && h.options.Clock.Now() < deadline {
		_ = h.options.Clock.Sleep(ctx, drainPollInterval)
	}
}

// OpenTransactions returns the number of transactions that have not ended.
func (h *Holder) OpenTransactions() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.transactions)
}

// AwaitTransactions waits until no transaction is open, also after Run has
// returned. If ctx ends first, it returns the error of ctx.
func (h *Holder) AwaitTransactions(ctx context.Context) error {
	for h.OpenTransactions() > 0 {
		if err := h.options.Clock.Sleep(ctx, drainPollInterval); err != nil {
			return err
		}
	}
	return nil
}
