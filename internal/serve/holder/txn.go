package holder

import (
	"context"
	"sync"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// flushSize is the size in bytes from which the rows of an answer are sent to
// the caller before its end.
const flushSize = 64 << 10

// cancelTimeout bounds the delivery of a cancel request, in milliseconds.
const cancelTimeout = 2 * clock.Second

const (
	readOnlyQuery = "SET default_transaction_read_only = 'on'"
	// statusIdle and statusOpen are transaction statuses of ReadyForQuery.
	statusIdle = 'I'
	statusOpen = 'T'
	// codeIdle is SQLSTATE idle_in_transaction_session_timeout.
	codeIdle = "25P03"
)

// transaction is one transaction of an entry proxy on one connection, from its
// first batch to the one that ends it.
type transaction struct {
	holder   *Holder
	begin    inner.Begin
	exchange inner.Exchange
	// owner is the unique number under which the transaction uses connections.
	owner  uint64
	ctx    context.Context
	cancel context.CancelFunc
	// term is that of the server when the connection was pinned.
	term floor.Term

	watcher watcher

	// mu guards aborted, canceled and changes of conn. The goroutine of run,
	// which alone changes conn, reads it without mu.
	mu   sync.Mutex
	conn *backend.Conn
	// sent is set once the first batch was sent.
	sent bool
	// batchSent is set once a part of the current batch was sent.
	batchSent bool
	// aborted is set once the entry proxy has closed the exchange.
	aborted bool
	// canceled is set once a cancel request was sent. It may arrive after the
	// statement, so the connection must not be reused.
	canceled bool
	// exchangeReusable is set when the exchange can take another Begin.
	exchangeReusable bool

	// keyedBatchSent is set once a batch with a newly inserted key was sent,
	// which must happen at most once.
	keyedBatchSent bool
	// recorder collects the outcome to store under the key; it is nil while
	// none is recorded.
	recorder *recorder
}

// Serve runs the transaction that a Begin opened. It returns when the
// transaction has ended or the entry proxy has closed the exchange. It reports
// whether the exchange can take another Begin; if not, Serve has closed it.
func (h *Holder) Serve(ctx context.Context, b inner.Begin, x inner.Exchange) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &transaction{holder: h, begin: b, exchange: x, owner: h.ownerSequence.Add(1), ctx: ctx, cancel: cancel}
	h.addTransaction(t)
	defer h.removeTransaction(t)
	t.run()
	if t.exchangeReusable {
		return true
	}
	cancel()
	x.Close()
	t.awaitWatcher()
	return false
}

// abort closes the connection of an unfinished transaction, which the server
// then rolls back.
func (t *transaction) abort() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.aborted = true
	if t.conn != nil {
		t.conn.Close()
	}
}

// cancelRunning asks the server to cancel the running statement.
func (t *transaction) cancelRunning() {
	t.mu.Lock()
	c := t.conn
	t.canceled = t.canceled || c != nil
	t.mu.Unlock()
	if c == nil {
		return
	}
	ctx, stop := context.WithTimeout(t.ctx, cancelTimeout.Duration())
	defer stop()
	_ = c.Cancel(ctx)
}

// run serves batches until the transaction has ended or the exchange fails.
func (t *transaction) run() {
	defer t.discard()
	f, ok := t.receiveFirst()
	for ok {
		var batch inner.Batch
		if f.Kind != inner.KindBatch || inner.Decode(f, &batch) != nil {
			return
		}
		stopTimer := t.watchAfterDelay()
		open := t.serveBatch(batch)
		stopTimer()
		if !open {
			return
		}
		// The watcher receives the next batch, and notices when the exchange
		// closes.
		t.watch()
		f, ok = t.nextBatch(t.watcher.batches)
	}
}

// nextBatch waits for the next batch of an open transaction. After the idle
// timeout it rolls back the transaction, and answers the next batch with
// codeIdle.
func (t *transaction) nextBatch(batches <-chan inner.Frame) (inner.Frame, bool) {
	fired, stop := t.holder.options.Clock.AfterFunc(t.holder.options.IdleTimeout)
	defer stop()
	select {
	case f, ok := <-batches:
		return f, ok
	case <-fired:
	}
	t.discard()
	if _, ok := <-batches; ok {
		t.sendEnd(inner.End{Status: statusIdle, Raw: errorAnswer(codeIdle, "the transaction was idle for too long and was rolled back")})
	}
	return inner.Frame{}, false
}

// discard closes the connection of a transaction that has not ended.
func (t *transaction) discard() {
	t.mu.Lock()
	c := t.conn
	t.conn = nil
	t.mu.Unlock()
	if c != nil {
		t.holder.admission.put(c, false)
	}
}

// serveBatch runs one batch and reports whether the transaction is still open.
func (t *transaction) serveBatch(batch inner.Batch) bool {
	t.batchSent = false
	if t.hasKey() && !t.sent {
		if refusal := onceRefusal(batch); refusal != nil {
			t.sendRefusal(refusal)
			return false
		}
	}
	if refusal := t.admitTraced(); refusal != nil {
		t.sendRefusal(refusal)
		return false
	}
	since := t.holder.options.Clock.Now()
	a, err := t.executeTraced(batch)
	t.holder.counters.observeRun(t.holder.options.Clock.Now() - since)
	if err != nil {
		t.holder.admission.releaseSlot()
		t.endLost(batch, err)
		return false
	}
	if a.status != statusIdle {
		t.holder.admission.releaseSlot()
		return t.sendEnd(inner.End{Status: a.status, Raw: a.raw})
	}
	t.finish(a)
	return false
}

// sendEnd ends a batch and reports whether the frame was sent.
func (t *transaction) sendEnd(e inner.End) bool {
	return t.exchange.Send(inner.Encode(inner.KindEnd, e)) == nil
}

// sendRefusal reports that the batch was not run. It must not be called once
// any part of the batch was sent.
func (t *transaction) sendRefusal(e *outcome.NotRun) {
	invariant.Check(!t.batchSent, invariant.NotRun, "a request that was sent would be refused as not run: %s", e.Detail)
	state, _ := t.holder.State()
	_ = t.exchange.Send(inner.Encode(inner.KindRefusal, inner.Refusal{Reason: e.Reason, Code: e.Code, Detail: e.Detail, State: state}))
}

// admit waits for what the next batch needs: the first one for the state of the
// server, a connection and a slot, later ones for a slot alone.
func (t *transaction) admit() *outcome.NotRun {
	if c := t.tryConnection(); c != nil {
		return t.pin(c)
	}
	ctx, cancel := context.WithTimeout(t.ctx, t.begin.Timeout.Duration())
	defer cancel()
	if t.conn != nil {
		return t.holder.admission.acquireSlot(ctx)
	}
	if refusal := t.holder.awaitReady(ctx, t.begin); refusal != nil {
		return refusal
	}
	for {
		c, refusal := t.holder.admission.acquire(ctx, t.begin.Account, t.begin.Weight)
		if refusal != nil {
			return refusal
		}
		c.Acquire(t.owner)
		if t.usable(c) {
			return t.pin(c)
		}
	}
}

// tryConnection returns a connection, and takes a slot for it, if the transaction
// need not wait; otherwise it returns nil. A read with a staleness bound may have
// to wait for a majority to confirm the primary.
func (t *transaction) tryConnection() *backend.Conn {
	b := t.begin
	if t.conn != nil || b.MaxStaleness > 0 && b.Kind == document.KindRead {
		return nil
	}
	if refusal, _ := t.holder.checkReady(b); refusal != nil {
		return nil
	}
	if c := t.holder.admission.tryAcquire(); c != nil {
		c.Acquire(t.owner)
		if t.usable(c) {
			return c
		}
	}
	return nil
}

// usable reports whether a connection can run the transaction. If not, it
// closes the connection and returns the slot.
func (t *transaction) usable(c *backend.Conn) bool {
	if t.awaitReset(c) == nil && c.Alive() {
		return true
	}
	t.returnConnection(c, false)
	return false
}

// returnConnection returns a connection and its slot before anything was sent.
func (t *transaction) returnConnection(c *backend.Conn, reusable bool) {
	c.Release(t.owner)
	t.holder.admission.put(c, reusable)
	t.holder.admission.releaseSlot()
}

// pin makes c the connection of the transaction. It checks the state of the
// server again, which may have changed during the wait for a slot.
func (t *transaction) pin(c *backend.Conn) *outcome.NotRun {
	refusal, _ := t.holder.checkReady(t.begin)
	t.mu.Lock()
	exchangeClosed := t.aborted
	if refusal == nil && !exchangeClosed {
		t.conn = c
	}
	t.mu.Unlock()
	if refusal == nil && exchangeClosed {
		refusal = outcome.Refuse(outcome.ReasonVMUnreachable, outcome.CodeUnavailable, "the entry proxy is gone")
	}
	if refusal != nil {
		t.returnConnection(c, true)
		return refusal
	}
	t.holder.checkLeaving()
	state, _ := t.holder.State()
	t.term = state.Term
	invariant.Check(state.Applied.Covers(t.begin.Floor), invariant.ReadYourWrites,
		"backend server at %s got a request of a session that has seen %s", state.Applied, t.begin.Floor)
	return nil
}
