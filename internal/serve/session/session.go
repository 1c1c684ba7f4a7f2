// Package session serves callers' sessions statement by statement: it identifies the
// account and the route, chooses where a statement runs, and determines what the
// caller may be told if it did not run.
package session

import (
	"context"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/trace"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/freshness"
	"github.com/sycamoredoor/sycamoredoor/internal/core/regions"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/memory"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
)

// Caller is a caller's connection. The caller's protocol implements its functions.
type Caller struct {
	// Memory is the owner of the bytes of the connection and its session, or nil.
	Memory *memory.Owner
	// Database and Key are those the caller gave at the start.
	Database string
	Key      string
	// ReadFunc waits for the next statement, at most wait milliseconds, or without
	// limit if wait is 0. It returns ErrIdle after the wait, or when a planned stop
	// interrupts it, and ErrShort for a statement that was dropped for lack of memory.
	ReadFunc func(wait clock.Millis) (statement.Statement, error)
	// AnswerFunc sends the answer to the last statement.
	AnswerFunc func(a statement.Answer) error
	// AcceptFunc tells the caller that the session is accepted, RefuseFunc that it is
	// refused.
	AcceptFunc func() error
	RefuseFunc func(c statement.Code, detail string)
}

// Options configures sessions.
type Options struct {
	Clock    clock.Clock
	Log      *log.Logger
	Protocol database.Protocol
	// CatalogFunc returns the configuration in force, or nil before the first.
	CatalogFunc func() *catalog.Catalog
	// AwaitCatalogFunc waits for the first configuration, at most wait milliseconds. It may be
	// nil.
	AwaitCatalogFunc func(ctx context.Context, wait clock.Millis)
	// CopyFunc returns the source and the age of the configuration in force, for the log.
	CopyFunc func() freshness.Copy
	// GroupFunc returns a database group, or nil.
	GroupFunc func(name string) *database.Group
	// AdmitFunc takes one token from an account's limit, without waiting; it returns
	// false if there is none.
	AdmitFunc func(ctx context.Context, a catalog.Account, priority int) bool
	// RefundFunc gives an account back the token of an operation that has not run.
	RefundFunc func(a catalog.Account)
	// StoppingFunc reports whether sessions are to end because the VM is stopping.
	StoppingFunc func() bool
	// ExpiresFunc reports whether open transactions are to end soon because the VM is stopping.
	ExpiresFunc func() bool
	// TakesFunc reports whether a statement that may run for timeout milliseconds ends before
	// a planned stop of the VM closes the connections.
	TakesFunc func(timeout clock.Millis) bool
	Counters  Counters
	Trace     *trace.Tracer
}

// session is one caller's session. Only its own goroutine uses it.
type session struct {
	options Options
	caller  Caller
	account catalog.Account
	route   catalog.Route
	// regions are the allowed regions by the newest configuration that has the route, and
	// regionsFrom is that configuration. regionConstraint updates both.
	regions     regions.Allowed
	regionsFrom *catalog.Catalog
	// regionsFunc is regionConstraint, bound once for all statements.
	regionsFunc func() regions.Allowed
	// settings holds the caller's settings, prepared its prepared statements, both by
	// name.
	settings map[string]string
	prepared map[string]statement.Shape
	// preparedSize is the size of the names and texts of the prepared statements, in bytes.
	preparedSize int
	// parent is the W3C traceparent of the current statement's span, or "".
	parent string
	// commits holds the position of the session's last commit in each group.
	commits floor.Commits
	// txn is nil outside a transaction.
	txn *transaction
}

// Serve serves one session until the caller leaves or the VM stops. Once the context has
// ended it reads no further statement, but it does not interrupt ReadFunc.
func Serve(ctx context.Context, o Options, c Caller) {
	s := &session{options: o, caller: c, settings: map[string]string{}, prepared: map[string]statement.Shape{}}
	s.regionsFunc = s.regionConstraint
	o.Counters.opened.Inc()
	s.awaitCatalog(ctx)
	if code, detail := s.resolve(); code != statement.Success {
		o.Counters.countRefusal(code)
		o.Log.Info("session refused", append([]any{"database", c.Database, "code", code.String(), "reason", detail}, s.configurationFields()...)...)
		c.RefuseFunc(code, detail)
		return
	}
	if !s.takes() {
		o.Counters.countRefusal(statement.Busy)
		c.RefuseFunc(statement.Busy, stoppingDetail)
		return
	}
	if c.AcceptFunc() != nil {
		return
	}
	defer s.abandon()
	s.loop(ctx)
}

// maxCatalogWait is how long a new session waits for the first configuration of a VM that has just
// started, in milliseconds. Callers wait 2 s for the answer to their startup message.
const maxCatalogWait = clock.Millis(1500)

// awaitCatalog waits for the first configuration. After a refusal the caller would connect again a
// second later, while most VMs have their configuration in less.
func (s *session) awaitCatalog(ctx context.Context) {
	if s.options.CatalogFunc() == nil && s.options.AwaitCatalogFunc != nil {
		s.options.AwaitCatalogFunc(ctx, maxCatalogWait)
	}
}

// loop reads and answers statements one after the other. ErrIdle outside a transaction
// comes only from a planned stop, and ends the session.
func (s *session) loop(ctx context.Context) {
	for ctx.Err() == nil {
		st, err := s.caller.ReadFunc(s.readTimeout())
		if errors.Is(err, ErrIdle) && s.txn != nil {
			s.checkIdle()
			continue
		}
		isShort := errors.Is(err, ErrShort)
		if err != nil && !isShort {
			return
		}
		startedAt := s.options.Clock.Now()
		var a statement.Answer
		if isShort {
			a = s.refuseShort(st)
		} else {
			a = s.answerTraced(ctx, st)
		}
		s.options.Counters.observe(a.Code, s.options.Clock.Now()-startedAt)
		if err := s.caller.AnswerFunc(a); err != nil {
			return
		}
		s.caller.Memory.Drop(memory.Work)
		if s.txn == nil && s.options.StoppingFunc() {
			return
		}
	}
}

// answerTraced serves one statement within its own span.
func (s *session) answerTraced(ctx context.Context, st statement.Statement) statement.Answer {
	span := s.options.Trace.StartRoot("", trace.EntrySpan)
	s.parent = span.Traceparent()
	a := s.answer(ctx, st)
	out := trace.Attributes{Account: s.account.Name, Database: s.route.Database, Outcome: "ran"}
	switch {
	case a.Code == statement.UnknownOutcome:
		out.Outcome = "unknown"
	case a.Code != statement.Success:
		out.Outcome, out.Reason = "notrun", a.Code.String()
	}
	span.End(out)
	return a
}

// checkIdle rolls back the transaction if its caller has been silent for too long, if the caller's key
// does not permit it any more, or if the stop of the VM has gone so far and the transaction is older than
// stoppingMaxAge.
func (s *session) checkIdle() {
	if s.txn.conn != nil && s.keyProblem() != statement.Success {
		s.expireWithdrawn()
		return
	}
	now := s.options.Clock.Now()
	idleTimeout := s.options.CatalogFunc().IdleInTransactionTimeout
	pastMaxAge := s.options.ExpiresFunc() && now-s.txn.startedAt > stoppingMaxAge
	if s.txn.conn != nil && (idleTimeout > 0 && now-s.txn.usedAt >= idleTimeout || pastMaxAge) {
		s.expire()
	}
}

// stoppingMaxAge is the age that a transaction may reach late in a stop of the VM, in
// milliseconds.
const stoppingMaxAge = clock.Second

// readTimeout returns how long to wait for the caller's next statement, in milliseconds, before checkIdle
// looks at an open transaction; 0 means without limit.
func (s *session) readTimeout() clock.Millis {
	if s.txn == nil || s.txn.conn == nil {
		return 0
	}
	c := s.options.CatalogFunc()
	if c == nil || c.IdleInTransactionTimeout <= 0 {
		return keyCheckInterval
	}
	return min(c.IdleInTransactionTimeout, keyCheckInterval)
}

// resolve finds the route and the account in the current configuration. It returns the
// code and detail of the refusal if there is no configuration or route, if the key is
// unknown and the route does not allow that, or if the route or the account cannot be
// served. Otherwise the account of an unknown key is empty.
func (s *session) resolve() (statement.Code, string) {
	c := s.options.CatalogFunc()
	if c == nil {
		return statement.Busy, "no configuration yet; try again in 1 s"
	}
	route, ok := c.Route(s.caller.Database)
	if !ok {
		return statement.UnknownDatabase, "no route has the name of the database"
	}
	if problem := c.Problem(s.caller.Database, s.caller.Key); problem != "" {
		return statement.Invalid, problem
	}
	name, known := c.KeyOwner(s.caller.Key)
	if !known && !route.AllowAnonymous {
		return statement.Denied, "the key is not known"
	}
	s.route = route
	s.account, _ = c.Account(name)
	s.regions, s.regionsFrom = route.Regions.Intersect(s.account.Regions), c
	s.caller.Memory.SetAccount(s.account.Name)
	return statement.Success, ""
}

// regionConstraint returns the regions that a statement may reach. In an open transaction they are those
// at its BEGIN, else those of the configuration in force now, which may be newer than the one by which
// the statement was admitted.
func (s *session) regionConstraint() regions.Allowed {
	if s.txn != nil {
		return s.txn.regions
	}
	c := s.options.CatalogFunc()
	if c == nil || c == s.regionsFrom {
		return s.regions
	}
	if route, ok := c.Route(s.caller.Database); ok {
		account, _ := c.Account(s.account.Name)
		s.regions, s.regionsFrom = route.Regions.Intersect(account.Regions), c
	}
	return s.regions
}

func (s *session) status() statement.Status {
	switch {
	case s.txn == nil:
		return statement.Idle
	case s.txn.failed:
		return statement.FailedTransaction
	}
	return statement.InTransaction
}

// answer serves one statement.
func (s *session) answer(ctx context.Context, st statement.Statement) statement.Answer {
	if a, ended := s.endWithdrawn(st); ended {
		return a
	}
	if s.txn != nil && s.txn.failed && st.Kind != statement.Commit && st.Kind != statement.Rollback {
		return statement.Refuse(statement.Invalid, "the transaction has failed; end it", statement.FailedTransaction)
	}
	switch st.Kind {
	case statement.Begin, statement.BeginReadOnly:
		return s.begin(ctx, st)
	case statement.Commit:
		return s.commit(ctx, st)
	case statement.Rollback:
		return s.rollback(st)
	case statement.Set:
		return s.set(st)
	case statement.Prepare:
		return s.prepare(st)
	case statement.Deallocate:
		return s.deallocate(st)
	case statement.Read, statement.Write, statement.Execute:
		return s.runData(ctx, st)
	}
	return statement.Refuse(statement.Invalid, "the text is no statement", s.status())
}

// admit checks, for a single statement or a new transaction, that the configuration
// still has the route and permits the key, and takes a token from the account's limit.
// It returns Success, or the code and detail of the refusal.
func (s *session) admit(ctx context.Context) (statement.Code, string) {
	if code, detail := s.resolve(); code != statement.Success {
		return code, detail
	}
	if !s.takes() {
		return statement.Busy, stoppingDetail
	}
	if s.account.Name != "" && !s.options.AdmitFunc(ctx, s.account, s.route.Priority) {
		return statement.Busy, "the account is over its rate; try again in 1 s"
	}
	return statement.Success, ""
}

// stoppingDetail is the detail of what a stopping VM refuses.
const stoppingDetail = "the VM is stopping; connect again"

// takes reports whether a statement of the session's route ends before a planned stop closes
// the connections.
func (s *session) takes() bool { return s.options.TakesFunc(s.timeout()) }

// timeout returns the longest time of a statement, in milliseconds.
func (s *session) timeout() clock.Millis { return Timeout(s.route) }

// Timeout returns the longest time of a statement of a route, in milliseconds.
func Timeout(r catalog.Route) clock.Millis {
	if r.Timeout > 0 {
		return r.Timeout
	}
	return defaultTimeout
}

// writes reports whether a read, write or execution writes. The second result is false
// if the prepared statement is unknown.
func (s *session) writes(st statement.Statement) (bool, bool) {
	if st.Kind != statement.Execute {
		return st.Kind == statement.Write, true
	}
	shape, ok := s.prepared[st.Name]
	return shape.IsWrite, ok
}

// runData serves a read, a write or an execution of either.
func (s *session) runData(ctx context.Context, st statement.Statement) statement.Answer {
	writes, known := s.writes(st)
	if !known {
		return s.refuse(st, statement.NotPrepared, "no prepared statement has this name")
	}
	if s.txn != nil && !s.takes() {
		return s.refuse(st, statement.Aborted, stoppingDetail+"; the transaction is rolled back")
	}
	if s.txn != nil {
		return s.runInTransaction(ctx, st)
	}
	if code, detail := s.admit(ctx); code != statement.Success {
		return s.refuse(st, code, detail)
	}
	op := s.newOperation(st)
	if writes {
		return op.write(ctx)
	}
	return op.read(ctx)
}

// refund gives back the token that admit took for a single statement or a transaction
// that had no effect.
func (s *session) refund() {
	if s.account.Name != "" {
		s.options.RefundFunc(s.account)
	}
}

// ShortDetail is the detail of a refusal for lack of memory.
const ShortDetail = "the VM is short of memory for large messages; try again in 1 s"

// refuseShort refuses a statement that has not run, for lack of memory.
func (s *session) refuseShort(st statement.Statement) statement.Answer {
	if s.txn != nil {
		return s.refuse(st, statement.Aborted, ShortDetail+"; the transaction is rolled back")
	}
	return s.refuse(st, statement.Busy, ShortDetail)
}

// refuse counts and logs the refusal of a statement, fails an open transaction, and
// returns the refusal as the answer.
func (s *session) refuse(st statement.Statement, code statement.Code, detail string) statement.Answer {
	s.options.Counters.countRefusal(code)
	s.logRefusal(st, code, detail)
	if s.txn != nil {
		s.txn.fail()
	}
	return statement.Refuse(code, detail, s.status())
}
