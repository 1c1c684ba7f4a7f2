package database

import (
	"maps"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/base/trace"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/memory"
)

// PooledConn is a connection that one session uses exclusively until it releases it.
type PooledConn struct {
	pool *pool
	// conn is nil until the connection is opened.
	conn *Conn
	// remote is set instead of conn if another VM holds the connection.
	remote  *RemoteConn
	account string
	// priority is that of the request which the connection was last given to.
	priority int
	// number identifies the connection in the logs of this VM's group; it is 0 for one that
	// another VM holds.
	number uint64
	// settings holds the settings of the server's session by name.
	settings map[string]string
	// prepared is nil if another VM holds the connection.
	prepared *preparedStatements
	// openedAt is the time at which the opening of the connection began, usedAt that at which it
	// was opened or last released.
	openedAt clock.Millis
	usedAt   clock.Millis
	// status is the state of the server's session.
	status statement.Status
	// broken is set once the connection must be closed on release.
	broken bool
	// released is set once the connection was released.
	released bool
	// granted is set from the grant of the connection until its first statement.
	granted bool
	// primary is set if the first statement requires that the server is the confirmed primary.
	primary bool
}

// Server returns the server of the connection.
func (pc *PooledConn) Server() Server { return pc.pool.entry() }

// Holder returns the name of the VM that holds the connection, or "" if this one does.
func (pc *PooledConn) Holder() string {
	if pc.remote == nil {
		return ""
	}
	return pc.remote.VM
}

// IsEvacuated reports whether the server is in an evacuated availability zone.
func (pc *PooledConn) IsEvacuated() bool { return pc.pool.isEvacuated() }

// Group returns the name of the database group that the server belongs to.
func (pc *PooledConn) Group() string { return pc.pool.group.options.Name }

// Run runs a statement and records the log position in the answer. An *UnsentError
// means that the statement did not reach the server, any other error that its outcome
// is unknown. After an error the connection can only be released.
func (pc *PooledConn) Run(r Request) (statement.Answer, error) {
	pc.checkNotReleased()
	if !r.Regions.IsAll() {
		invariant.Check(pc.IsWithin(r.Regions), invariant.AllowedRegions,
			"statement %s, allowed in %s, would be sent to %s through VM %q", r.ID, r.Regions, pc.pool.entry().ID, pc.Holder())
	}
	if pc.remote != nil {
		return pc.runRemote(r)
	}
	c := pc.pool.group.options.Clock
	began, isFirst := c.Now(), pc.granted
	deadline := began + r.Timeout
	if err := pc.pool.checkEvacuation(began); err != nil {
		return statement.Answer{}, err
	}
	name, refusal, err := pc.prepare(r)
	if err != nil || refusal.Code != statement.Success {
		pc.logSent(r, name, refusal, err)
		return refusal, err
	}
	if name != "" {
		if n := int64(len(r.Execution.Arguments)); n > memory.FreeSize {
			if !r.Memory.Take(memory.Work, n) {
				return statement.Answer{}, &UnsentError{Cause: memory.ErrShort}
			}
			defer r.Memory.Give(memory.Work, n)
		}
		if r.Text, err = pc.compose(r, name); err != nil {
			return statement.Answer{}, err
		}
	}
	if !pc.pool.awaitSend(pc, r, deadline) {
		a := statement.Refuse(statement.Busy, errColdLimit.Error(), pc.status)
		pc.logSent(r, name, a, nil)
		return a, nil
	}
	sent := c.Now()
	if sent > began && isFirst {
		if err := pc.checkAfterWait(r); err != nil {
			return statement.Answer{}, err
		}
	}
	if err := pc.pool.checkEvacuation(sent); err != nil {
		return statement.Answer{}, err
	}
	r.Timeout = deadline - sent
	pc.pool.startStatement(pc.granted)
	pc.granted = false
	span := pc.pool.group.options.Trace.StartChild(r.Parent, trace.BackendSpan)
	a, err := pc.conn.RunFunc(r)
	var unsendable *UnsendableError
	if errors.As(err, &unsendable) {
		a, err = pc.refuseUnsendable(unsendable), nil
		pc.pool.cancelStatement()
		span.End(pc.traceAttributes(a, err))
		pc.logSent(r, name, a, err)
		return a, nil
	}
	span.End(pc.traceAttributes(a, err))
	pc.logSent(r, name, a, err)
	if errors.Is(err, memory.ErrShort) {
		// The server has answered; only its rows were dropped here.
		pc.pool.endStatement(c.Now()-sent, pc.priority, false, nil)
		pc.status, pc.broken = a.Status, pc.broken || a.Status == 0
		return a, err
	}
	pc.pool.endStatement(c.Now()-sent, pc.priority, a.Code == statement.Busy, err)
	if err != nil {
		pc.broken = true
		return a, err
	}
	pc.status = a.Status
	pc.pool.recordProcess(pc.openedAt)
	if name != "" && a.Code == statement.NotPrepared {
		pc.prepared.remove(r.Execution.Shape)
	}
	return a, pc.recordAnswer(r, a, sent)
}

// checkAfterWait returns an *UnsentError if the connection may not be used any more for its first
// statement, which has waited for the limit of a cold server or its preparation: with ErrNoPrimary if the server must be the confirmed primary and is
// not, or with ErrRegionsChanged.
func (pc *PooledConn) checkAfterWait(r Request) error {
	switch {
	case pc.primary && !pc.pool.group.isConfirmedPrimary(pc.pool):
		return &UnsentError{Cause: ErrNoPrimary}
	case r.RegionsFunc != nil && !pc.IsWithin(r.RegionsFunc()):
		return &UnsentError{Cause: ErrRegionsChanged}
	}
	return nil
}

// refuseUnsendable returns the answer to a statement that cannot be sent.
func (pc *PooledConn) refuseUnsendable(e *UnsendableError) statement.Answer {
	return statement.Refuse(statement.Invalid, e.Detail, pc.status)
}

// errAmbiguous means that a server would read another execution from a text than the one it was
// made for.
var errAmbiguous = errors.New("the execution of the prepared statement cannot be written unambiguously")

// compose returns the text that executes the statement prepared under a name with the arguments of
// a request. It parses the text again before it is sent: the error, an *UnsentError with
// errAmbiguous, is a fault of the proxy.
func (pc *PooledConn) compose(r Request, name string) (string, error) {
	protocol := pc.pool.group.options.Protocol
	text := protocol.ExecuteFunc(name, r.Execution.Arguments)
	st := protocol.ParseFunc(text)
	same := st.Kind == statement.Execute && st.Name == name && st.Arguments == r.Execution.Arguments
	invariant.Check(same, invariant.Unchanged, "the execution of %q for request %s would run %q", LoggedName(name), LoggedName(r.ID), LoggedName(st.Name))
	if !same {
		pc.broken = true
		return "", &UnsentError{Cause: errAmbiguous}
	}
	return text, nil
}

// traceAttributes returns the span attributes for the outcome of a statement.
func (pc *PooledConn) traceAttributes(a statement.Answer, err error) trace.Attributes {
	out := trace.Attributes{Account: pc.account, Database: pc.pool.group.options.Name, Server: pc.pool.entry().ID, Outcome: "ran"}
	switch {
	case err != nil:
		out.Outcome, out.Reason = "lost", err.Error()
	case a.Code.NotRun():
		out.Outcome, out.Reason = "notrun", a.Code.String()
	}
	return out
}

// errReplaced means that a commit was acknowledged by a primary that has been replaced. If
// it was acknowledged after the promotion, the new primary does not have it.
var errReplaced = errors.New("a later term began before the commit was acknowledged")

// errReleased means that a commit was acknowledged by a primary after this VM had released
// its term to a claimant.
var errReleased = errors.New("the term was released to a claimant before the commit was acknowledged")

// errNoPosition means that a server did not say where in its log a commit is.
var errNoPosition = errors.New("the commit was acknowledged without a log position")

// errLeaseEnded means that a commit was acknowledged by a primary whose lease had ended by
// then, so that another server may have been ordered to be promoted without it.
var errLeaseEnded = errors.New("the lease on the primary ended before the commit was acknowledged")

// recordAnswer records the log position in an answer. An answer without a transaction
// status makes the connection unusable. The errors are errLeaseEnded and those of recordCommit;
// a VM that holds the connection for another one has checked the lease.
func (pc *PooledConn) recordAnswer(r Request, a statement.Answer, sent clock.Millis) error {
	pc.broken = pc.broken || a.Status == 0
	g := pc.pool.group
	if r.IsCommit && a.Code == statement.Success {
		err := g.recordCommit(pc.pool.entry().ID, a.Position, sent)
		if err == nil && pc.remote == nil && !g.Ready() {
			g.options.Counters.unknownCommits.Inc()
			err = errLeaseEnded
		}
		if err != nil {
			pc.broken = true
			return err
		}
	}
	g.recordPosition(pc.pool.entry().ID, a.Position, sent)
	return nil
}

// checkNotReleased asserts that the connection is not used after its release.
func (pc *PooledConn) checkNotReleased() {
	invariant.Check(!pc.released, invariant.OneTransaction, "a connection to %s is used after its release", pc.pool.entry().ID)
}

// Account returns the account for which the connection was opened.
func (pc *PooledConn) Account() string { return pc.account }

// RunCommand runs a claimant's command or a status query within timeout milliseconds.
// The error is a *RefusalError if the server refused; after any other the connection is
// broken.
func (pc *PooledConn) RunCommand(c Command, term floor.Term, timeout clock.Millis) (statement.ReplicationStatus, error) {
	pc.checkNotReleased()
	k := pc.pool.group.options.Clock
	sent := k.Now()
	status, err := pc.conn.CommandFunc(c, term, timeout)
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		// A server that refuses, for example because it is busy, is reachable.
		pc.pool.recordSuccess()
		return status, err
	}
	if err != nil {
		pc.broken = true
		pc.pool.recordFailure()
		return status, err
	}
	pc.pool.recordSuccess()
	pc.pool.recordProcess(pc.openedAt)
	pc.pool.recordRoundTrip(k.Now() - sent)
	return status, nil
}

// SyncSettings makes the settings of the server's session equal to the given ones, with
// at most timeout milliseconds for each. After an error the connection is broken. For a
// connection held by another VM it sends nothing, since each statement carries the
// settings. It returns an *UnsentError with ErrServerEvacuated if an evacuation bars the server.
func (pc *PooledConn) SyncSettings(settings map[string]string, timeout clock.Millis) error {
	if maps.Equal(pc.settings, settings) {
		return nil
	}
	if pc.remote != nil {
		pc.settings = settings
		return nil
	}
	if err := pc.pool.checkEvacuation(pc.pool.group.options.Clock.Now()); err != nil {
		return err
	}
	// A single setting cannot be removed, so the whole session is reset.
	for name := range pc.settings {
		if _, wanted := settings[name]; wanted {
			continue
		}
		if err := pc.conn.ResetFunc(timeout); err != nil {
			pc.broken = true
			return err
		}
		clear(pc.settings)
		pc.prepared.clear()
		break
	}
	for name, value := range settings {
		if old, ok := pc.settings[name]; ok && old == value {
			continue
		}
		if err := pc.conn.SetFunc(name, value, timeout); err != nil {
			pc.broken = true
			return err
		}
		pc.settings[name] = value
	}
	return nil
}

// MarkBroken marks the connection as unusable, so that Release closes it.
func (pc *PooledConn) MarkBroken() { pc.broken = true }

// Release returns the connection to the pool, or closes it if it is broken. A connection
// held by another VM is released there.
func (pc *PooledConn) Release() {
	if pc.remote == nil {
		pc.pool.release(pc)
		return
	}
	if !pc.released {
		pc.released = true
		pc.remote.CloseFunc()
	}
}
