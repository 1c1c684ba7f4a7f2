package entry

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/choice"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/core/retry"
	"github.com/sycamoredoor/sycamoredoor/internal/core/route"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

const (
	// replicaWait is the longest time in milliseconds that a read waits for a
	// replica to reach the read's floor.
	replicaWait = 50 * clock.Millis(1)
)

// request is one transaction that is to run on a server.
type request struct {
	session  *session
	batch    *batch
	route    document.Route
	hint     route.Hint
	database document.Database
	weight   int
	// floor is the lowest position that the request may read.
	floor    floor.ReplicationPosition
	deadline clock.Millis
	// tried holds the names of the servers that have refused the request in this
	// round of attempts.
	tried map[string]bool
	// salt makes requests differ in their choice among equal servers and in
	// their pauses.
	salt uint64
	// traceparent is that of the entry span, attemptTraceparent that of the
	// span of the present attempt.
	traceparent        string
	attemptTraceparent string
}

// dispatch runs a batch in the open transaction if there is one, or else in a
// new transaction on the server that suits it best.
func (s *session) dispatch(ctx context.Context, b *batch) error {
	d, err := s.entry.document(ctx)
	if err != nil {
		return s.refuse(b, err)
	}
	if s.pinnedServer != "" {
		if err := s.checkLimit(ctx, b); err != nil {
			return s.refuse(b, err)
		}
		// checkLimit may have waited for longer than maxKeyCheckAge.
		if err := s.checkKey(ctx); err != nil {
			return s.refuse(b, err)
		}
		return s.runInTransaction(b)
	}
	r, err := s.newRequest(d, b)
	if err != nil {
		return s.refuse(b, err)
	}
	if err := s.checkLimit(ctx, b); err != nil {
		return s.refuse(b, err)
	}
	return s.reportOutcome(b, r.runTraced(ctx))
}

// reportOutcome sends the caller an outcome that is an error. It returns any
// other error, which ends the session.
func (s *session) reportOutcome(b *batch, err error) error {
	var refusal *outcome.NotRun
	var unknown *outcome.Unknown
	switch {
	case errors.As(err, &refusal):
		return s.refuse(b, refusal)
	case errors.As(err, &unknown):
		return s.reportUnknown(b, unknown)
	}
	return err
}

// reportUnknown sends the caller the error of an unknown outcome and aborts the
// transaction.
func (s *session) reportUnknown(b *batch, u *outcome.Unknown) error {
	s.entry.counters.unknownOutcomes.Inc()
	s.abortTransaction()
	return s.sendError(b, outcome.CodeUnknown, u.Error())
}

// newRequest builds the request of a batch outside a transaction and resolves its
// route. The error is for the caller.
func (s *session) newRequest(d *document.Document, b *batch) (*request, error) {
	h := s.hint.WithOverrides(b.hint)
	resolved, err := route.Resolve(d, s.database, s.account, h)
	if err != nil {
		return nil, err
	}
	database, ok := d.Database(s.database)
	if !ok {
		return nil, refuseRemoved(s.database)
	}
	account, _ := d.Account(s.account)
	return &request{
		session: s, batch: b, route: resolved, hint: h, database: database, weight: account.Weight,
		floor: s.floor.Max(s.entry.sessionFloors.floor(s.database, h.Session)), deadline: s.entry.options.Clock.Now() + resolved.Deadline, tried: map[string]bool{},
		salt: s.entry.nextSeed(),
	}, nil
}

func refuseRemoved(database string) error {
	return outcome.Refuse(outcome.ReasonInvalidRequest, codeUnknownDatabase, "database %q has been removed", database)
}

// remaining returns the time until the deadline in milliseconds.
func (r *request) remaining() clock.Millis { return r.deadline - r.session.entry.options.Clock.Now() }

// run tries servers until one has run the request, the deadline passes, or an
// attempt ends in a way that must not be repeated.
func (r *request) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.route.Deadline.Duration())
	defer cancel()
	e := r.session.entry
	e.creditRetryBudget()
	if err := r.raiseFloor(ctx); err != nil {
		return err
	}
	state := retry.New(r.salt)
	for {
		err := r.attemptNext(ctx)
		if err == nil {
			return nil
		}
		a := retry.Attempt{Err: err, Remaining: r.remaining(), MoreServers: r.chooseServer() != ""}
		a.WithinBudget = !a.ChargesBudget() || e.spendRetry()
		var action retry.Action
		var pause clock.Millis
		state, action, pause = state.WithAttempt(a)
		switch action {
		case retry.Stop:
			return err
		case retry.Expire:
			return r.refuseExpired(err)
		case retry.Backoff:
			if !a.MoreServers {
				clear(r.tried)
			}
			if e.options.Clock.Sleep(ctx, pause) != nil {
				return r.refuseExpired(err)
			}
		}
		e.counters.retries.Inc()
	}
}

func (r *request) refuseExpired(last error) error {
	return outcome.Refuse(outcome.ReasonDeadline, outcome.CodeTimeout, "no backend server of database %s could run the request in time; the last attempt: %v", r.database.Name, last)
}

// attemptNext runs the request on the best server that has not been tried, and
// records a refusal, so that the next attempt goes elsewhere.
func (r *request) attemptNext(ctx context.Context) error {
	d, err := r.session.entry.document(ctx)
	if err != nil {
		return err
	}
	var found bool
	if r.database, found = d.Database(r.session.database); !found {
		return refuseRemoved(r.session.database)
	}
	server, ok := findServer(r.database, r.chooseServer())
	if !ok {
		return outcome.Refuse(outcome.ReasonNotPrimary, outcome.CodeUnavailable, "no backend server of database %s is usable now", r.database.Name)
	}
	err = r.attemptTraced(ctx, server)
	var refusal *outcome.NotRun
	if !errors.As(err, &refusal) {
		return err
	}
	r.tried[server.Name] = true
	switch refusal.Reason {
	case outcome.ReasonVMUnreachable, outcome.ReasonServerUnreachable:
		r.session.entry.serverCache.avoid(server.Name, r.session.entry.options.Clock.Now())
	}
	return err
}

// chooseServer returns the name of the best server that has not been tried, or
// "" when none is left.
func (r *request) chooseServer() string {
	e := r.session.entry
	servers := e.serverCache.candidates(r.database)
	if r.route.Kind == document.KindWrite {
		return choice.ForWrite(servers, r.tried)
	}
	return choice.ForRead(servers, choice.ReadRequest{
		Floor: r.floor, Zone: e.options.VM.Zone, Region: e.options.VM.Region,
		Now: e.options.Clock.Now(), MaxWait: min(replicaWait, r.remaining()), Tried: r.tried, Salt: r.salt,
	})
}

// attempt runs the request on one server. The error is a refusal if the holder is
// lost before the batch is sent, and an unknown outcome if it is lost later. Errors
// other than outcomes mean that the caller is gone or its session was terminated.
func (r *request) attempt(ctx context.Context, server document.Server) error {
	s := r.session
	x, err := s.entry.options.OpenFunc(ctx, server, s.account, r.weight)
	if err != nil {
		return outcome.Refuse(outcome.ReasonVMUnreachable, outcome.CodeUnavailable, "%v", err)
	}
	if !s.setExchange(x) {
		x.Close()
		return errTerminated
	}
	if err := s.checkKey(ctx); err != nil {
		s.closeExchange()
		return err
	}
	s.entry.serverCache.addInFlight(server.Name, 1)
	defer s.entry.serverCache.addInFlight(server.Name, -1)
	begin := r.beginMessage(server)
	invariant.Check(!server.Leaving, invariant.LeavingServer, "backend server %s is leaving and would get new work", server.Name)
	invariant.Check(begin.Account == s.account && (s.account != route.AnonymousUser || r.route.AllowAnonymous), invariant.OwnAccount,
		"a request of %q would run for %q on route %q", s.account, begin.Account, r.route.Name)
	s.assertKeyChecked()
	if err := x.Send(inner.Encode(inner.KindBegin, begin)); err != nil {
		s.closeExchange()
		return outcome.Refuse(outcome.ReasonVMUnreachable, outcome.CodeUnavailable, "the holder of %s is gone: %v", server.Name, err)
	}
	if err := x.Send(inner.Encode(inner.KindBatch, r.batch.out)); err != nil {
		s.closeExchange()
		return &outcome.Unknown{Detail: "the holder of " + server.Name + " was lost: " + err.Error()}
	}
	s.isWrite, s.sessionName = r.route.Kind == document.KindWrite, r.hint.Session
	// The answer after a Flush has no transaction status, so a batch that may begin
	// a block is taken to have begun one.
	s.inBlock = r.batch.lastType == 'H' && r.batch.mayBeginBlock()
	err = s.relay(x, server.Name, true)
	if err == nil {
		r.countServed(server.Name)
	}
	return err
}

func (r *request) beginMessage(server document.Server) inner.Begin {
	return inner.Begin{
		Database: r.database.Name, Server: server.Name, Account: r.session.account, Weight: r.weight,
		Kind: r.route.Kind, Floor: r.floor, Wait: min(replicaWait, max(r.remaining(), 0)), MaxStaleness: r.route.MaxStaleness,
		Timeout: max(r.remaining(), 1), Session: r.hint.Session, IdempotencyKey: r.hint.Key, AtMostOnce: r.route.AtMostOnce, Parent: r.attemptTraceparent,
	}
}

func (r *request) countServed(server string) {
	c := r.session.entry.counters
	if r.route.Kind == document.KindWrite {
		c.writes.Inc()
		return
	}
	c.reads.Inc()
	if p, ok := r.session.entry.serverCache.primary(r.database); !ok || p.Name != server {
		c.replicaReads.Inc()
	}
}
