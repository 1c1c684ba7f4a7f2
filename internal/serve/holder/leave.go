package holder

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// finishPause is the pause between two looks at the transactions left, in milliseconds.
const finishPause = 10 * clock.Millis(1)

// Leave refuses new transactions and waits until the open ones have ended, at
// most for the grace in milliseconds. The context of Run can end then, which
// gives the lock to a successor. A transaction that is still open keeps its
// connection; the floor of its write is recorded at the successor.
func (h *Holder) Leave(grace clock.Millis) {
	h.mu.Lock()
	h.departing = true
	h.mu.Unlock()
	h.admission.turnAway()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	deadline := h.options.Clock.Now() + grace
	for h.Open() > 0 && h.options.Clock.Now() < deadline {
		_ = h.options.Clock.Sleep(ctx, finishPause)
	}
}

// Open returns the number of transactions that have not ended.
func (h *Holder) Open() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.running)
}

// Finish waits until no transaction is open, also after Run has ended. When ctx
// ends first, its error is returned.
func (h *Holder) Finish(ctx context.Context) error {
	for h.Open() > 0 {
		if err := h.options.Clock.Sleep(ctx, finishPause); err != nil {
			return err
		}
	}
	return nil
}
