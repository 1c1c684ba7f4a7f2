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

// settleQuery asks for the state after a transaction and for the connection
// that has the holder's lock.
func settleQuery(server string) string {
	return backend.StateQuery + "; " + lockQuery(server)
}

// lockQuery asks which connection has the lock. A key of 32 bits is in objid,
// and objsubid 1 marks keys of one number.
func lockQuery(server string) string {
	return fmt.Sprintf("SELECT pid FROM pg_locks WHERE locktype = 'advisory' AND classid = 0 AND objid = %d AND objsubid = 1 AND granted", lockKey(server))
}

// settlement is what the server said after a transaction had ended.
type settlement struct {
	state backend.State
	// asked is a moment before the question.
	asked clock.Millis
	// locker is the connection that has the holder's lock, or 0.
	locker uint32
}

func parseSettlement(rows [][]string) (settlement, error) {
	state, err := backend.ParseState(rows)
	if err != nil {
		return settlement{}, err
	}
	s := settlement{state: state}
	if len(rows) > 1 && len(rows[1]) == 1 {
		pid, err := strconv.ParseUint(rows[1][0], 10, 32)
		if err != nil {
			return settlement{}, &backend.StateError{Detail: "the owner of the lock is no number"}
		}
		s.locker = uint32(pid)
	}
	return s, nil
}

// finish settles a transaction that has ended on the server: its state is
// learned, the caller gets the answer, and only then is the connection reset.
func (t *transaction) finish(a *answer) {
	c := t.conn
	s, err := t.settle(a)
	t.holder.admission.pause()
	if err == nil {
		err = t.confirm(s.state)
	}
	t.mu.Lock()
	t.conn = nil
	canceled := t.canceled
	t.mu.Unlock()
	if err != nil {
		t.holder.admission.put(c, false)
		t.end(inner.End{Unknown: err.Error()})
		return
	}
	t.holder.learn(s.state, s.asked)
	e := t.acknowledge(s, a)
	// What comes after a wait for a reset must not be held up.
	e.Open = a.settled && !c.Dirty && t.stayUnwatched()
	t.again = t.end(e) && e.Open
	reusable := !canceled && t.reset(c, a) == nil
	c.Give(t.owner)
	t.holder.admission.put(c, reusable)
}

// settle asks for the state, unless that was done with the batch. A cancel that
// came late may have hit the question, so it is put once more.
func (t *transaction) settle(a *answer) (settlement, error) {
	question := t.holder.question
	asked := t.holder.options.Clock.Now()
	var rows [][]string
	var err error
	if a.settled {
		asked = a.asked
		rows, err = t.conn.Rows(t.owner)
	} else {
		rows, err = t.conn.Query(t.owner, question)
	}
	var refused *backend.ServerError
	if err != nil && errors.As(err, &refused) && !refused.Fatal {
		rows, err = t.settleAgain(a, question)
	}
	if err != nil {
		return settlement{}, err
	}
	s, err := parseSettlement(rows)
	s.asked = asked
	return s, err
}

func (t *transaction) settleAgain(a *answer, question string) ([][]string, error) {
	if a.settled {
		a.settled = false
		if _, err := t.conn.Rows(t.owner); err != nil && !isServerError(err) {
			return nil, err
		}
	}
	return t.conn.Query(t.owner, question)
}

func isServerError(err error) bool {
	var e *backend.ServerError
	return errors.As(err, &e) && !e.Fatal
}

// acknowledge records the write of a named session and builds the answer. The
// record counts only when the lock was this holder's after the commit: a later
// holder then starts with a floor that covers it.
func (t *transaction) acknowledge(s settlement, a *answer) inner.End {
	e := inner.End{Status: statusIdle, Mark: s.state.Applied, Raw: a.raw}
	if t.begin.Kind == document.KindWrite && t.begin.Session != "" {
		e.Unrecorded = !t.holder.holds(s.locker)
		t.holder.floors.record(t.begin.Session, e.Mark)
	}
	return e
}

// reset makes the connection as it was when it was opened. The answer to a
// reset that was sent with the batch is read when the connection is used next.
func (t *transaction) reset(c *backend.Conn, a *answer) error {
	if a.settled && !c.Dirty {
		c.Resetting = true
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), resetTimeout.Duration())
	defer cancel()
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	if a.settled {
		if _, err := c.Rows(t.owner); err != nil {
			return err
		}
	}
	question := resetQuery
	if c.Dirty {
		c.Prepared.Clear()
		c.Dirty = false
		question = fullResetQuery
	}
	_, err := c.Query(t.owner, question)
	return err
}

// awaitReset reads the answer to a reset, which has mostly come already.
func (t *transaction) awaitReset(c *backend.Conn) error {
	if !c.Resetting {
		return nil
	}
	c.Resetting = false
	return c.Drain(t.owner, min(t.begin.Deadline, resetTimeout))
}

// confirm refuses to acknowledge a write of a primary that has been replaced.
func (t *transaction) confirm(s backend.State) error {
	if t.begin.Kind == document.KindWrite && (s.Role != backend.RolePrimary || s.Term != t.term || t.holder.replaced(t.term)) {
		return &outcome.Unknown{Detail: "the primary was replaced before the answer"}
	}
	return nil
}

// lose ends a transaction whose connection cannot be used any more. The server
// rolls back what it has not committed.
func (t *transaction) lose(batch inner.Batch, err error) {
	t.discard()
	var c *copyError
	certain := errors.As(err, &c) && (!c.running || t.begin.Kind == document.KindRead)
	if !certain || !endsWithReady(batch.Raw) {
		t.end(inner.End{Unknown: err.Error()})
		return
	}
	t.end(inner.End{Status: statusIdle, Raw: failure(outcome.CodeUnsupported, err.Error())})
}

// endsWithReady reports whether the caller awaits a ReadyForQuery.
func endsWithReady(raw []byte) bool {
	var last byte
	for m, rest := pgwire.Next(raw); m != nil; m, rest = pgwire.Next(rest) {
		last = m.Type()
	}
	return last == 'S' || last == 'Q'
}
