package session

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/regions"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/memory"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
)

// transaction is a caller's open transaction. It has a connection from its first
// statement on.
type transaction struct {
	begin statement.Statement
	conn  *database.PooledConn
	// written is set before the first write is sent, failed once the transaction can
	// only be rolled back.
	written bool
	failed  bool
	// withdrawn is set if it has failed because of the caller's key, and the caller does not know it yet.
	withdrawn bool
	// startedAt is the time of its BEGIN, usedAt that of the end of its last statement.
	startedAt clock.Millis
	usedAt    clock.Millis
	// regions are those that were allowed at its BEGIN.
	regions regions.Allowed
}

// fail marks the transaction as failed and closes its connection, so that the server
// rolls it back. The session's caller must still end it.
func (t *transaction) fail() {
	t.failed = true
	t.closeConn()
}

// closeConn closes the connection of an open transaction, so that the server rolls it
// back.
func (t *transaction) closeConn() {
	if t.conn == nil {
		return
	}
	t.conn.MarkBroken()
	t.conn.Release()
	t.conn = nil
}

// abandon rolls back a transaction that is open when the session ends.
func (s *session) abandon() {
	if s.txn != nil {
		s.rollbackServer()
		s.txn = nil
	}
}

// expire rolls back the transaction of an idle caller, who must still end it.
func (s *session) expire() {
	s.options.Counters.expired.Inc()
	s.options.Log.Info("idle transaction rolled back", "id", s.txn.begin.ID, "database", s.route.Database)
	s.rollbackServer()
	s.txn.failed = true
}

// begin opens a transaction. The server receives the BEGIN just before the first
// statement.
func (s *session) begin(ctx context.Context, st statement.Statement) statement.Answer {
	if s.txn != nil {
		return statement.Refuse(statement.Invalid, "a transaction is open", s.status())
	}
	if code, detail := s.admit(ctx); code != statement.Success {
		return s.refuse(st, code, detail)
	}
	now := s.options.Clock.Now()
	s.txn = &transaction{begin: st, startedAt: now, usedAt: now, regions: s.regions}
	return statement.LocalSuccess(statement.InTransaction)
}

// runInTransaction runs a statement of the open transaction.
func (s *session) runInTransaction(ctx context.Context, st statement.Statement) statement.Answer {
	defer func() { s.txn.usedAt = s.options.Clock.Now() }()
	if s.txn.conn == nil {
		return s.runFirst(ctx, st)
	}
	if writes, _ := s.writes(st); writes {
		s.txn.written = true
	}
	op := s.newOperation(st)
	a, err := op.retryWhileBusy(ctx, func() (statement.Answer, error) { return op.send(s.txn.conn, floor.ReplicationPosition{}) })
	if errors.Is(err, database.ErrServerEvacuated) {
		return s.refuse(st, statement.Aborted, err.Error()+rolledBack)
	}
	if errors.Is(err, memory.ErrShort) {
		return s.refuseShort(st)
	}
	if err != nil {
		return s.refuse(st, statement.Aborted, "the connection to the backend server was lost"+rolledBack)
	}
	if a.Code == statement.NotPrepared {
		// The caller has prepared the name; a server's session that lost it cannot go on.
		return s.refuse(st, statement.Aborted, "the backend server lost the prepared statement; the transaction is rolled back")
	}
	return s.applyAnswer(st, a)
}

// rolledBack ends the detail of a refusal that ends the transaction.
const rolledBack = "; the transaction is rolled back"

// applyAnswer returns a server's answer to a statement of the transaction. After an
// error it rolls the transaction back and marks it failed.
func (s *session) applyAnswer(st statement.Statement, a statement.Answer) statement.Answer {
	if a.Code == statement.Success {
		return a.WithStatus(statement.InTransaction)
	}
	if endsByEvacuation(s.txn.conn, a) {
		return s.refuse(st, statement.Aborted, database.ErrServerEvacuated.Error()+rolledBack)
	}
	s.options.Counters.countRefusal(a.Code)
	s.logFailure("statement failed at the server", s.txn.conn, st, a)
	s.rollbackServer()
	s.txn.failed = true
	return a.WithStatus(statement.FailedTransaction)
}

// endsByEvacuation reports whether the server of a transaction has refused a statement, and is in an
// evacuated zone: then it was the primary and has been replaced. The detail of the refusal, for example
// that the server takes no writes, would not show the caller that the transaction is over.
func endsByEvacuation(conn *database.PooledConn, a statement.Answer) bool {
	return a.Code.NotRun() && conn.IsEvacuated()
}

// retryWhileBusy sends a statement of an open transaction again while its server is
// too busy to run it: no other server can run it, and giving up would lose all that
// ran before.
func (op *operation) retryWhileBusy(ctx context.Context, send func() (statement.Answer, error)) (statement.Answer, error) {
	for {
		a, err := send()
		if err != nil || a.Code != statement.Busy || a.Status != statement.InTransaction || op.remaining() <= busyRetryPause {
			return a, err
		}
		if op.session.options.Clock.Sleep(ctx, busyRetryPause) != nil {
			return a, err
		}
	}
}

// busyRetryPause is the pause before a busy server gets a statement again, in
// milliseconds.
const busyRetryPause = clock.Millis(15)

// runFirst acquires a connection for the transaction, begins it there and runs its
// first statement. Nothing of the transaction has run before, and closing the connection
// rolls back what was sent, so it tries again after a refusal or a lost connection.
func (s *session) runFirst(ctx context.Context, st statement.Statement) statement.Answer {
	op := s.newOperation(st)
	readOnly := s.txn.begin.Kind == statement.BeginReadOnly
	op.anyServer = readOnly && s.route.Guarantee != catalog.StrongConsistency
	for {
		conn, f, err := op.acquire(ctx, !readOnly)
		if err != nil {
			if op.retry(ctx, err) {
				continue
			}
			s.refund()
			return s.refuse(st, statement.Busy, op.refusalDetail())
		}
		a, err := op.beginAndRun(conn, f)
		if err == nil && a.Code == statement.Success {
			s.txn.conn = conn
			return a.WithStatus(statement.InTransaction)
		}
		conn.MarkBroken()
		conn.Release()
		if err == nil && !a.Code.NotRun() {
			s.options.Counters.countRefusal(a.Code)
			s.logFailure("statement failed at the server", conn, st, a)
			s.txn.failed = true
			return a.WithStatus(statement.FailedTransaction)
		}
		if !op.retry(ctx, failure(a, err)) {
			s.refund()
			return s.refuse(st, statement.Aborted, op.lastReason+"; try again in 1 s")
		}
	}
}

// beginAndRun begins the transaction at a server and runs the first statement. After
// an error or a refusal the connection must be closed, which rolls the transaction
// back.
func (op *operation) beginAndRun(conn *database.PooledConn, f floor.ReplicationPosition) (statement.Answer, error) {
	s := op.session
	a, err := op.begin(conn, f)
	if err != nil || a.Code != statement.Success {
		return a, err
	}
	if writes, _ := s.writes(op.statement); writes {
		s.txn.written = true
	}
	s.logSending(conn, op.statement)
	return conn.Run(s.request(op.statement, op.remaining()))
}

// begin gives the server's session the caller's settings and begins the transaction there.
func (op *operation) begin(conn *database.PooledConn, f floor.ReplicationPosition) (statement.Answer, error) {
	s := op.session
	if err := conn.SyncSettings(s.settings, op.remaining()); err != nil {
		return statement.Answer{}, err
	}
	r := s.request(s.txn.begin, op.remaining())
	r.Floor = f
	return conn.Run(r)
}

// commit ends the transaction with all its writes or none.
func (s *session) commit(ctx context.Context, st statement.Statement) statement.Answer {
	t := s.txn
	switch {
	case t == nil:
		return statement.Refuse(statement.Invalid, "no transaction is open", statement.Idle)
	case t.failed:
		s.txn = nil
		return statement.Refuse(statement.Aborted, "the transaction had failed and is rolled back", statement.Idle)
	case !s.takes():
		t.fail()
		s.txn = nil
		return s.refuse(st, statement.Aborted, stoppingDetail+"; the transaction is rolled back")
	case t.conn == nil:
		if a := s.beginEmpty(ctx, st); a.Code != statement.Success {
			s.txn = nil
			return a.WithStatus(statement.Idle)
		}
	}
	return s.commitServer(ctx, st)
}

// beginEmpty begins, at a server, a transaction that is committed without any
// statement.
func (s *session) beginEmpty(ctx context.Context, st statement.Statement) statement.Answer {
	op := s.newOperation(st)
	for {
		conn, f, err := op.acquire(ctx, s.txn.begin.Kind != statement.BeginReadOnly)
		if err == nil {
			a, err := op.begin(conn, f)
			if err == nil && a.Code == statement.Success {
				s.txn.conn = conn
				return a
			}
			conn.MarkBroken()
			conn.Release()
		}
		cause := errNotTaken
		if database.RegionErrorOf(err) != nil || errors.Is(err, database.ErrEvacuated) {
			cause = err
		}
		if !op.retry(ctx, cause) {
			return s.refuse(st, statement.Aborted, op.refusalDetail())
		}
	}
}

// errNotTaken means that no server began a transaction.
var errNotTaken = errors.New("no backend server took the transaction")

// commitServer commits at the server. It releases the connection after a success, and
// closes it otherwise. The outcome is unknown if the answer to a commit with writes is
// lost.
func (s *session) commitServer(ctx context.Context, st statement.Statement) statement.Answer {
	t := s.txn
	s.txn = nil
	op := s.newOperation(st)
	if err := t.conn.SyncSettings(s.settings, op.remaining()); err != nil {
		t.closeConn()
		return s.refuse(st, statement.Aborted, notCommitted(err))
	}
	s.logSending(t.conn, st)
	a, err := op.retryWhileBusy(ctx, func() (statement.Answer, error) {
		r := s.request(st, op.remaining())
		r.IsCommit, r.ReleaseAfter = t.written, true
		return t.conn.Run(r)
	})
	if err != nil {
		t.closeConn()
		if !t.written && !database.IsUnsent(err) {
			return s.refuse(st, statement.Aborted, "the connection was lost; the transaction had written nothing")
		}
		if database.IsUnsent(err) {
			return s.refuse(st, statement.Aborted, notCommitted(err))
		}
		return s.refuse(st, statement.UnknownOutcome, "the end of the commit was not seen")
	}
	if endsByEvacuation(t.conn, a) {
		t.closeConn()
		return s.refuse(st, statement.Aborted, notCommitted(database.ErrServerEvacuated))
	}
	if a.Code != statement.Success {
		s.options.Counters.countRefusal(a.Code)
		s.logFailure("commit failed at the server", t.conn, st, a)
		t.closeConn()
		return a.WithStatus(statement.Idle)
	}
	if t.written {
		s.commits = s.commits.With(t.conn.Group(), a.Position)
	}
	t.conn.Release()
	return a.WithStatus(statement.Idle)
}

// notCommitted returns why a commit was not sent.
func notCommitted(err error) string {
	if errors.Is(err, database.ErrServerEvacuated) {
		return err.Error() + rolledBack
	}
	return "the commit was not sent" + rolledBack
}

// rollback ends the transaction without its writes.
func (s *session) rollback(statement.Statement) statement.Answer {
	if s.txn == nil {
		return statement.Refuse(statement.Invalid, "no transaction is open", statement.Idle)
	}
	s.rollbackServer()
	s.txn = nil
	return statement.LocalSuccess(statement.Idle)
}

// rollbackServer rolls back at the server and releases the connection. If that fails,
// it closes the connection, which rolls back too.
func (s *session) rollbackServer() {
	t := s.txn
	if t.conn == nil {
		return
	}
	a, err := t.conn.Run(database.Request{ID: "-", Text: s.options.Protocol.RollbackFunc(), Timeout: rollbackTimeout, ReleaseAfter: true})
	if err != nil || a.Code != statement.Success || a.Status != statement.Idle {
		t.conn.MarkBroken()
	}
	t.conn.Release()
	t.conn = nil
}

// rollbackTimeout bounds the wait for the answer to a rollback, in milliseconds.
const rollbackTimeout = 300
