package session

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/memory"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
)

// ErrIdle means that the caller sent nothing within the wait, or that a planned stop
// interrupted the wait.
var ErrIdle = errors.New("the caller was idle")

// ErrShort means that a statement was read and dropped for lack of memory.
var ErrShort = errors.New("no memory for the statement")

const (
	// retryPause is the pause before a refused statement is retried, in milliseconds.
	retryPause = clock.Millis(20)
	// maxAttempts bounds the attempts to run one statement, including those that get no
	// connection.
	maxAttempts = 6
	// defaultTimeout bounds a statement whose route has no timeout, in milliseconds.
	defaultTimeout = clock.Millis(2000)
)

// operation is one statement while it is sent to a server, with its deadline and its
// attempts.
type operation struct {
	session   *session
	statement statement.Statement
	startedAt clock.Millis
	// deadline is the time at which the statement times out.
	deadline clock.Millis
	// tried names the servers chosen for earlier attempts; reads skip them.
	tried map[string]bool
	// attempts counts the failed attempts.
	attempts int
	// readOnly is set for a read outside a transaction, and anyServer if other servers than
	// the primary may run the operation.
	readOnly  bool
	anyServer bool
	// maybeRunning is set while a statement may be running at a server.
	maybeRunning bool
	// lastReason is why the last attempt failed; overloaded is set once one failed because
	// the wait was too long.
	lastReason string
	overloaded bool
	// outsideRegions is set once the allowed regions permitted no connection.
	outsideRegions bool
}

func (s *session) newOperation(st statement.Statement) *operation {
	now := s.options.Clock.Now()
	return &operation{session: s, statement: st, startedAt: now, deadline: now + s.timeout(), tried: map[string]bool{}}
}

func (op *operation) remaining() clock.Millis { return op.deadline - op.session.options.Clock.Now() }

// maxWait returns how long the operation may still wait for a server, in milliseconds.
func (op *operation) maxWait() clock.Millis {
	return min(op.startedAt+MaxWait(op.session.route)-op.session.options.Clock.Now(), op.remaining())
}

// MaxWait returns how long a statement of a route may wait for a server from its start, in
// milliseconds: until 3/4 of the route's target latency, if it has one, which leaves
// time to run the statement, and at most until the deadline.
func MaxWait(r catalog.Route) clock.Millis {
	if r.TargetLatency <= 0 {
		return Timeout(r)
	}
	return min(r.TargetLatency*3/4, Timeout(r))
}

// PrimaryOnly reports whether only the primary may run a statement of a route. primary is set for
// statements that may write. While the floor is not known, the primary runs all statements.
func PrimaryOnly(r catalog.Route, primary bool) bool {
	return primary || r.Guarantee == catalog.StrongConsistency
}

func (op *operation) requester() database.Requester {
	a := op.session.account
	return database.Requester{
		Account: a.Name, Weight: weight(op.session.route, a), Priority: op.session.route.Priority, Parent: op.session.parent,
		Regions: op.session.regionConstraint(), RegionsFunc: op.session.regionsFunc,
	}
}

// weight converts priorities, 0 being the most urgent, to a weight for sharing an
// overloaded server.
func weight(r catalog.Route, a catalog.Account) int {
	return max(1, 8>>min(max(r.Priority, 0), 2)) * max(1, 4>>min(max(a.Priority, 0), 2))
}

func (op *operation) group() *database.Group {
	return op.session.options.GroupFunc(op.session.route.Group)
}

// retry records why an attempt failed and reports whether another may follow, after a pause of
// retryPause. None follows after an overload, since the wait that the operation can afford is over or
// known to be too long; only a read continues, at once, while there are servers that it has not tried.
// None follows either if the allowed regions permit no connection, an evacuation leaves no server, or
// this VM lacks memory.
func (op *operation) retry(ctx context.Context, cause error) bool {
	op.lastReason = cause.Error()
	if regionErr := database.RegionErrorOf(cause); regionErr != nil {
		op.outsideRegions = true
		op.session.options.Counters.countRegionRefusal(regionErr.Reason)
		return false
	}
	if errors.Is(cause, errFloorUnknown) && op.maxWait() > retryPause {
		return op.session.options.Clock.Sleep(ctx, retryPause) == nil
	}
	op.attempts++
	if errors.Is(cause, database.ErrEvacuated) {
		return false
	}
	if errors.Is(cause, memory.ErrShort) {
		// Another server would not help: it is this VM that lacks memory.
		return false
	}
	if errors.Is(cause, database.ErrPoolTimeout) {
		op.overloaded = true
		return op.anyServer && op.attempts < maxAttempts && op.remaining() > 0
	}
	if op.overloaded && errors.Is(cause, database.ErrNoServer) {
		op.lastReason = database.ErrPoolTimeout.Error()
		return false
	}
	if op.attempts >= maxAttempts || op.maxWait() <= retryPause {
		return false
	}
	return op.session.options.Clock.Sleep(ctx, retryPause) == nil
}

// acquire returns a connection to a server that may run the statement, and the floor to
// send with it. The server is the primary if primary is set, if the route's reads are
// strongly consistent, or if the floor is not known.
func (op *operation) acquire(ctx context.Context, primary bool) (*database.PooledConn, floor.ReplicationPosition, error) {
	g := op.group()
	if g == nil {
		return nil, floor.ReplicationPosition{}, database.ErrNoServer
	}
	route := op.session.route
	if PrimaryOnly(route, primary) {
		conn, err := g.AcquirePrimary(ctx, op.requester(), op.maxWait())
		return conn, floor.ReplicationPosition{}, err
	}
	ownCommit := floor.ReplicationPosition{}
	if route.Guarantee == catalog.ReadYourWrites {
		ownCommit = op.session.commits.In(route.Group)
	}
	f, ok := g.Floor(op.startedAt, route.MaxStaleness, ownCommit)
	if !ok {
		conn, err := g.AcquirePrimary(ctx, op.requester(), op.maxWait())
		if errors.Is(err, database.ErrPrimaryNotAllowed) {
			err = errFloorUnknown
		}
		return conn, floor.ReplicationPosition{}, err
	}
	conn, err := g.AcquireReader(ctx, database.ReadRequest{Requester: op.requester(), Floor: f, Tried: op.tried, Wait: op.maxWait()})
	if errors.Is(err, database.ErrNoServer) {
		// The next attempt may choose any server again.
		clear(op.tried)
	}
	return conn, f, err
}

// errFloorUnknown means that a read which replicas may serve cannot be sent to one yet, and not to
// the primary either because of its region.
var errFloorUnknown = errors.New("it is not known how recent a replica must be, and the primary is in a region that is not allowed")

// read runs a single read, and retries it on another server if one fails.
func (op *operation) read(ctx context.Context) statement.Answer {
	op.readOnly, op.anyServer = true, op.session.route.Guarantee != catalog.StrongConsistency
	for {
		conn, f, err := op.acquire(ctx, false)
		if err != nil {
			if op.retry(ctx, err) {
				continue
			}
			return op.refuseNotRun()
		}
		a, err := op.send(conn, f)
		conn.Release()
		switch {
		case err == nil && a.Code == statement.Success:
			return a.WithStatus(statement.Idle)
		case err == nil && !a.Code.NotRun():
			return op.passError(conn, a)
		case err != nil && op.remaining() <= 0:
			return op.session.refuse(op.statement, statement.Timeout, "the read took too long")
		case !op.retry(ctx, failure(a, err)):
			return op.refuseNotRun()
		}
	}
}

// write runs a single write. It is sent again only if it certainly did not run: after
// a refusal, or an error before it was sent.
func (op *operation) write(ctx context.Context) statement.Answer {
	for {
		conn, _, err := op.acquire(ctx, true)
		if err != nil {
			if op.retry(ctx, err) {
				continue
			}
			return op.refuseNotRun()
		}
		a, err := op.send(conn, floor.ReplicationPosition{})
		if err == nil && a.Code == statement.Success {
			op.session.commits = op.session.commits.With(conn.Group(), a.Position)
		}
		conn.Release()
		switch {
		case errors.Is(err, errUnsent):
			if !op.retry(ctx, err) {
				return op.refuseNotRun()
			}
		case err != nil:
			return op.session.refuse(op.statement, statement.UnknownOutcome, "the end of the write was not seen")
		case a.Code == statement.Success:
			return a.WithStatus(statement.Idle)
		case !a.Code.NotRun():
			return op.passError(conn, a)
		case !op.retry(ctx, failure(a, nil)):
			return op.refuseNotRun()
		}
	}
}

// refuseNotRun refuses a single statement as not run, and gives back its token. A write
// has certainly not run; a read may have, since it changes nothing.
func (op *operation) refuseNotRun() statement.Answer {
	invariant.Check(!op.maybeRunning, invariant.NotRun, "statement %s is reported as not run, but may have run", op.statement.ID)
	op.session.refund()
	return op.session.refuse(op.statement, statement.Busy, op.refusalDetail())
}

// refusalDetail returns the detail of a refusal after the last attempt. It suggests another attempt
// unless the allowed regions would prevent that too.
func (op *operation) refusalDetail() string {
	if op.outsideRegions {
		return op.lastReason
	}
	return op.lastReason + "; try again in 1 s"
}

// passError counts and logs a server's error, and returns it as the answer.
func (op *operation) passError(conn *database.PooledConn, a statement.Answer) statement.Answer {
	s := op.session
	s.options.Counters.countRefusal(a.Code)
	s.logFailure("statement failed at the server", conn, op.statement, a)
	return a.WithStatus(statement.Idle)
}

// failure returns why an attempt failed: its error, or else the refusal a.
func failure(a statement.Answer, err error) error {
	if err != nil {
		return err
	}
	return errors.New("the backend server refused: " + a.Detail)
}

// errUnsent means that an attempt failed before the statement itself was sent.
var errUnsent = errors.New("the session could not be set up at the backend server")

// unsentError is an errUnsent with the error of the layer below.
type unsentError struct{ cause error }

// Error implements error.
func (e *unsentError) Error() string { return e.cause.Error() }

// Is reports that it is an errUnsent.
func (e *unsentError) Is(target error) bool { return target == errUnsent }

// Unwrap returns the cause.
func (e *unsentError) Unwrap() error { return e.cause }

// send applies the caller's settings to the server's session and runs the statement. An error that is
// errUnsent means that the statement was not sent, any other one that its outcome is unknown.
func (op *operation) send(conn *database.PooledConn, f floor.ReplicationPosition) (statement.Answer, error) {
	if allowed := op.session.regionConstraint(); !conn.IsWithin(allowed) {
		return statement.Answer{}, &unsentError{cause: database.ErrRegionsChanged}
	}
	if err := conn.SyncSettings(op.session.settings, op.remaining()); errors.Is(err, database.ErrServerEvacuated) {
		return statement.Answer{}, &unsentError{cause: err}
	} else if err != nil {
		return statement.Answer{}, errUnsent
	}
	timeout := op.remaining()
	if timeout <= 0 {
		return statement.Answer{}, errUnsent
	}
	invariant.Check(conn.Account() == op.session.account.Name, invariant.OwnAccount,
		"statement %s of account %s would run for %s", op.statement.ID, op.session.account.Name, conn.Account())
	invariant.Check(!op.maybeRunning, invariant.AtMostOnce, "statement %s is sent again though it may be running", op.statement.ID)
	op.session.logSending(conn, op.statement)
	op.maybeRunning = true
	single := op.session.txn == nil
	r := op.session.request(op.statement, timeout)
	r.Floor, r.IsCommit, r.ReleaseAfter = f, single && !op.readOnly, single
	a, err := conn.Run(r)
	if database.IsUnsent(err) {
		op.maybeRunning = false
		return a, &unsentError{cause: err}
	}
	// A read may run twice. Any other statement may still be running unless the server
	// reported that it succeeded or did not run.
	op.maybeRunning = !op.readOnly && (err != nil || !a.Code.NotRun() && a.Code != statement.Success)
	return a, err
}

// request returns the request that runs a statement within timeout milliseconds.
func (s *session) request(st statement.Statement, timeout clock.Millis) database.Request {
	r := database.Request{ID: st.ID, Timeout: timeout, Parent: s.parent, Regions: s.regionConstraint(), RegionsFunc: s.regionsFunc, Memory: s.caller.Memory}
	if st.Kind == statement.Execute {
		r.Execution = statement.Execution{Shape: s.prepared[st.Name], Arguments: st.Arguments}
	} else {
		r.Text = st.Text
	}
	return r
}
