package holder

import (
	"sync"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// watchDelay is how long a batch runs before its exchange is read for a cancel
// request or its close, in milliseconds. Shorter batches avoid the cost of a
// watcher.
const watchDelay = clock.Millis(1)

// watcher reads the exchange of a transaction while a batch runs and between
// batches.
type watcher struct {
	mu      sync.Mutex
	started bool
	// disabled is set once the watcher must not start any more.
	disabled bool
	// batches gets the frames that are not cancel requests. Both channels are
	// nil until the watcher starts, and closed when it returns.
	batches chan inner.Frame
	done    chan struct{}
}

// receiveFirst reads the first batch without a watcher. It ignores a cancel
// before that batch, since nothing runs yet.
func (t *transaction) receiveFirst() (inner.Frame, bool) {
	for {
		f, err := t.exchange.Receive()
		if err != nil || f.Kind != inner.KindCancel {
			return f, err == nil
		}
	}
}

// watchAfterDelay starts the watcher after watchDelay. The caller must call the
// returned function when the batch has ended.
func (t *transaction) watchAfterDelay() func() bool {
	return time.AfterFunc(watchDelay.Duration(), t.watch).Stop
}

// watch starts the watcher unless it runs or is disabled.
func (t *transaction) watch() {
	w := &t.watcher
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.started || w.disabled {
		return
	}
	w.started, w.batches, w.done = true, make(chan inner.Frame), make(chan struct{})
	go t.receiveFrames(w.batches, w.done)
}

// disableWatch prevents the watcher from starting. It returns true if the
// watcher never started: only then can the exchange be reused, since nothing
// else reads it.
func (t *transaction) disableWatch() bool {
	w := &t.watcher
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disabled = true
	return !w.started
}

// awaitWatcher waits until the watcher has returned. t.ctx must be canceled and
// the exchange closed before: the watcher may be blocked in passing on a batch
// or in receiving one.
func (t *transaction) awaitWatcher() {
	if !t.disableWatch() {
		<-t.watcher.done
	}
}

// receiveFrames passes on batches. It acts on a cancel request and on the end
// of the exchange even while a statement runs.
func (t *transaction) receiveFrames(batches chan<- inner.Frame, done chan<- struct{}) {
	defer close(done)
	defer close(batches)
	for {
		f, err := t.exchange.Receive()
		if err != nil {
			t.abort()
			t.cancel()
			return
		}
		if f.Kind == inner.KindCancel {
			t.cancelRunning()
			continue
		}
		select {
		case batches <- f:
		case <-t.ctx.Done():
			return
		}
	}
}
