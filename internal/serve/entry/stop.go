package entry

import (
	"context"
	"net"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/core/route"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/caller"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

const (
	// codeWithdrawn is invalid_authorization_specification.
	codeWithdrawn = "28000"
	// codeIdleTransaction is idle_in_transaction_session_timeout.
	codeIdleTransaction = "25P03"
	// codeIdle is idle_session_timeout.
	codeIdle = "57P05"
	// drainInterval is the pause between two checks for remaining callers, in
	// milliseconds.
	drainInterval = 10 * clock.Millis(1)
)

func refuseShutdown() *outcome.NotRun {
	return outcome.Refuse(outcome.ReasonLeaving, outcome.CodeShutdown, "the VM is stopping; connect again")
}

func refuseWithdrawn(account string) *outcome.NotRun {
	return outcome.Refuse(outcome.ReasonDenied, codeWithdrawn, "the key of client account %q has been withdrawn", account)
}

// hasValidKey reports whether the session's key is still in the configuration,
// which may be nil. It is always true for the anonymous user, who has no key.
func (s *session) hasValidKey(d *document.Document) bool {
	return s.account == route.AnonymousUser || d != nil && d.HasKey(s.account, s.key)
}

// checkKey refuses a batch of a caller whose key has been withdrawn. While no
// configuration is confirmed, the batch waits for up to confirmTimeout.
func (s *session) checkKey(ctx context.Context) error {
	if s.account == route.AnonymousUser {
		return nil
	}
	d, err := s.entry.document(ctx)
	if err != nil {
		return err
	}
	if s.hasValidKey(d) {
		s.keyCheckedAt = s.entry.options.Clock.Now()
		return nil
	}
	return refuseWithdrawn(s.account)
}

// maxKeyCheckAge is the longest time allowed between the check of a caller's key
// and the sending of its work to a holder, in milliseconds.
const maxKeyCheckAge = clock.Second

// assertKeyChecked reports an invariant violation when work is sent too long
// after the check of the key, as after a pause of the VM.
func (s *session) assertKeyChecked() {
	age := s.entry.options.Clock.Now() - s.keyCheckedAt
	invariant.Check(s.account == route.AnonymousUser || age <= maxKeyCheckAge, invariant.KeyWithdrawn,
		"work of client account %s is sent %d ms after its key was checked", s.account, age)
}

// CloseWithdrawnSessions closes the connections whose key is no longer in the
// configuration. What they run is rolled back.
func (e *Entry) CloseWithdrawnSessions(d *document.Document) {
	for _, s := range e.sessionList() {
		if !s.hasValidKey(d) {
			s.terminate(refuseWithdrawn(s.account))
		}
	}
}

func (e *Entry) sessionList() []*session {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]*session, 0, len(e.sessions))
	for _, s := range e.sessions {
		out = append(out, s)
	}
	return out
}

// setListener keeps the listener for Drain, and closes it if Drain was called
// already.
func (e *Entry) setListener(l net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener = l
	if e.draining {
		_ = l.Close()
	}
}

// Drain stops accepting callers and closes each connection as soon as it is
// idle outside a transaction. It returns once none is left. When the context
// ends first, it terminates the rest and returns the context's error.
func (e *Entry) Drain(ctx context.Context) error {
	e.mu.Lock()
	e.draining = true
	if e.listener != nil {
		_ = e.listener.Close()
	}
	e.mu.Unlock()
	for _, s := range e.sessionList() {
		s.endWhenIdle(refuseShutdown())
	}
	for len(e.sessionList()) > 0 {
		if err := e.options.Clock.Sleep(ctx, drainInterval); err != nil {
			e.terminateAll()
			return err
		}
	}
	return nil
}

func (e *Entry) terminateAll() {
	for _, s := range e.sessionList() {
		busy := s.terminate(refuseShutdown())
		invariant.Check(!busy, invariant.PlannedStop, "a planned stop cut a statement of client account %s", s.account)
	}
}

// endWhenIdle ends the session once it is idle outside a transaction.
func (s *session) endWhenIdle(reason *outcome.NotRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endReason = reason
	if s.idle {
		s.conn.Wake()
	}
}

// terminate ends the session and what it runs at once. It reports whether a
// statement was running.
func (s *session) terminate(reason *outcome.NotRun) bool {
	s.mu.Lock()
	x, busy := s.exchange, s.busy
	s.closed, s.endReason = true, reason
	s.mu.Unlock()
	s.conn.Interrupt()
	if x != nil {
		x.Close()
	}
	return busy
}

func (s *session) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
}

// waitForBatch waits until the next batch begins, without a timeout, or returns
// the reason if the session has to end. Within a transaction it returns at
// once, since reading has a timeout there.
func (s *session) waitForBatch() error {
	if s.pinnedServer != "" {
		return nil
	}
	if endReason := s.setIdle(true); endReason != nil {
		return endReason
	}
	err := s.conn.Wait()
	endReason := s.setIdle(false)
	if err != nil && endReason != nil {
		return endReason
	}
	return err
}

// setIdle sets whether the session is idle and returns its endReason, or nil.
func (s *session) setIdle(idle bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = idle
	// A nil *outcome.NotRun in an error would not compare equal to nil.
	if s.endReason == nil {
		return nil
	}
	return s.endReason
}

// readError converts an error from reading into a refusal if the caller can still
// get one.
func (s *session) readError(err error) error {
	var size *pgwire.SizeError
	var length *pgwire.LengthError
	if errors.As(err, &size) || errors.As(err, &length) {
		return outcome.Refuse(outcome.ReasonInvalidRequest, outcome.CodeProtocolViolation, "%v", err)
	}
	if !caller.IsTimeout(err) {
		return err
	}
	s.mu.Lock()
	reason := s.endReason
	s.mu.Unlock()
	switch {
	case reason != nil:
		return reason
	case s.pinnedServer != "":
		return outcome.Refuse(outcome.ReasonInvalidRequest, codeIdleTransaction, "the caller was silent within a transaction; it is rolled back")
	}
	return outcome.Refuse(outcome.ReasonInvalidRequest, codeIdle, "the caller was silent within a message or before its Sync")
}
