package holder

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// answer is what a batch came to.
type answer struct {
	// raw holds the messages that the caller has not got yet.
	raw []byte
	// status is that of the last ReadyForQuery, or 0 after a Flush.
	status byte
	// endQuerySent is set when the question for the state and the reset were sent
	// behind the batch.
	endQuerySent bool
	// sentAt is the moment at which the batch was sent.
	sentAt clock.Millis
}

// fatalError is an error with which the server ended the connection, so that
// the end of the transaction is not known.
type fatalError struct{ server *backend.ServerError }

// Error implements error.
func (e *fatalError) Error() string {
	return "the backend server ended the connection: " + e.server.Error()
}

// copyError is an answer that starts a COPY.
type copyError struct {
	// copyOut is set when the server goes on without the proxy, so that it may
	// commit what it runs.
	copyOut bool
}

// Error implements error.
func (e *copyError) Error() string { return "COPY is not supported" }

// exchangeBatch sends a batch and reads its answer. Long answers are sent on
// while they come.
func (t *transaction) exchangeBatch(batch inner.Batch) (*answer, error) {
	p := planBatch(batch, t.conn.Prepared)
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

func (t *transaction) readAnswer(p *plan, a *answer) error {
	buf := p.appendSynthetic(make([]byte, 0, 512))
	for len(p.expected) > 0 {
		start := len(buf)
		grown, m, err := t.conn.ReadMessage(t.owner, buf)
		if err != nil {
			return err
		}
		buf = grown
		if m.Type() == 'Z' {
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

// handleMessage settles one answer and reports whether the caller sees it.
func (t *transaction) handleMessage(p *plan, m pgwire.Message) (bool, error) {
	switch m.Type() {
	case 'S', 'A':
		return false, nil
	case 'N':
		return true, nil
	case 'E':
		if e := backend.ParseError(m); e.Fatal {
			return false, &fatalError{server: e}
		}
		unclean := p.skipToSync(t.conn.Prepared)
		t.conn.NeedsFullReset = t.conn.NeedsFullReset || unclean
		return true, nil
	case 'G', 'H', 'W':
		return false, &copyError{copyOut: m.Type() == 'H'}
	case 'T', 'n', 'D', 'I', 's':
		t.recordOutcome(m)
	case 'C':
		t.recordOutcome(m)
		t.checkTag(string(m.Body()))
	}
	return p.consume(m.Type()), nil
}

// checkTag watches for statements whose effects the ordinary reset leaves behind.
func (t *transaction) checkTag(tag string) {
	switch tag {
	case "PREPARE\x00", "DEALLOCATE\x00", "DEALLOCATE ALL\x00", "DISCARD ALL\x00":
		t.conn.NeedsFullReset = true
	}
}

// flushRows sends rows on once there are many. The end of an answer is kept back,
// since it may say that a commit has happened.
func (t *transaction) flushRows(buf []byte, kind byte) ([]byte, error) {
	if len(buf) < flushSize || kind != 'D' {
		return buf, nil
	}
	if err := t.exchange.Send(inner.Frame{Kind: inner.KindData, Body: buf}); err != nil {
		return nil, err
	}
	return make([]byte, 0, flushSize), nil
}
