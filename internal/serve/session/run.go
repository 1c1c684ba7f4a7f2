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

// run is one operation on its way to a server: a single statement, or the first
// of a transaction.
type run struct {
	session *session
	st      statement.Statement
	began   clock.Millis
	// end is the moment at which the statement's time is over.
	end clock.Millis
	// tried names servers that refused or failed.
	tried    map[string]bool
	attempts int
	// readOnly is set for a statement that changes nothing.
	readOnly bool
	// sent is set while a statement may be running at a server.
	sent bool
	// last is why the last attempt did not succeed.
	last string
}

func (s *session) newRun(st statement.Statement) *run {
	now := s.options.Clock.Now()
	timeout := s.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &run{session: s, st: st, began: now, end: now + timeout, tried: map[string]bool{}}
}

func (r *run) left() clock.Millis { return r.end - r.session.options.Clock.Now() }

// wait is how long the run may still wait for a server: as long as the caller
// can have its answer in time for the objective, with room for the work.
func (r *run) wait() clock.Millis {
	objective := r.session.route.Objective
	if objective <= 0 {
		return r.left()
	}
	return min(r.began+objective*3/4-r.session.options.Clock.Now(), r.left())
}

func (r *run) who() database.Who {
	a := r.session.account
	return database.Who{Account: a.Name, Weight: weight(r.session.route, a), Parent: r.session.parent}
}

// weight turns priorities, 0 for the most urgent, into a share of a crowded server.
func weight(r catalog.Route, a catalog.Account) int {
	return max(1, 8>>min(max(r.Priority, 0), 2)) * max(1, 4>>min(max(a.Priority, 0), 2))
}

func (r *run) group() *database.Group { return r.session.options.GroupFunc(r.session.route.Group) }

// again reports whether another attempt may follow, and pauses before it.
func (r *run) again(ctx context.Context, reason string) bool {
	r.last = reason
	r.attempts++
	if r.attempts >= maxAttempts || r.wait() <= retryPause {
		return false
	}
	return r.session.options.Clock.Sleep(ctx, retryPause) == nil
}

// place returns a connection to a server that may run the statement, and the
// floor to send with it.
func (r *run) place(ctx context.Context, primary bool) (*database.Held, floor.ReplicationPosition, error) {
	g := r.group()
	if g == nil {
		return nil, floor.ReplicationPosition{}, database.ErrNone
	}
	route := r.session.route
	if primary || route.Guarantee == catalog.Current {
		h, err := g.Primary(ctx, r.who(), r.wait())
		return h, floor.ReplicationPosition{}, err
	}
	own := floor.ReplicationPosition{}
	if route.Guarantee == catalog.Own {
		own = r.session.own
	}
	f, ok := g.Floor(r.began, route.Age, own)
	if !ok {
		h, err := g.Primary(ctx, r.who(), r.wait())
		return h, floor.ReplicationPosition{}, err
	}
	h, err := g.Reader(ctx, database.Read{Who: r.who(), Floor: f, Tried: r.tried, Wait: r.wait()})
	if errors.Is(err, database.ErrNone) {
		clear(r.tried)
	}
	return h, f, err
}

// read runs a single read, on another server again when one fails.
func (r *run) read(ctx context.Context) statement.Answer {
	r.readOnly = true
	for {
		h, f, err := r.place(ctx, false)
		if err != nil {
			if r.again(ctx, err.Error()) {
				continue
			}
			return r.notRun()
		}
		a, err := r.send(h, f)
		h.Release()
		switch {
		case err == nil && a.Code == statement.Success:
			return a.WithStatus(statement.Idle)
		case err == nil && !a.Code.NotRun():
			return r.passOn(h, a)
		case err != nil && r.left() <= 0:
			return r.session.refuse(r.st, statement.Timeout, "the read took too long")
		case !r.again(ctx, reason(a, err)):
			return r.notRun()
		}
	}
}

// write runs a single write, which is sent once and only again after a server
// has refused it without running it.
func (r *run) write(ctx context.Context) statement.Answer {
	for {
		h, _, err := r.place(ctx, true)
		if err != nil {
			if r.again(ctx, err.Error()) {
				continue
			}
			return r.notRun()
		}
		a, err := r.send(h, floor.ReplicationPosition{})
		if err == nil && a.Code == statement.Success {
			r.session.own = a.Position
		}
		h.Release()
		switch {
		case errors.Is(err, errUnsent):
			if !r.again(ctx, err.Error()) {
				return r.notRun()
			}
		case err != nil:
			return r.session.refuse(r.st, statement.UnknownOutcome, "the end of the write was not seen")
		case a.Code == statement.Success:
			return a.WithStatus(statement.Idle)
		case !a.Code.NotRun():
			return r.passOn(h, a)
		case !r.again(ctx, reason(a, nil)):
			return r.notRun()
		}
	}
}

// notRun refuses a single statement that no server has run.
func (r *run) notRun() statement.Answer {
	invariant.Check(!r.sent, invariant.NotRun, "statement %s is said not to have run, and may have", r.st.ID)
	r.session.giveBack()
	return r.session.refuse(r.st, statement.Busy, r.last+"; try again in 1 s")
}

// passOn gives the server's own error to the caller.
func (r *run) passOn(h *database.Held, a statement.Answer) statement.Answer {
	s := r.session
	s.options.Counters.refuse(a.Code)
	s.options.Log.Info("statement failed at the server", "id", r.st.ID, "server", h.Server().ID, "code", a.Code.String(), "detail", a.Detail)
	return a.WithStatus(statement.Idle)
}

func reason(a statement.Answer, err error) string {
	if err != nil {
		return err.Error()
	}
	return "the backend server refused: " + a.Detail
}

// errUnsent wraps what went wrong before the statement itself was sent.
var errUnsent = errors.New("the session could not be set up at the backend server")

// send aligns the server's session with the caller's and runs the statement.
func (r *run) send(h *database.Held, f floor.ReplicationPosition) (statement.Answer, error) {
	text, err := r.session.text(h, r.st, r.left())
	if err != nil {
		return statement.Answer{}, errUnsent
	}
	left := r.left()
	if left <= 0 {
		return statement.Answer{}, errUnsent
	}
	invariant.Check(h.Account() == r.session.account.Name, invariant.OwnAccount,
		"statement %s of account %s would run for %s", r.st.ID, r.session.account.Name, h.Account())
	invariant.Check(!r.sent, invariant.AtMostOnce, "statement %s is sent again though it may be running", r.st.ID)
	r.sent = true
	single := r.session.txn == nil
	a, err := h.Run(database.Request{ID: r.st.ID, Text: text, Floor: f, Timeout: left, Commits: single && !r.readOnly, Last: single, Parent: r.session.parent})
	if database.IsUnsent(err) {
		r.sent = false
		return a, errors.Wrap(errUnsent, err.Error())
	}
	// A read may run twice; of a write only a refusal says that it does not run.
	r.sent = !r.readOnly && (err != nil || !a.Code.NotRun() && a.Code != statement.Success)
	return a, err
}

// text returns what the server is to run, once its session has the caller's
// values and the prepared statement that it names.
func (s *session) text(h *database.Held, st statement.Statement, timeout clock.Millis) (string, error) {
	if err := h.Align(s.values, timeout); err != nil {
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
