package holder

import (
	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

const rollbackQuery = "ROLLBACK"

// keyed reports whether the transaction carries an idempotency key. Reads may
// be repeated anyway.
func (t *transaction) keyed() bool {
	return t.begin.Once && t.begin.Key != "" && t.begin.Kind == document.KindWrite
}

// exchange runs one batch, with the idempotency key in the same transaction if
// there is one.
func (t *transaction) exchange(batch inner.Batch) (*answer, error) {
	if !t.keyed() || t.sent {
		return t.exchangeBatch(batch)
	}
	switch shapeOf(batch) {
	case shapeSingle:
		return t.onceSingle(batch)
	case shapeBegin:
		return t.onceBegin(batch)
	}
	return t.exchangeBatch(batch)
}

// onceSingle runs a batch that is a transaction of its own together with its
// key, and keeps its outcome under the key.
func (t *transaction) onceSingle(batch inner.Batch) (*answer, error) {
	id := onceID(t.begin.Account, t.begin.Key)
	t.sent, t.reached = true, true
	rows, err := t.conn.Query(t.owner, "BEGIN; "+claimQuery(id))
	if err != nil {
		return t.undo(err)
	}
	if len(rows) == 0 {
		return t.repeat(id, batch)
	}
	t.recorder = &recorder{}
	a, err := t.runOnce(batch)
	if err != nil {
		return nil, err
	}
	if a.status != statusOpen {
		_, err := t.conn.Query(t.owner, rollbackQuery)
		return a.ended(), err
	}
	text, err := encodeOutcome(t.recorder.outcome)
	if err != nil {
		return nil, err
	}
	if _, err := t.conn.Query(t.owner, keepQuery(id, text)+"; COMMIT"); err != nil {
		return t.undo(err)
	}
	return a.ended(), nil
}

// runOnce sends the batch of a transaction that has its key.
func (t *transaction) runOnce(batch inner.Batch) (*answer, error) {
	invariant.Check(!t.ran, invariant.AtMostOnce, "a request with key %q would be sent a second time", t.begin.Key)
	t.ran = true
	p := newPlan(batch, t.conn.Prepared, true)
	if err := t.conn.Write(t.owner, p.out); err != nil {
		return nil, err
	}
	a := &answer{}
	return a, t.readAnswer(p, a)
}

// onceBegin opens an explicit transaction and puts the key in it.
func (t *transaction) onceBegin(batch inner.Batch) (*answer, error) {
	a, err := t.exchangeBatch(batch)
	if err != nil || a.status != statusOpen {
		return a, err
	}
	id := onceID(t.begin.Account, t.begin.Key)
	rows, err := t.conn.Query(t.owner, claimQuery(id))
	if err != nil {
		return t.undo(err)
	}
	if len(rows) > 0 {
		invariant.Check(!t.ran, invariant.AtMostOnce, "a request with key %q would be sent a second time", t.begin.Key)
		t.ran = true
		return a, nil
	}
	if _, err := t.recall(id); err != nil {
		return t.undo(err)
	}
	return &answer{raw: failure(outcome.CodeDuplicate, "the transaction already ran"), status: statusIdle}, nil
}

// repeat answers a request whose key is there with its first outcome.
func (t *transaction) repeat(id string, batch inner.Batch) (*answer, error) {
	first, err := t.recall(id)
	if err != nil {
		return t.undo(err)
	}
	raw, err := replay(first, batch)
	if err != nil {
		raw = failure(outcome.CodeDuplicate, err.Error())
	}
	return &answer{raw: raw, status: statusIdle}, nil
}

// recall ends the transaction of a repeat and returns the first outcome. It
// writes the outcome once more: that commit is behind the first one in the log,
// so an outcome that a majority does not have is not given.
func (t *transaction) recall(id string) (firstOutcome, error) {
	rows, err := t.conn.Query(t.owner, recallQuery(id))
	if err != nil {
		return firstOutcome{}, err
	}
	text := cell(rows)
	first, err := decodeOutcome(text)
	if err != nil {
		return first, &backend.ServerError{Code: outcome.CodeDuplicate, Message: "the first outcome is damaged: " + err.Error()}
	}
	_, err = t.conn.Query(t.owner, keepQuery(id, text)+"; COMMIT")
	return first, err
}

// undo rolls back after an error of the server outside the caller's own
// statement, and gives the caller the error. Other errors are passed on.
func (t *transaction) undo(err error) (*answer, error) {
	var e *backend.ServerError
	if !errors.As(err, &e) || e.Fatal {
		return nil, err
	}
	if _, err := t.conn.Query(t.owner, rollbackQuery); err != nil {
		return nil, err
	}
	return &answer{raw: failure(e.Code, "idempotency key: "+e.Message), status: statusIdle}, nil
}

// ended makes the answer that of a transaction of one statement.
func (a *answer) ended() *answer {
	a.status = statusIdle
	if n := len(a.raw); n >= len(readyIdle) && a.raw[n-len(readyIdle)] == 'Z' {
		a.raw = append(a.raw[:n-len(readyIdle)], readyIdle...)
	}
	return a
}

// failure is an error and the end of the answer.
func failure(code, message string) []byte {
	raw := mustEncode(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: message})
	return append(raw, readyIdle...)
}

// record notes what repeats need of an answer.
func (t *transaction) record(m pgwire.Message) {
	if t.recorder != nil {
		t.recorder.note(m)
	}
}
