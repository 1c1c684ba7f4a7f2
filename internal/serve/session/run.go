package session

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
)

// ErrIdle means that the caller sent nothing for as long as it was waited for.
var ErrIdle = errors.New("the caller was idle")

const (
	// retryPause is the pause before a refused statement is tried again, in milliseconds.
	retryPause = clock.Millis(20)
	// maxAttempts bounds how often one statement is sent to servers that refuse it.
	maxAttempts = 6
	// defaultTimeout bounds a statement whose route sets no time, in milliseconds.
	defaultTimeout = clock.Millis(2000)
)

// operation is one operation on its way to a server: a single statement, or the first
// of a transaction.
type operation struct {
	session   *session
	st        statement.Statement
	startedAt clock.Millis
	// deadline is the moment at which the statement's time is over.
	deadline clock.Millis
	// tried names servers that refused or failed.
	tried    map[string]bool
	attempts int
	// readOnly is set for a statement that changes nothing.
	readOnly bool
	// maybeRunning is set while a statement may be running at a server.
	maybeRunning bool
	// lastReason is why the last attempt did not succeed.
	lastReason string
}

func (s *session) newOperation(st statement.Statement) *operation {
	now := s.options.Clock.Now()
	timeout := s.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &operation{session: s, st: st, startedAt: now, deadline: now + timeout, tried: map[string]bool{}}
}

func (r *operation) remaining() clock.Millis { return r.deadline - r.session.options.Clock.Now() }

// maxWait is how long the run may still wait for a server: as long as the caller
// can have its answer in time for the objective, with room for the work.
func (r *operation) maxWait() clock.Millis {
	objective := r.session.route.TargetLatency
	if objective <= 0 {
		return r.remaining()
	}
	return min(r.startedAt+objective*3/4-r.session.options.Clock.Now(), r.remaining())
}

func (r *operation) requester() database.Requester {
	a := r.session.account
	return database.Requester{Account: a.Name, Weight: weight(r.session.route, a), Parent: r.session.parent}
}

// weight turns priorities, 0 for the most urgent, into a share of a crowded server.
func weight(r catalog.Route, a catalog.Account) int {
	return max(1, 8>>min(max(r.Priority, 0), 2)) * max(1, 4>>min(max(a.Priority, 0), 2))
}

func (r *operation) group() *database.Group {
	return r.session.options.GroupFunc(r.session.route.Group)
}

// retry reports whether another attempt may follow, and pauses before it.
func (r *operation) retry(ctx context.Context, reason string) bool {
	r.lastReason = reason
	r.attempts++
	if r.attempts >= maxAttempts || r.maxWait() <= retryPause {
		return false
	}
	return r.session.options.Clock.Sleep(ctx, retryPause) == nil
}

// acquire returns a connection to a server that may run the statement, and the
// floor to send with it.
func (r *operation) acquire(ctx context.Context, primary bool) (*database.PooledConn, floor.ReplicationPosition, error) {
	g := r.group()
	if g == nil {
		return nil, floor.ReplicationPosition{}, database.ErrNoServer
	}
	route := r.session.route
	if primary || route.Guarantee == catalog.Strong {
		h, err := g.AcquirePrimary(ctx, r.requester(), r.maxWait())
		return h, floor.ReplicationPosition{}, err
	}
	own := floor.ReplicationPosition{}
	if route.Guarantee == catalog.ReadYourWrites {
		own = r.session.lastCommit
	}
	f, ok := g.Floor(r.startedAt, route.MaxStaleness, own)
	if !ok {
		h, err := g.AcquirePrimary(ctx, r.requester(), r.maxWait())
		return h, floor.ReplicationPosition{}, err
	}
	h, err := g.AcquireReader(ctx, database.ReadRequest{Requester: r.requester(), Floor: f, Tried: r.tried, Wait: r.maxWait()})
	if errors.Is(err, database.ErrNoServer) {
		clear(r.tried)
	}
	return h, f, err
}

// read runs a single read, on another server again when one fails.
func (r *operation) read(ctx context.Context) statement.Answer {
	r.readOnly = true
	for {
		h, f, err := r.acquire(ctx, false)
		if err != nil {
			if r.retry(ctx, err.Error()) {
				continue
			}
			return r.refuseNotRun()
		}
		a, err := r.send(h, f)
		h.Release()
		switch {
		case err == nil && a.Code == statement.Success:
			return a.WithStatus(statement.Idle)
		case err == nil && !a.Code.NotRun():
			return r.passError(h, a)
		case err != nil && r.remaining() <= 0:
			return r.session.refuse(r.st, statement.Timeout, "the read took too long")
		case !r.retry(ctx, failureReason(a, err)):
			return r.refuseNotRun()
		}
	}
}

// write runs a single write, which is sent once and only again after a server
// has refused it without running it.
func (r *operation) write(ctx context.Context) statement.Answer {
	for {
		h, _, err := r.acquire(ctx, true)
		if err != nil {
			if r.retry(ctx, err.Error()) {
				continue
			}
			return r.refuseNotRun()
		}
		a, err := r.send(h, floor.ReplicationPosition{})
		if err == nil && a.Code == statement.Success {
			r.session.lastCommit = a.Position
		}
		h.Release()
		switch {
		case errors.Is(err, errUnsent):
			if !r.retry(ctx, err.Error()) {
				return r.refuseNotRun()
			}
		case err != nil:
			return r.session.refuse(r.st, statement.UnknownOutcome, "the end of the write was not seen")
		case a.Code == statement.Success:
			return a.WithStatus(statement.Idle)
		case !a.Code.NotRun():
			return r.passError(h, a)
		case !r.retry(ctx, failureReason(a, nil)):
			return r.refuseNotRun()
		}
	}
}

// refuseNotRun refuses a single statement that no server has run.
func (r *operation) refuseNotRun() statement.Answer {
	invariant.Check(!r.maybeRunning, invariant.NotRun, "statement %s is said not to have run, and may have", r.st.ID)
	r.session.refund()
	return r.session.refuse(r.st, statement.Busy, r.lastReason+"; try again in 1 s")
}

// passError gives the server's own error to the caller.
func (r *operation) passError(h *database.PooledConn, a statement.Answer) statement.Answer {
	s := r.session
	s.options.Counters.countRefusal(a.Code)
	s.options.Log.Info("statement failed at the server", "id", r.st.ID, "server", h.Server().ID, "code", a.Code.String(), "detail", a.Detail)
	return a.WithStatus(statement.Idle)
}

func failureReason(a statement.Answer, err error) string {
	if err != nil {
		return err.Error()
	}
	return "the backend server refused: " + a.Detail
}

// errUnsent wraps what went wrong before the statement itself was sent.
var errUnsent = errors.New("the session could not be set up at the backend server")

// send aligns the server's session with the caller's and runs the statement.
func (r *operation) send(h *database.PooledConn, f floor.ReplicationPosition) (statement.Answer, error) {
	text, err := r.session.serverText(h, r.st, r.remaining())
	if err != nil {
		return statement.Answer{}, errUnsent
	}
	left := r.remaining()
	if left <= 0 {
		return statement.Answer{}, errUnsent
	}
	invariant.Check(h.Account() == r.session.account.Name, invariant.OwnAccount,
		"statement %s of account %s would run for %s", r.st.ID, r.session.account.Name, h.Account())
	invariant.Check(!r.maybeRunning, invariant.AtMostOnce, "statement %s is sent again though it may be running", r.st.ID)
	r.maybeRunning = true
	single := r.session.txn == nil
	a, err := h.Run(database.Request{ID: r.st.ID, Text: text, Floor: f, Timeout: left, Commits: single && !r.readOnly, Last: single, Parent: r.session.parent})
	if database.IsUnsent(err) {
		r.maybeRunning = false
		return a, errors.Wrap(errUnsent, err.Error())
	}
	// A read may run twice; of a write only a refusal says that it does not run.
	r.maybeRunning = !r.readOnly && (err != nil || !a.Code.NotRun() && a.Code != statement.Success)
	return a, err
}

// serverText returns what the server is to run, once its session has the caller's
// values and the prepared statement that it names.
func (s *session) serverText(h *database.PooledConn, st statement.Statement, timeout clock.Millis) (string, error) {
	if err := h.SyncValues(s.values, timeout); err != nil {
		return "", err
	}
	if st.Kind != statement.Execute {
		return st.Text, nil
	}
	name, err := h.Prepare(s.prepared[st.Name], timeout)
	if err != nil {
		return "", err
	}
	return s.options.Protocol.ExecuteFunc(name, st.Arguments), nil
}
