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

// session is one connected caller.
type session struct {
	entry    *Entry
	conn     *caller.Conn
	database string
	account  string
	key      string
	// checked is the moment at which the key was last found to work.
	checked clock.Millis
	process uint32
	secret  []byte

	hint       route.Hint
	floor      floor.ReplicationPosition
	statements map[string]*statement
	// prepared is the size of the statements in bytes.
	prepared int
	// portals holds the portals of commands that the proxy carries out itself.
	portals map[string]*statement
	// held is the memory in bytes that the batch has taken from Entry.held.
	held int
	// pending is a message that was read and begins the next batch.
	pending pgwire.Message
	// pinned is the server of an open transaction.
	pinned string
	// block is set within a transaction block, as opposed to a transaction that
	// ends with the batch.
	block bool
	write bool
	// name is the named session that the transaction belongs to, if any.
	name string
	// failed is set when an open transaction was lost and the caller has not
	// ended it yet.
	failed bool
	// skipping is set after an error until the caller's Sync.
	skipping bool

	// canceling keeps a cancel from reaching the next user of a released stream.
	canceling sync.Mutex

	mu      sync.Mutex
	running *inner.Exchange
	// waiting is set while the session is idle outside a transaction, and busy
	// while it serves a batch.
	waiting bool
	busy    bool
	// ending is set once the session is to end, and says why.
	ending *outcome.NotRun
	closed bool
}

func (s *session) startupHint(name, value string) error {
	field, ours := strings.CutPrefix(name, hintPrefix)
	if !ours {
		return nil
	}
	return s.setHint(field, value)
}

func (s *session) setHint(field, value string) error {
	h, ok := s.hint.WithField(field, value)
	if !ok {
		return outcome.Refuse(outcome.ReasonInvalidRequest, outcome.CodeInvalidParameter, "%s%s cannot be set to a value of %d bytes", hintPrefix, field, len(value))
	}
	s.hint = h
	if field != "token" || value == "" {
		return nil
	}
	m, err := parseToken(s.database, value)
	if err != nil {
		return outcome.Refuse(outcome.ReasonInvalidRequest, outcome.CodeInvalidParameter, "%s%s: %v", hintPrefix, field, err)
	}
	s.floor = s.floor.Max(m)
	return nil
}

// run serves the caller until it leaves.
func (s *session) run(ctx context.Context) {
	defer s.drop()
	for {
		b, err := s.readBatch()
		if err == nil {
			s.setBusy(true)
			err = s.serveBatch(ctx, b)
			s.setBusy(false)
		}
		_ = s.hold(0)
		if err != nil {
			s.bid(err)
			return
		}
	}
}

// bid tells the caller why its connection ends, if it can still be told.
func (s *session) bid(err error) {
	var refusal *outcome.NotRun
	if !errors.As(err, &refusal) {
		return
	}
	s.entry.counters.refused(refusal.Reason)
	_ = s.conn.Write(caller.ErrorMessage("FATAL", refusal.Code, "%s", refusal.Detail))
}

// drop ends an open transaction; the holder rolls it back.
func (s *session) drop() {
	if x := s.take(); x != nil {
		x.Close()
	}
}

// release gives up the exchange of a transaction that has ended.
func (s *session) release() {
	s.canceling.Lock()
	defer s.canceling.Unlock()
	if x := s.take(); x != nil {
		x.Release()
	}
}

// take returns the exchange of the session, which has none any more.
func (s *session) take() *inner.Exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.running
	s.running, s.pinned = nil, ""
	return x
}

// start makes x the exchange of the session, unless the session was cut.
func (s *session) start(x inner.Exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.running = &x
	return true
}

func (s *session) cancel() {
	s.canceling.Lock()
	defer s.canceling.Unlock()
	s.mu.Lock()
	x := s.running
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
		return s.skip()
	case b.refusal != nil:
		return s.refuse(b, b.refusal)
	case len(b.steps) > 0:
		return s.serveLocal(b)
	case b.empty() && s.pinned == "":
		return s.conn.Write(caller.Ready(s.status()))
	}
	return s.dispatch(ctx, b)
}

// skip ends a failed batch at its Sync, on the server too when it has one.
func (s *session) skip() error {
	s.skipping = false
	if s.pinned != "" {
		return s.goOn(syncBatch())
	}
	return s.conn.Write(caller.Ready(s.status()))
}

func (s *session) status() byte {
	switch {
	case s.failed:
		return 'E'
	case s.pinned != "" && s.block:
		return 'T'
	}
	return 'I'
}

// refuse answers that nothing of the batch was run. An open transaction is
// rolled back, as after any error.
func (s *session) refuse(b *batch, err error) error {
	var refusal *outcome.NotRun
	if !errors.As(err, &refusal) {
		refusal = outcome.Refuse(outcome.ReasonInvalidRequest, outcome.CodeProtocolViolation, "%v", err)
	}
	s.entry.counters.refused(refusal.Reason)
	s.loseTransaction()
	return s.fail(b, refusal.Code, "not run: "+refusal.Detail)
}

// loseTransaction gives up the exchange; a transaction that was open counts as
// failed until the caller ends it.
func (s *session) loseTransaction() {
	if s.pinned != "" && s.block {
		s.failed = true
	}
	s.drop()
	s.block = false
}

func (s *session) fail(b *batch, code, detail string) error {
	out := caller.ErrorMessage("ERROR", code, "%s", detail)
	if b.end == 'H' {
		s.skipping = true
		return s.conn.Write(out)
	}
	return s.conn.Write(append(out, caller.Ready(s.status())...))
}
