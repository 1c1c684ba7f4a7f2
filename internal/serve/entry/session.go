package entry

import (
	"context"
	"strings"
	"sync"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/core/route"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/caller"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
)

// session is the connection of one caller.
type session struct {
	entry    *Entry
	conn     *caller.Conn
	database string
	account  string
	// key is the ID of the key, or "" for the anonymous user.
	key string
	// keyCheckedAt is the time at which the key was last found valid.
	keyCheckedAt clock.Millis
	processID    uint32
	secret       []byte

	// hint holds the settings of the session.
	hint route.Hint
	// floor is the lowest position that reads of the session may see.
	floor floor.ReplicationPosition
	// statements holds the prepared statements by the caller's names.
	statements map[string]*statement
	// preparedSize is the size of the prepared statements in bytes.
	preparedSize int
	// portals maps the name of a portal to its statement. It has only the portals
	// of commands, which the proxy runs itself.
	portals map[string]*statement
	// batchMemory is what the batch takes of Entry.batchMemory, in bytes.
	batchMemory int
	// pendingMessage was read already and begins the next batch.
	pendingMessage pgwire.Message
	// pinnedServer is the server of the open transaction, or "".
	pinnedServer string
	// inBlock is set within a transaction block, as opposed to an implicit
	// transaction, which ends at the Sync.
	inBlock bool
	// isWrite is set when the transaction runs on a write route.
	isWrite bool
	// sessionName is the named session that the transaction belongs to, or "".
	sessionName string
	// failed is set when an open transaction block was lost and the caller has
	// not ended it yet.
	failed bool
	// skipping is set after an error until the caller's Sync; other messages
	// are discarded.
	skipping bool

	// cancelMu is held while a cancel request is sent, so that the request
	// cannot reach the next user of a released stream.
	cancelMu sync.Mutex

	mu sync.Mutex
	// exchange is the open exchange with the holder of a server, or nil.
	exchange *inner.Exchange
	// idle is set while the session waits for a batch outside a transaction,
	// and busy while it serves one.
	idle bool
	busy bool
	// endReason is set once the session has to end; the caller gets it as the
	// error.
	endReason *outcome.NotRun
	// closed is set once the session has been terminated.
	closed bool
}

// startupHint applies a startup parameter if it is a setting of the proxy.
func (s *session) startupHint(name, value string) error {
	field, isSetting := strings.CutPrefix(name, settingPrefix)
	if !isSetting {
		return nil
	}
	return s.setHint(field, value)
}

// setHint sets a setting of the session, named without settingPrefix. A token
// also raises the floor of the session. The error is a refusal.
func (s *session) setHint(field, value string) error {
	h, ok := s.hint.WithField(field, value)
	if !ok {
		return outcome.Refuse(outcome.ReasonInvalidRequest, outcome.CodeInvalidParameter, "%s%s cannot be set to a value of %d bytes", settingPrefix, field, len(value))
	}
	s.hint = h
	if field != "token" || value == "" {
		return nil
	}
	position, err := parseToken(s.database, value)
	if err != nil {
		return outcome.Refuse(outcome.ReasonInvalidRequest, outcome.CodeInvalidParameter, "%s%s: %v", settingPrefix, field, err)
	}
	s.floor = s.floor.Max(position)
	return nil
}

// run serves batches until the caller leaves or an error ends the connection.
func (s *session) run(ctx context.Context) {
	defer s.closeExchange()
	for {
		b, err := s.readBatch()
		if err == nil {
			s.setBusy(true)
			err = s.serveBatch(ctx, b)
			s.setBusy(false)
		}
		_ = s.reserveBatchMemory(0)
		if err != nil {
			s.sendFatal(err)
			return
		}
	}
}

// sendFatal sends the caller the reason for which its connection ends, if err
// is a refusal.
func (s *session) sendFatal(err error) {
	var refusal *outcome.NotRun
	if !errors.As(err, &refusal) {
		return
	}
	s.entry.counters.countRefused(refusal.Reason)
	_ = s.conn.Write(caller.ErrorResponse("FATAL", refusal.Code, "%s", refusal.Detail))
}

// closeExchange closes the exchange, if any; the holder rolls back an open
// transaction.
func (s *session) closeExchange() {
	if x := s.takeExchange(); x != nil {
		x.Close()
	}
}

// releaseExchange releases the exchange of a transaction that has ended, so
// that its stream can be used again.
func (s *session) releaseExchange() {
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	if x := s.takeExchange(); x != nil {
		x.Release()
	}
}

// takeExchange removes the exchange and the pinned server from the session. It
// returns the exchange, or nil when there is none.
func (s *session) takeExchange() *inner.Exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.exchange
	s.exchange, s.pinnedServer = nil, ""
	return x
}

// setExchange makes x the exchange of the session. It returns false if the
// session has been terminated.
func (s *session) setExchange(x inner.Exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.exchange = &x
	return true
}

// cancel asks the holder to cancel the running statement, if any.
func (s *session) cancel() {
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	s.mu.Lock()
	x := s.exchange
	s.mu.Unlock()
	if x != nil {
		_ = x.Send(inner.Frame{Kind: inner.KindCancel})
	}
}

// serveBatch answers one batch. An error ends the connection.
func (s *session) serveBatch(ctx context.Context, b *batch) error {
	if err := s.checkKey(ctx); err != nil {
		return err
	}
	switch {
	case s.skipping:
		return s.endSkipping()
	case b.refusal != nil:
		return s.refuse(b, b.refusal)
	case len(b.localMessages) > 0:
		return s.serveLocal(b)
	case b.empty() && s.pinnedServer == "":
		return s.conn.Write(caller.ReadyForQuery(s.status()))
	}
	return s.dispatch(ctx, b)
}

// endSkipping handles the Sync after a failed batch: the server of the open
// transaction answers it, or the proxy if no transaction is open.
func (s *session) endSkipping() error {
	s.skipping = false
	if s.pinnedServer != "" {
		return s.runInTransaction(syncBatch())
	}
	return s.conn.Write(caller.ReadyForQuery(s.status()))
}

// status returns the transaction status for ReadyForQuery.
func (s *session) status() byte {
	switch {
	case s.failed:
		return 'E'
	case s.pinnedServer != "" && s.inBlock:
		return 'T'
	}
	return 'I'
}

// refuse sends the caller an error which says that nothing of the batch was run.
// An open transaction is rolled back, as after any error.
func (s *session) refuse(b *batch, err error) error {
	var refusal *outcome.NotRun
	if !errors.As(err, &refusal) {
		refusal = outcome.Refuse(outcome.ReasonInvalidRequest, outcome.CodeProtocolViolation, "%v", err)
	}
	s.entry.counters.countRefused(refusal.Reason)
	s.abortTransaction()
	return s.sendError(b, refusal.Code, "not run: "+refusal.Detail)
}

// abortTransaction closes the exchange; an open transaction block counts as
// failed until the caller ends it.
func (s *session) abortTransaction() {
	if s.pinnedServer != "" && s.inBlock {
		s.failed = true
	}
	s.closeExchange()
	s.inBlock = false
}

// sendError sends the caller an error. After a batch that ended with a Flush the
// ReadyForQuery follows only at the Sync; messages up to there are discarded.
func (s *session) sendError(b *batch, code, detail string) error {
	out := caller.ErrorResponse("ERROR", code, "%s", detail)
	if b.lastType == 'H' {
		s.skipping = true
		return s.conn.Write(out)
	}
	return s.conn.Write(append(out, caller.ReadyForQuery(s.status())...))
}
