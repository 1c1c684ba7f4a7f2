package holder

import (
	"sync"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// watchDelay is how long a batch runs before its exchange is watched for a
// cancel and for the end of the entry proxy, in milliseconds. A shorter one ends
// without the cost of a watcher.
const watchDelay = clock.Millis(1)

// watcher reads the exchange of a transaction beside the batch that runs.
type watcher struct {
	mu       sync.Mutex
	started  bool
	disabled bool
	batches  chan inner.Frame
	// done is closed once nothing reads any more; it is nil before the start.
	done chan struct{}
}

// receiveFirst reads the first batch in place. A cancel before it finds nothing to cancel.
func (t *transaction) receiveFirst() (inner.Frame, bool) {
	for {
		f, err := t.exchange.Receive()
		if err != nil || f.Kind != inner.KindCancel {
			return f, err == nil
		}
	}
}

// watchAfterDelay has the exchange watched if the batch takes long. The returned
// function says that the batch has ended.
func (t *transaction) watchAfterDelay() func() bool {
	return time.AfterFunc(watchDelay.Duration(), t.watch).Stop
}

// watch starts the watcher unless it runs or the transaction has ended.
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

// disableWatch keeps the watcher from starting and reports whether the exchange
// can be used again, which is so when nothing reads it.
func (t *transaction) disableWatch() bool {
	w := &t.watcher
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disabled = true
	return !w.started
}

// awaitWatcher waits for the watcher, whose exchange was closed before.
func (t *transaction) awaitWatcher() {
	if !t.disableWatch() {
		<-t.watcher.done
	}
}

// receiveFrames passes batches on and acts on a cancel or the end of the stream even
// while a statement runs.
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
