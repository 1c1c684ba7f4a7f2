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

// flushSize is how many bytes of an answer are gathered before they are sent on.
const flushSize = 64 << 10

// cancelTimeout bounds the delivery of a cancel request in milliseconds.
const cancelTimeout = 2 * clock.Second

// resetQuery tells the state after a transaction and brings the connection back
// to how it was opened, except for its prepared statements.
const resetQuery = backend.StateQuery + "; CLOSE ALL; SET SESSION AUTHORIZATION DEFAULT; RESET ALL; UNLISTEN *; " +
	"SELECT pg_advisory_unlock_all(); DISCARD PLANS; DISCARD TEMP; DISCARD SEQUENCES"

const (
	readOnlyQuery = "SET default_transaction_read_only = 'on'"
	statusIdle    = 'I'
)

// transaction is one exchange with an entry proxy: a transaction on one
// connection, from its first batch to the one that ends it.
type transaction struct {
	holder *Holder
	begin  inner.Begin
	x      inner.Exchange
	owner  uint64
	ctx    context.Context
	term   floor.Term

	mu   sync.Mutex
	conn *backend.Conn
	sent bool
	gone bool
}

// Serve runs the transaction that a Begin opened. It returns when the
// transaction has ended or the entry proxy is gone.
func (h *Holder) Serve(ctx context.Context, b inner.Begin, x inner.Exchange) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &transaction{holder: h, begin: b, x: x, owner: h.owners.Add(1), ctx: ctx}
	h.enter(t)
	defer h.leave(t)
	batches := make(chan inner.Frame)
	read := make(chan struct{})
	go t.receive(batches, read, cancel)
	t.run(batches)
	cancel()
	x.Close()
	<-read
}

// receive passes batches on and acts on a cancel or the end of the stream even
// while a statement runs.
func (t *transaction) receive(batches chan<- inner.Frame, done chan<- struct{}, cancel context.CancelFunc) {
	defer close(done)
	defer close(batches)
	for {
		f, err := t.x.Receive()
		if err != nil {
			t.abort()
			cancel()
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

// abort closes the connection of an unfinished transaction; the server rolls it back.
func (t *transaction) abort() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gone = true
	if t.conn != nil {
		t.conn.Close()
	}
}

func (t *transaction) cancelRunning() {
	t.mu.Lock()
	c := t.conn
	t.mu.Unlock()
	if c == nil {
		return
	}
	ctx, stop := context.WithTimeout(t.ctx, cancelTimeout.Duration())
	defer stop()
	_ = c.Cancel(ctx)
}

func (t *transaction) run(batches <-chan inner.Frame) {
	for f := range batches {
		var batch inner.Batch
		if f.Kind != inner.KindBatch || inner.Decode(f, &batch) != nil {
			break
		}
		if !t.batch(batch) {
			break
		}
	}
	t.discard()
}

// discard closes the connection of a transaction that did not end.
func (t *transaction) discard() {
	t.mu.Lock()
	c := t.conn
	t.conn = nil
	t.mu.Unlock()
	if c != nil {
		t.holder.admission.put(c, false)
	}
}

// batch runs one batch and reports whether the transaction goes on.
func (t *transaction) batch(batch inner.Batch) bool {
	if refusal := t.admit(); refusal != nil {
		t.refuse(refusal)
		return false
	}
	answer, status, err := t.exchangeBatch(batch)
	if err != nil {
		t.holder.admission.pause()
		t.end(inner.End{Unknown: err.Error()})
		return false
	}
	if status != statusIdle {
		t.holder.admission.pause()
		return t.end(inner.End{Status: status, Raw: answer})
	}
	t.finish(answer)
	return false
}

func (t *transaction) end(e inner.End) bool {
	return t.x.Send(inner.Encode(inner.KindEnd, e)) == nil
}

func (t *transaction) refuse(e *outcome.NotRun) {
	invariant.Check(!t.sent, invariant.NotRun, "a request that was sent would be refused as not run: %s", e.Detail)
	state, _ := t.holder.State()
	_ = t.x.Send(inner.Encode(inner.KindRefuse, inner.Refuse{Reason: e.Reason, Code: e.Code, Detail: e.Detail, State: state}))
}

// admit waits for what the next batch needs: at first the state of the server,
// a connection and a slot, later a slot alone.
func (t *transaction) admit() *outcome.NotRun {
	ctx, cancel := context.WithTimeout(t.ctx, t.begin.Deadline.Duration())
	defer cancel()
	if t.conn != nil {
		return t.holder.admission.resume(ctx)
	}
	waiting, stop, lost := t.holder.within(ctx)
	defer stop()
	if refusal := t.holder.ready(ctx, t.begin); refusal != nil {
		return refusal
	}
	c, refusal := t.holder.admission.acquire(waiting, t.begin.Account, t.begin.Weight)
	if refusal != nil && ctx.Err() == nil && lost() {
		return outcome.Refuse(outcome.ReasonHolder, outcome.CodeUnavailable, "backend server %s was lost while the request waited", t.begin.Server)
	}
	if refusal != nil {
		return refusal
	}
	c.Take(t.owner)
	return t.pin(c)
}

// pin makes c the connection of the transaction. What the holder knew before
// the wait for a slot is checked once more.
func (t *transaction) pin(c *backend.Conn) *outcome.NotRun {
	refusal, _ := t.holder.check(t.begin)
	t.mu.Lock()
	gone := t.gone
	if refusal == nil && !gone {
		t.conn = c
	}
	t.mu.Unlock()
	if refusal == nil && gone {
		refusal = outcome.Refuse(outcome.ReasonVM, outcome.CodeUnavailable, "the entry proxy is gone")
	}
	if refusal != nil {
		c.Give(t.owner)
		t.holder.admission.put(c, true)
		t.holder.admission.pause()
		return refusal
	}
	state, _ := t.holder.State()
	t.term = state.Term
	invariant.Check(state.Applied.Covers(t.begin.Floor), invariant.ReadYourWrites,
		"backend server at %s got a request of a session that has seen %s", state.Applied, t.begin.Floor)
	return nil
}

// exchangeBatch sends a batch and reads its answer. Long answers are sent on
// while they come.
func (t *transaction) exchangeBatch(batch inner.Batch) (answer []byte, status byte, err error) {
	c := t.conn
	p := planBatch(batch, c.Prepared)
	if !t.sent && t.begin.Kind == document.KindRead {
		p.out = append(backend.QueryMessage(readOnlyQuery), p.out...)
		p.expects = append([]expectation{{kind: 'Q', hidden: true}}, p.expects...)
	}
	t.sent = true
	if err := c.Write(t.owner, p.out); err != nil {
		return nil, 0, err
	}
	buf := p.made(make([]byte, 0, 512))
	for len(p.expects) > 0 {
		start := len(buf)
		grown, m, err := c.Append(t.owner, buf)
		if err != nil {
			return nil, 0, err
		}
		buf = grown
		kind := m.Type()
		if kind == 'Z' {
			status = m.Body()[0]
		}
		if !t.keep(p, kind, m.Body()) {
			buf = buf[:start]
		}
		buf = p.made(buf)
		if buf, err = t.flush(buf, kind); err != nil {
			return nil, 0, err
		}
	}
	return buf, status, nil
}

// keep settles one answer and reports whether the caller sees it.
func (t *transaction) keep(p *plan, kind byte, body []byte) bool {
	switch kind {
	case 'S', 'A':
		return false
	case 'N':
		return true
	case 'E':
		p.fail(t.conn.Prepared)
		return true
	case 'G', 'H', 'W':
		t.conn.Dirty = true
		return false
	case 'C':
		t.noteTag(string(body))
	}
	return p.take(kind)
}

// noteTag watches for statements whose effects the ordinary reset leaves behind.
func (t *transaction) noteTag(tag string) {
	switch tag {
	case "PREPARE\x00", "DEALLOCATE\x00", "DEALLOCATE ALL\x00", "DISCARD ALL\x00":
		t.conn.Dirty = true
	}
}

// flush sends rows on once there are many. The end of an answer is kept back,
// since it may say that a commit has happened.
func (t *transaction) flush(buf []byte, kind byte) ([]byte, error) {
	if len(buf) < flushSize || kind != 'D' {
		return buf, nil
	}
	if err := t.x.Send(inner.Frame{Kind: inner.KindData, Body: buf}); err != nil {
		return nil, err
	}
	return make([]byte, 0, flushSize), nil
}

// finish settles a transaction that has ended on the server: its state is
// learned, and only then does the caller get the answer.
func (t *transaction) finish(answer []byte) {
	c := t.conn
	rows, err := c.Query(t.owner, resetQuery)
	t.holder.admission.pause()
	var state backend.State
	if err == nil {
		state, err = backend.ParseState(rows)
	}
	if err == nil {
		err = t.confirm(state)
	}
	if err != nil {
		t.end(inner.End{Unknown: err.Error()})
		return
	}
	t.holder.learn(state)
	mark := state.Applied
	if t.begin.Kind == document.KindWrite && t.begin.Session != "" {
		t.holder.floors.record(t.begin.Session, mark)
	}
	t.mu.Lock()
	t.conn = nil
	t.mu.Unlock()
	c.Give(t.owner)
	t.holder.admission.put(c, !c.Dirty)
	t.end(inner.End{Status: statusIdle, Mark: mark, Raw: answer})
}

// confirm refuses to acknowledge a write of a primary that has been replaced.
func (t *transaction) confirm(s backend.State) error {
	if t.begin.Kind == document.KindWrite && (s.Role != backend.RolePrimary || s.Term != t.term || t.holder.replaced(t.term)) {
		return &outcome.Unknown{Detail: "the primary was replaced before the answer"}
	}
	return nil
}
