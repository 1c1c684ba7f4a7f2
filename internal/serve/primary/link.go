package primary

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/core/primary"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

const (
	// primaryInterval and replicaInterval are the intervals between two probes in a
	// stable group, unstableInterval in any other, in milliseconds.
	primaryInterval  = 250 * clock.Millis(1)
	replicaInterval  = 500 * clock.Millis(1)
	unstableInterval = 100 * clock.Millis(1)
	// queryTimeout bounds the connection to a server and the wait for its answer, in
	// milliseconds.
	queryTimeout = 1500 * clock.Millis(1)
	// linkOwner is the owner ID that a link uses for its connection. It need not be
	// unique, since no connection passes from one owner to another.
	linkOwner = 1
	// maxQueuedActions bounds the actions that wait for one server.
	maxQueuedActions = 8
)

// link is the observer's connection to one server.
type link struct {
	observer *Observer
	server   document.Server
	actions  chan primary.Action
	// conn is nil until the next query connects.
	conn *backend.Conn
}

func newLink(v *Observer, s document.Server) *link {
	return &link{observer: v, server: s, actions: make(chan primary.Action, maxQueuedActions)}
}

// enqueue queues an action, or drops it if the queue is full; the observer repeats
// it.
func (l *link) enqueue(a primary.Action) {
	select {
	case l.actions <- a:
	default:
	}
}

// run probes the server and runs the queued actions until the context ends.
func (l *link) run(ctx context.Context) {
	defer l.closeConn()
	c := l.observer.options.Clock
	for ctx.Err() == nil {
		l.probe(ctx)
		fired, stop := c.AfterFunc(l.probeInterval())
		select {
		case <-ctx.Done():
		case <-fired:
		case a := <-l.actions:
			l.runAction(ctx, a)
		}
		stop()
	}
}

func (l *link) probeInterval() clock.Millis {
	state := l.observer.state.Load()
	if !state.IsStable(l.observer.options.Clock.Now()) {
		return unstableInterval
	}
	if _, leader := state.Leader(); leader == l.server.Name {
		return primaryInterval
	}
	return replicaInterval
}

func (l *link) closeConn() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

// query runs one query within queryTimeout, and connects first if necessary. An error
// that the server reports for the query is a *backend.ServerError; after any other
// error, or once the time is up, the connection is closed.
func (l *link) query(ctx context.Context, sql string) ([][]string, error) {
	o := l.observer.options
	ctx, cancel := context.WithTimeout(ctx, queryTimeout.Duration())
	defer cancel()
	if l.conn == nil {
		c, err := backend.Dial(ctx, backend.Options{
			Address: l.server.Address, Database: o.Database.Name, User: o.User, Password: o.Password,
			ApplicationName: "sycamoredoor/observer/" + o.Self.VM, ConnectTimeout: queryTimeout,
		})
		if err != nil {
			return nil, err
		}
		c.Acquire(linkOwner)
		l.conn = c
	}
	stop := context.AfterFunc(ctx, l.conn.Close)
	rows, err := l.conn.Query(linkOwner, sql)
	var serverError *backend.ServerError
	if !stop() || err != nil && !errors.As(err, &serverError) {
		l.closeConn()
	}
	return rows, err
}

// probe queries the server's state and posts the answer. A server that refuses a
// connection because it has too many is alive; that error is a *pgconn.PgError, since
// it comes from connecting and not from the query.
func (l *link) probe(ctx context.Context) {
	rows, err := l.query(ctx, backend.StateQuery)
	var refusal *pgconn.PgError
	if errors.As(err, &refusal) && refusal.Code == outcome.CodeTooManyConnections {
		l.observer.post(ctx, primary.Event{Kind: primary.Reachable, Server: l.server.Name})
	}
	if err != nil {
		return
	}
	s, err := backend.ParseState(rows)
	if err != nil {
		return
	}
	l.observer.post(ctx, primary.Event{Kind: primary.Answered, Server: l.server.Name, State: primary.State{
		Term: s.Term, Role: primary.Role(s.Role), Leader: s.Leader, LastPosition: s.LastPosition, ContactAge: s.ContactAge,
	}})
}

// runAction runs one action. It ignores the answer to a Follow, which the observer
// repeats until a probe shows that the server follows the primary.
func (l *link) runAction(ctx context.Context, a primary.Action) {
	switch a.Kind {
	case primary.Seal:
		l.observer.counter("seals").Inc()
		l.runClaimStep(ctx, a, primary.Sealed, "group_seal")
	case primary.Promote:
		invariant.Check(a.TargetPosition.Covers(a.HighestPosition), invariant.CurrentPrimary,
			"backend server %s at %s would be promoted over one at %s", a.Server, a.TargetPosition, a.HighestPosition)
		l.runClaimStep(ctx, a, primary.Promoted, "group_promote")
	case primary.Follow:
		_, _ = l.query(ctx, fmt.Sprintf("SELECT group_follow(%d, %s)", a.Term, quoteLiteral(a.Leader)))
	}
}

// runClaimStep runs one step of a claim by calling an SQL function of the server, and
// posts the position that it returns, or a refusal for codeSealed. In any other case it
// posts no event, since the outcome may be unknown, and the observer repeats the step.
func (l *link) runClaimStep(ctx context.Context, a primary.Action, kind primary.EventKind, function string) {
	rows, err := l.query(ctx, fmt.Sprintf("SELECT %s(%d, %s)", function, a.Term, quoteLiteral(a.Claimant)))
	e := primary.Event{Kind: kind, Server: l.server.Name, Claimant: a.Claimant, Term: a.Term}
	var refusal *backend.ServerError
	switch {
	case errors.As(err, &refusal) && refusal.Code == codeSealed:
		e.Refused = true
	case err != nil || len(rows) == 0:
		return
	default:
		position, ok := parsePosition(rows[0][0])
		if !ok {
			return
		}
		e.Position = position
	}
	l.observer.post(ctx, e)
}

// codeSealed is the SQLSTATE of a server that is sealed for another claim.
const codeSealed = "55000"

func quoteLiteral(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// parsePosition parses "term/position", both in decimal.
func parsePosition(s string) (floor.ReplicationPosition, bool) {
	term, position, ok := strings.Cut(s, "/")
	t, termErr := strconv.ParseUint(term, 10, 64)
	p, positionErr := strconv.ParseUint(position, 10, 64)
	return floor.ReplicationPosition{Term: floor.Term(t), Position: floor.Position(p)}, ok && termErr == nil && positionErr == nil
}
