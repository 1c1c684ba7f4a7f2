package holder

import (
	"context"
	"fmt"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

const (
	// resetQuery brings a connection back to how it was opened, except for its
	// prepared statements.
	resetQuery = "CLOSE ALL; SET SESSION AUTHORIZATION DEFAULT; RESET ALL; UNLISTEN *; " +
		"SELECT pg_advisory_unlock_all(); DISCARD PLANS; DISCARD TEMP; DISCARD SEQUENCES"
	// fullResetQuery also drops the prepared statements. It cannot be part of a
	// longer query.
	fullResetQuery = "DISCARD ALL"
	resetTimeout   = 5 * clock.Second
)

// endStateQuery asks for the state after a transaction and for the connection
// that has the holder's lock.
func endStateQuery(server string) string {
	return backend.StateQuery + "; " + lockOwnerQuery(server)
}

// lockOwnerQuery asks which connection has the lock. A key of 32 bits is in objid,
// and objsubid 1 marks keys of one number.
func lockOwnerQuery(server string) string {
	return fmt.Sprintf("SELECT pid FROM pg_locks WHERE locktype = 'advisory' AND classid = 0 AND objid = %d AND objsubid = 1 AND granted", lockKey(server))
}

// endState is what the server said after a transaction had ended.
type endState struct {
	state backend.State
	// sentAt is a moment before the question.
	sentAt clock.Millis
	// lockPID is the connection that has the holder's lock, or 0.
	lockPID uint32
}

func parseEndState(rows [][]string) (endState, error) {
	state, err := backend.ParseState(rows)
	if err != nil {
		return endState{}, err
	}
	s := endState{state: state}
	if len(rows) > 1 && len(rows[1]) == 1 {
		pid, err := strconv.ParseUint(rows[1][0], 10, 32)
		if err != nil {
			return endState{}, &backend.StateError{Detail: "the owner of the lock is no number"}
		}
		s.lockPID = uint32(pid)
	}
	return s, nil
}

// finish settles a transaction that has ended on the server: its state is
// learned, the caller gets the answer, and only then is the connection reset.
func (t *transaction) finish(a *answer) {
	c := t.conn
	s, err := t.queryEndState(a)
	t.holder.admission.releaseSlot()
	if err == nil {
		err = t.checkPrimary(s.state)
	}
	t.mu.Lock()
	t.conn = nil
	canceled := t.canceled
	t.mu.Unlock()
	if err != nil {
		t.holder.admission.put(c, false)
		t.sendEnd(inner.End{UnknownOutcome: err.Error()})
		return
	}
	t.holder.applyState(s.state, s.sentAt)
	e := t.acknowledge(s, a)
	// What comes after a wait for a reset must not be held up.
	e.Reusable = a.endQuerySent && !c.NeedsFullReset && t.disableWatch()
	t.exchangeReusable = t.sendEnd(e) && e.Reusable
	reusable := !canceled && t.reset(c, a) == nil
	c.Release(t.owner)
	t.holder.admission.put(c, reusable)
}

// queryEndState asks for the state, unless that was done with the batch. A cancel that
// came late may have hit the question, so it is put once more.
func (t *transaction) queryEndState(a *answer) (endState, error) {
	query := t.holder.endQuery
	sentAt := t.holder.options.Clock.Now()
	var rows [][]string
	var err error
	if a.endQuerySent {
		sentAt = a.sentAt
		rows, err = t.conn.ReadRows(t.owner)
	} else {
		rows, err = t.conn.Query(t.owner, query)
	}
	var refused *backend.ServerError
	if err != nil && errors.As(err, &refused) && !refused.Fatal {
		rows, err = t.repeatEndQuery(a, query)
	}
	if err != nil {
		return endState{}, err
	}
	s, err := parseEndState(rows)
	s.sentAt = sentAt
	return s, err
}

func (t *transaction) repeatEndQuery(a *answer, query string) ([][]string, error) {
	if a.endQuerySent {
		a.endQuerySent = false
		if _, err := t.conn.ReadRows(t.owner); err != nil && !isServerError(err) {
			return nil, err
		}
	}
	return t.conn.Query(t.owner, query)
}

func isServerError(err error) bool {
	var e *backend.ServerError
	return errors.As(err, &e) && !e.Fatal
}

// acknowledge records the write of a named session and builds the answer. The
// record counts only when the lock was this holder's after the commit: a later
// holder then starts with a floor that covers it.
func (t *transaction) acknowledge(s endState, a *answer) inner.End {
	e := inner.End{Status: statusIdle, Position: s.state.Applied, Raw: a.raw}
	if t.begin.Kind == document.KindWrite && t.begin.Session != "" {
		e.FloorUnrecorded = !t.holder.holdsLock(s.lockPID)
		t.holder.floors.record(t.begin.Session, e.Position)
	}
	return e
}

// reset makes the connection as it was when it was opened. The answer to a
// reset that was sent with the batch is read when the connection is used next.
func (t *transaction) reset(c *backend.Conn, a *answer) error {
	if a.endQuerySent && !c.NeedsFullReset {
		c.ResetPending = true
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), resetTimeout.Duration())
	defer cancel()
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	if a.endQuerySent {
		if _, err := c.ReadRows(t.owner); err != nil {
			return err
		}
	}
	query := resetQuery
	if c.NeedsFullReset {
		c.Prepared.Clear()
		c.NeedsFullReset = false
		query = fullResetQuery
	}
	_, err := c.Query(t.owner, query)
	return err
}

// awaitReset reads the answer to a reset, which has mostly come already.
func (t *transaction) awaitReset(c *backend.Conn) error {
	if !c.ResetPending {
		return nil
	}
	c.ResetPending = false
	return c.Drain(t.owner, min(t.begin.Timeout, resetTimeout))
}

// checkPrimary refuses to acknowledge a write of a primary that has been replaced.
func (t *transaction) checkPrimary(s backend.State) error {
	if t.begin.Kind == document.KindWrite && (s.Role != backend.RolePrimary || s.Term != t.term || t.holder.knowsLaterTerm(t.term)) {
		return &outcome.Unknown{Detail: "the primary was replaced before the answer"}
	}
	return nil
}

// endLost ends a transaction whose connection cannot be used any more. The server
// rolls back what it has not committed.
func (t *transaction) endLost(batch inner.Batch, err error) {
	t.discard()
	var c *copyError
	certain := errors.As(err, &c) && (!c.copyOut || t.begin.Kind == document.KindRead)
	if !certain || !endsWithReady(batch.Raw) {
		t.sendEnd(inner.End{UnknownOutcome: err.Error()})
		return
	}
	t.sendEnd(inner.End{Status: statusIdle, Raw: errorAnswer(outcome.CodeUnsupported, err.Error())})
}

// endsWithReady reports whether the caller awaits a ReadyForQuery.
func endsWithReady(raw []byte) bool {
	var last byte
	for m, rest := pgwire.SplitMessage(raw); m != nil; m, rest = pgwire.SplitMessage(rest) {
		last = m.Type()
	}
	return last == 'S' || last == 'Q'
}
