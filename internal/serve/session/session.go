// Package session serves callers' sessions statement by statement: who the
// caller is, which route holds, where a statement runs, and what the caller may
// be told when it did not.
package session

import (
	"context"
	"maps"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/trace"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
)

// Caller is a caller's connection. Its fields are the seams of the protocol.
type Caller struct {
	// Database and Key are what the caller gave at the start.
	Database string
	Key      string
	// ReadFunc waits for the next statement, at most the given length in
	// milliseconds, 0 for ever. It returns ErrIdle when the length has passed.
	ReadFunc func(wait clock.Millis) (statement.Statement, error)
	// AnswerFunc sends the answer to the last statement.
	AnswerFunc func(a statement.Answer) error
	// AcceptFunc accepts the session, RefuseFunc refuses it.
	AcceptFunc func() error
	RefuseFunc func(c statement.Code, detail string)
}

// Options makes sessions.
type Options struct {
	Clock    clock.Clock
	Log      *log.Logger
	Protocol database.Protocol
	// CatalogFunc returns the configuration in force, or nil before the first.
	CatalogFunc func() *catalog.Catalog
	// GroupFunc returns a database group, or nil.
	GroupFunc func(name string) *database.Group
	// AdmitFunc takes one operation of an account out of its limit; it returns
	// false when there is none, at once.
	AdmitFunc func(ctx context.Context, a catalog.Account) bool
	// RefundFunc gives back an operation that was taken and has not run.
	RefundFunc func(a catalog.Account)
	// StoppingFunc reports whether the VM is to stop.
	StoppingFunc func() bool
	Counters     Counters
	Trace        *trace.Tracer
}

// session is one caller's session. Only its own goroutine uses it.
type session struct {
	options  Options
	caller   Caller
	account  catalog.Account
	route    catalog.Route
	values   map[string]string
	prepared map[string]statement.Shape
	// parent is the W3C traceparent of the present statement's span, or "".
	parent string
	// lastCommit is the last commit of the session.
	lastCommit floor.ReplicationPosition
	// txn is nil outside a transaction.
	txn *transaction
}

// Serve serves one session until the caller leaves or the VM stops. The context
// ends the session at once.
func Serve(ctx context.Context, o Options, c Caller) {
	s := &session{options: o, caller: c, values: map[string]string{}, prepared: map[string]statement.Shape{}}
	o.Counters.opened.Inc()
	if code, detail := s.resolve(); code != statement.Success {
		o.Counters.countRefusal(code)
		o.Log.Debug("session refused", "database", c.Database, "reason", detail)
		c.RefuseFunc(code, detail)
		return
	}
	if c.AcceptFunc() != nil {
		return
	}
	defer s.abandon()
	s.loop(ctx)
}

// loop answers one statement after the other.
func (s *session) loop(ctx context.Context) {
	for ctx.Err() == nil {
		st, err := s.caller.ReadFunc(s.readTimeout())
		if errors.Is(err, ErrIdle) && s.txn != nil {
			s.checkIdle()
			continue
		}
		if err != nil {
			return
		}
		began := s.options.Clock.Now()
		a := s.answerTraced(ctx, st)
		s.options.Counters.observe(a.Code, s.options.Clock.Now()-began)
		if err := s.caller.AnswerFunc(a); err != nil {
			return
		}
		if s.txn == nil && s.options.StoppingFunc() {
			return
		}
	}
}

// answerTraced serves one statement within a span of its own.
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

// checkIdle looks what is to be done about a transaction whose caller is silent.
func (s *session) checkIdle() {
	now := s.options.Clock.Now()
	idle := s.options.CatalogFunc().IdleInTransactionTimeout
	late := s.options.StoppingFunc() && now-s.txn.startedAt > stoppingMaxAge
	if s.txn.conn != nil && (idle > 0 && now-s.txn.usedAt >= idle || late) {
		s.expire()
	}
}

// stoppingMaxAge is how old a transaction may grow on a VM that is to stop, in milliseconds.
const stoppingMaxAge = clock.Second

// readTimeout is how long the caller may be silent, in milliseconds; 0 sets no bound.
func (s *session) readTimeout() clock.Millis {
	if s.txn == nil || s.txn.conn == nil {
		return 0
	}
	if c := s.options.CatalogFunc(); c != nil {
		return c.IdleInTransactionTimeout
	}
	return 0
}

// resolve finds the route and the account for the present configuration.
func (s *session) resolve() (statement.Code, string) {
	c := s.options.CatalogFunc()
	if c == nil {
		return statement.Busy, "no configuration yet; try again in 1 s"
	}
	r, ok := c.Route(s.caller.Database)
	if !ok {
		return statement.UnknownDatabase, "no route has the name of the database"
	}
	name, known := c.KeyOwner(s.caller.Key)
	if !known && !r.AllowAnonymous {
		return statement.Denied, "the key is not known"
	}
	s.route = r
	s.account, _ = c.Account(name)
	return statement.Success, ""
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
		s.prepared = withPrepared(s.prepared, st.Name, st.Shape)
		return statement.LocalSuccess(s.status())
	case statement.Deallocate:
		delete(s.prepared, st.Name)
		return statement.LocalSuccess(s.status())
	case statement.Read, statement.Write, statement.Execute:
		return s.runData(ctx, st)
	}
	return statement.Refuse(statement.Invalid, "the text is no statement", s.status())
}

func (s *session) set(st statement.Statement) statement.Answer {
	values := maps.Clone(s.values)
	values[st.Name] = st.Value
	s.values = values
	return statement.LocalSuccess(s.status())
}

func withPrepared(m map[string]statement.Shape, name string, v statement.Shape) map[string]statement.Shape {
	m[name] = v
	return m
}

// admit checks, for a new operation, that the configuration still has the route
// and the key, and that the account is within its limit.
func (s *session) admit(ctx context.Context) (statement.Code, string) {
	if code, detail := s.resolve(); code != statement.Success {
		return code, detail
	}
	if s.account.Name != "" && !s.options.AdmitFunc(ctx, s.account) {
		return statement.Busy, "the account is over its rate; try again in 1 s"
	}
	return statement.Success, ""
}

// writes reports whether a data statement changes something.
func (s *session) writes(st statement.Statement) (bool, bool) {
	if st.Kind != statement.Execute {
		return st.Kind == statement.Write, true
	}
	shape, ok := s.prepared[st.Name]
	return shape.Writes, ok
}

// runData serves a read or a write.
func (s *session) runData(ctx context.Context, st statement.Statement) statement.Answer {
	writes, known := s.writes(st)
	if !known {
		return s.refuse(st, statement.NotPrepared, "no prepared statement has this name")
	}
	if s.txn != nil {
		return s.runInTransaction(ctx, st)
	}
	if code, detail := s.admit(ctx); code != statement.Success {
		return s.refuse(st, code, detail)
	}
	r := s.newOperation(st)
	if writes {
		return r.write(ctx)
	}
	return r.read(ctx)
}

// refund gives back the operation that was taken for what no server has run.
func (s *session) refund() {
	if s.account.Name != "" {
		s.options.RefundFunc(s.account)
	}
}

// logRefusal writes why a statement was refused, with what decided it: the version
// of the configuration, and the term, the primary and the age of its proof.
func (s *session) logRefusal(st statement.Statement, code statement.Code, detail string) {
	fields := []any{"id", st.ID, "database", s.route.Database, "account", s.account.Name, "code", code.String(), "reason", detail}
	if c := s.options.CatalogFunc(); c != nil {
		fields = append(fields, "version", c.Version)
	}
	if g := s.options.GroupFunc(s.route.Group); g != nil {
		term, leader, age := g.PrimaryStatus()
		fields = append(fields, "group", s.route.Group, "term", uint64(term), "primary", leader, "proof_ms", int64(age))
	}
	s.options.Log.Info("statement refused", fields...)
}

// refuse answers that a statement was not run, and says so in the log.
func (s *session) refuse(st statement.Statement, code statement.Code, detail string) statement.Answer {
	s.options.Counters.countRefusal(code)
	s.logRefusal(st, code, detail)
	if s.txn != nil {
		s.txn.fail()
	}
	return statement.Refuse(code, detail, s.status())
}
