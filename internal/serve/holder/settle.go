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
	// resetQuery resets a connection to the state in which it was opened,
	// except for its prepared statements.
	resetQuery = "CLOSE ALL; SET SESSION AUTHORIZATION DEFAULT; RESET ALL; UNLISTEN *; " +
		"SELECT pg_advisory_unlock_all(); DISCARD PLANS; DISCARD TEMP; DISCARD SEQUENCES"
	// fullResetQuery also drops the prepared statements. DISCARD ALL cannot be
	// combined with other statements in one query.
	fullResetQuery = "DISCARD ALL"
	resetTimeout   = 5 * clock.Second
)

// endStateQuery queries the server's state after a transaction, and the process
// ID of the connection that has the holder's lock.
func endStateQuery(server string) string {
	return backend.StateQuery + "; " + lockOwnerQuery(server)
}

// lockOwnerQuery queries the process ID of the connection that has the lock.
// The key has 32 bits, which pg_locks shows as objid; objsubid 1 marks a key
// that is a single number.
func lockOwnerQuery(server string) string {
	return fmt.Sprintf("SELECT pid FROM pg_locks WHERE locktype = 'advisory' AND classid = 0 AND objid = %d AND objsubid = 1 AND granted", lockKey(server))
}

// endState is the answer to endStateQuery.
type endState struct {
	state backend.State
	// sentAt is a time before the query was sent.
	sentAt clock.Millis
	// lockPID is the process ID of the connection that has the holder's lock,
	// or 0.
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

// finish completes a transaction that has ended on the server: it queries the
// state, answers the caller and resets the connection. The caller does not wait
// for the reset.
func (t *transaction) finish(a *answer) {
	c := t.conn
	s, err := t.queryEndState(a)
	t.holder.admission.releaseSlot()
	if err == nil {
		err = t.checkPrimary(s.state)
	}
	// Without conn, cancelRunning no longer changes canceled.
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
	// An exchange whose connection still has to be reset here must not be
	// reused, since its next transaction would wait for the reset.
	e.Reusable = a.endQuerySent && !c.NeedsFullReset && t.disableWatch()
	t.exchangeReusable = t.sendEnd(e) && e.Reusable
	reusable := !canceled && t.reset(c, a) == nil
	c.Release(t.owner)
	t.holder.admission.put(c, reusable)
}

// queryEndState reads the answer to endStateQuery, which it sends unless it was
// sent with the batch. A late cancel request may have canceled the query, which
// is then sent once more.
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
	var serverError *backend.ServerError
	if err != nil && errors.As(err, &serverError) && !serverError.Fatal {
		rows, err = t.repeatEndQuery(a, query)
	}
	if err != nil {
		return endState{}, err
	}
	s, err := parseEndState(rows)
	s.sentAt = sentAt
	return s, err
}

// repeatEndQuery sends endStateQuery again after it was canceled. If the reset
// was sent with the batch, its answer is read first.
func (t *transaction) repeatEndQuery(a *answer, query string) ([][]string, error) {
	if a.endQuerySent {
		a.endQuerySent = false
		if _, err := t.conn.ReadRows(t.owner); err != nil && !isServerError(err) {
			return nil, err
		}
	}
	return t.conn.Query(t.owner, query)
}

// isServerError reports whether err is an error of the server after which the
// connection is usable.
func isServerError(err error) bool {
	var e *backend.ServerError
	return errors.As(err, &e) && !e.Fatal
}

// acknowledge records the write of a named session and returns the answer. The
// record is enough if this holder still had the lock after the commit, since the
// next holder then starts with a floor that covers the write. Otherwise the
// answer has FloorUnrecorded set.
func (t *transaction) acknowledge(s endState, a *answer) inner.End {
	e := inner.End{Status: statusIdle, Position: s.state.Applied, Raw: a.raw}
	if t.begin.Kind == document.KindWrite && t.begin.Session != "" {
		e.FloorUnrecorded = !t.holder.holdsLock(s.lockPID)
		t.holder.floors.record(t.begin.Session, e.Position)
	}
	return e
}

// reset resets the connection to the state in which it was opened. The answer
// to a reset that was sent with the batch is read when the connection is used
// next.
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
		c.Statements.Clear()
		c.NeedsFullReset = false
		query = fullResetQuery
	}
	_, err := c.Query(t.owner, query)
	return err
}

// awaitReset reads the answer to a reset, which has usually arrived already.
func (t *transaction) awaitReset(c *backend.Conn) error {
	if !c.ResetPending {
		return nil
	}
	c.ResetPending = false
	return c.DiscardAnswer(t.owner, min(t.begin.Timeout, resetTimeout))
}

// checkPrimary returns an error for a write whose primary was replaced before
// the answer, so that the write is not acknowledged.
func (t *transaction) checkPrimary(s backend.State) error {
	if t.begin.Kind == document.KindWrite && (s.Role != backend.RolePrimary || s.Term != t.term || t.holder.knowsLaterTerm(t.term)) {
		return &outcome.Unknown{Detail: "the primary was replaced before the answer"}
	}
	return nil
}

// endLost ends a transaction whose connection is unusable. The server rolls
// back what it has not committed.
func (t *transaction) endLost(batch inner.Batch, err error) {
	t.discard()
	// The server commits no COPY that waits for rows from the caller. It may
	// commit a COPY to the caller, which changes nothing if it is a read.
	var c *copyError
	notCommitted := errors.As(err, &c) && (!c.copyOut || t.begin.Kind == document.KindRead)
	// errorAnswer ends with a ReadyForQuery, which no caller expects after a Flush.
	if !notCommitted || !endsWithReady(batch.Raw) {
		t.sendEnd(inner.End{UnknownOutcome: err.Error()})
		return
	}
	t.sendEnd(inner.End{Status: statusIdle, Raw: errorAnswer(outcome.CodeUnsupported, err.Error())})
}

// endsWithReady reports whether the caller expects a ReadyForQuery.
func endsWithReady(raw []byte) bool {
	var last byte
	for m, rest := pgwire.SplitMessage(raw); m != nil; m, rest = pgwire.SplitMessage(rest) {
		last = m.Type()
	}
	return last == 'S' || last == 'Q'
}
