package holder

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// answer is the result of a batch.
type answer struct {
	// raw holds the messages that were not yet sent to the caller.
	raw []byte
	// status is the transaction status of the last ReadyForQuery, or 0 after a
	// Flush.
	status byte
	// endQuerySent is set when Holder.endMessages were sent right after the
	// batch.
	endQuerySent bool
	// sentAt is the time at which the batch was sent.
	sentAt clock.Millis
}

// fatalError is an error with which the server closed the connection, so the
// outcome of the transaction is unknown.
type fatalError struct{ server *backend.ServerError }

// Error implements error.
func (e *fatalError) Error() string {
	return "the backend server ended the connection: " + e.server.Error()
}

// copyError means that a statement started a COPY.
type copyError struct {
	// copyOut is set for a COPY to the caller. The server goes on without
	// further messages, so it may commit the statement.
	copyOut bool
}

// Error implements error.
func (e *copyError) Error() string { return "COPY is not supported" }

// exchangeBatch sends a batch and reads its answer. It sends rows of a long
// answer to the caller while it reads. The first batch of a read is preceded by
// readOnlyQuery. A first batch that is one whole transaction is followed by
// Holder.endMessages in the same write, which saves a round trip. A statement's
// own error is part of the answer; the returned error is a *fatalError, a
// *copyError, an *outcome.Unknown, or one of the connection or the exchange.
func (t *transaction) exchangeBatch(batch inner.Batch) (*answer, error) {
	p := planBatch(batch, t.conn.Statements)
	a := &answer{endQuerySent: !t.sent && shapeOf(batch) == shapeSingle, sentAt: t.holder.options.Clock.Now()}
	if !t.sent && t.begin.Kind == document.KindRead {
		p.prependQuery(readOnlyQuery)
	}
	if a.endQuerySent {
		p.out = append(p.out, t.holder.endMessages...)
	}
	t.sent, t.batchSent = true, true
	if err := t.conn.Write(t.owner, p.out); err != nil {
		return nil, err
	}
	if err := t.readAnswer(p, a); err != nil {
		return nil, err
	}
	if a.endQuerySent && a.status != statusIdle {
		return nil, &outcome.Unknown{Detail: "the transaction did not end with its statement"}
	}
	return a, nil
}

// readAnswer reads until the plan expects no more answers, and stores the
// messages for the caller in a.
func (t *transaction) readAnswer(p *plan, a *answer) error {
	buf := p.appendSynthetic(make([]byte, 0, 512))
	for len(p.expected) > 0 {
		start := len(buf)
		grown, m, err := t.conn.ReadMessage(t.owner, buf)
		if err != nil {
			return err
		}
		buf = grown
		if m.Type() == 'Z' { // ReadyForQuery
			a.status = m.Body()[0]
		}
		kind := m.Type()
		visible, err := t.handleMessage(p, m)
		if err != nil {
			return err
		}
		if !visible {
			buf = buf[:start]
		}
		buf = p.appendSynthetic(buf)
		if buf, err = t.flushRows(buf, kind); err != nil {
			return err
		}
	}
	a.raw = buf
	return nil
}

// handleMessage matches a message of the server to the plan and reports whether
// the caller gets it.
func (t *transaction) handleMessage(p *plan, m pgwire.Message) (bool, error) {
	switch m.Type() {
	case 'S', 'A': // ParameterStatus, NotificationResponse
		return false, nil
	case 'N': // NoticeResponse
		return true, nil
	case 'E': // ErrorResponse
		if e := backend.ParseError(m); e.Fatal {
			return false, &fatalError{server: e}
		}
		needsFullReset := p.skipToSync(t.conn.Statements)
		t.conn.NeedsFullReset = t.conn.NeedsFullReset || needsFullReset
		return true, nil
	case 'G', 'H', 'W': // CopyInResponse, CopyOutResponse, CopyBothResponse
		return false, &copyError{copyOut: m.Type() == 'H'}
	case 'T', 'n', 'D', 'I', 's': // RowDescription, NoData, DataRow, EmptyQueryResponse, PortalSuspended
		t.recordOutcome(m)
	case 'C': // CommandComplete
		t.recordOutcome(m)
		t.checkTag(string(m.Body()))
	}
	return p.consume(m.Type()), nil
}

// checkTag requests a full reset of the connection after a statement that
// created or dropped prepared statements: resetQuery does not undo that, and
// Conn.Statements does not show it.
func (t *transaction) checkTag(tag string) {
	switch tag {
	case "PREPARE\x00", "DEALLOCATE\x00", "DEALLOCATE ALL\x00", "DISCARD ALL\x00":
		t.conn.NeedsFullReset = true
	}
}

// flushRows sends the buffered messages to the caller once they reach
// flushSize bytes, and returns the buffer for the next ones. kind is the type of
// the last message. It flushes only after a row: the end of an answer may report
// a commit, which must first be verified.
func (t *transaction) flushRows(buf []byte, kind byte) ([]byte, error) {
	if len(buf) < flushSize || kind != 'D' {
		return buf, nil
	}
	if err := t.exchange.Send(inner.Frame{Kind: inner.KindData, Body: buf}); err != nil {
		return nil, err
	}
	return make([]byte, 0, flushSize), nil
}
