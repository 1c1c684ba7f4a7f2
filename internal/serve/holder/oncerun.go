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

// hasKey reports whether the transaction is a write that must run at most once
// and has an idempotency key. Reads may be repeated without one.
func (t *transaction) hasKey() bool {
	return t.begin.AtMostOnce && t.begin.IdempotencyKey != "" && t.begin.Kind == document.KindWrite
}

// execute runs one batch. With the first batch of a transaction that has an
// idempotency key, it inserts the key in the same transaction.
func (t *transaction) execute(batch inner.Batch) (*answer, error) {
	if !t.hasKey() || t.sent {
		return t.exchangeBatch(batch)
	}
	switch shapeOf(batch) {
	case shapeSingle:
		return t.executeSingleOnce(batch)
	case shapeBegin:
		return t.executeBeginOnce(batch)
	}
	// The batch runs no statement: onceRefusal has refused shapeOther.
	return t.exchangeBatch(batch)
}

// executeSingleOnce runs a batch of shapeSingle. One transaction inserts the key,
// runs the batch and stores its outcome under the key.
func (t *transaction) executeSingleOnce(batch inner.Batch) (*answer, error) {
	id := onceID(t.begin.Account, t.begin.IdempotencyKey)
	t.sent, t.batchSent = true, true
	rows, err := t.conn.Query(t.owner, "BEGIN; "+insertKeyQuery(id))
	if err != nil {
		return t.rollbackWithError(err)
	}
	if len(rows) == 0 {
		return t.answerRepeat(id, batch)
	}
	t.recorder = &recorder{}
	a, err := t.sendOnce(batch)
	if err != nil {
		return nil, err
	}
	if a.status != statusOpen {
		// The statement failed. The rollback also removes its key.
		_, err := t.conn.Query(t.owner, rollbackQuery)
		return a.setIdle(), err
	}
	text, err := encodeOutcome(t.recorder.outcome)
	if err != nil {
		return nil, err
	}
	if _, err := t.conn.Query(t.owner, storeOutcomeQuery(id, text)+"; COMMIT"); err != nil {
		return t.rollbackWithError(err)
	}
	return a.setIdle(), nil
}

// sendOnce sends a batch whose key was inserted, and reads its answer.
func (t *transaction) sendOnce(batch inner.Batch) (*answer, error) {
	invariant.Check(!t.keyedBatchSent, invariant.AtMostOnce, "a request with key %q would be sent a second time", t.begin.IdempotencyKey)
	t.keyedBatchSent = true
	p := newPlan(batch, t.conn.Statements, true)
	if err := t.conn.Write(t.owner, p.out); err != nil {
		return nil, err
	}
	a := &answer{}
	return a, t.readAnswer(p, a)
}

// executeBeginOnce opens an explicit transaction and inserts its key. A repeat
// gets CodeDuplicate, since only the outcomes of single statements are stored.
func (t *transaction) executeBeginOnce(batch inner.Batch) (*answer, error) {
	a, err := t.exchangeBatch(batch)
	if err != nil || a.status != statusOpen {
		return a, err
	}
	id := onceID(t.begin.Account, t.begin.IdempotencyKey)
	rows, err := t.conn.Query(t.owner, insertKeyQuery(id))
	if err != nil {
		return t.rollbackWithError(err)
	}
	if len(rows) > 0 {
		invariant.Check(!t.keyedBatchSent, invariant.AtMostOnce, "a request with key %q would be sent a second time", t.begin.IdempotencyKey)
		t.keyedBatchSent = true
		return a, nil
	}
	if _, err := t.loadOutcome(id); err != nil {
		return t.rollbackWithError(err)
	}
	return &answer{raw: errorAnswer(outcome.CodeDuplicate, "the transaction already ran"), status: statusIdle}, nil
}

// answerRepeat answers a request whose key is already stored with its first
// outcome.
func (t *transaction) answerRepeat(id string, batch inner.Batch) (*answer, error) {
	first, err := t.loadOutcome(id)
	if err != nil {
		return t.rollbackWithError(err)
	}
	raw, err := replay(first, batch)
	if err != nil {
		raw = errorAnswer(outcome.CodeDuplicate, err.Error())
	}
	return &answer{raw: raw, status: statusIdle}, nil
}

// loadOutcome returns the first outcome and ends the transaction of the repeat.
// It stores the outcome again: that commit follows the first one in the log, so
// it succeeds only if a majority has the first one.
func (t *transaction) loadOutcome(id string) (firstOutcome, error) {
	rows, err := t.conn.Query(t.owner, loadOutcomeQuery(id))
	if err != nil {
		return firstOutcome{}, err
	}
	text := firstValue(rows)
	first, err := decodeOutcome(text)
	if err != nil {
		return first, &backend.ServerError{Code: outcome.CodeDuplicate, Message: "the first outcome is damaged: " + err.Error()}
	}
	_, err = t.conn.Query(t.owner, storeOutcomeQuery(id, text)+"; COMMIT")
	return first, err
}

// rollbackWithError rolls back after a *backend.ServerError in the handling of
// the idempotency key, and returns an answer with that error. It returns a fatal
// error, or one of the connection, as it is.
func (t *transaction) rollbackWithError(err error) (*answer, error) {
	var e *backend.ServerError
	if !errors.As(err, &e) || e.Fatal {
		return nil, err
	}
	if _, err := t.conn.Query(t.owner, rollbackQuery); err != nil {
		return nil, err
	}
	return &answer{raw: errorAnswer(e.Code, "idempotency key: "+e.Message), status: statusIdle}, nil
}

// setIdle changes the transaction status in the answer to idle: the caller sent a
// single statement and did not open the transaction around it.
func (a *answer) setIdle() *answer {
	a.status = statusIdle
	if n := len(a.raw); n >= len(readyIdle) && a.raw[n-len(readyIdle)] == 'Z' {
		a.raw = append(a.raw[:n-len(readyIdle)], readyIdle...)
	}
	return a
}

// errorAnswer returns an ErrorResponse followed by ReadyForQuery.
func errorAnswer(code, message string) []byte {
	raw := mustEncode(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: message})
	return append(raw, readyIdle...)
}

// recordOutcome adds a message to the first outcome if one is being recorded.
func (t *transaction) recordOutcome(m pgwire.Message) {
	if t.recorder != nil {
		t.recorder.add(m)
	}
}
