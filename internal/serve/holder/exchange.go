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
	// settled is set when the question for the state and the reset were sent
	// behind the batch.
	settled bool
	// asked is the moment at which the batch was sent.
	asked clock.Millis
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
	// running is set when the server goes on without the proxy, so that it may
	// commit what it runs.
	running bool
}

// Error implements error.
func (e *copyError) Error() string { return "COPY is not supported" }

// exchangeBatch sends a batch and reads its answer. Long answers are sent on
// while they come.
func (t *transaction) exchangeBatch(batch inner.Batch) (*answer, error) {
	p := planBatch(batch, t.conn.Prepared)
	a := &answer{settled: !t.sent && shapeOf(batch) == shapeSingle, asked: t.holder.options.Clock.Now()}
	if !t.sent && t.begin.Kind == document.KindRead {
		p.prefix(readOnlyQuery)
	}
	if a.settled {
		p.out = append(p.out, t.holder.settling...)
	}
	t.sent, t.reached = true, true
	if err := t.conn.Write(t.owner, p.out); err != nil {
		return nil, err
	}
	if err := t.readAnswer(p, a); err != nil {
		return nil, err
	}
	if a.settled && a.status != statusIdle {
		return nil, &outcome.Unknown{Detail: "the transaction did not end with its statement"}
	}
	return a, nil
}

func (t *transaction) readAnswer(p *plan, a *answer) error {
	buf := p.made(make([]byte, 0, 512))
	for len(p.expects) > 0 {
		start := len(buf)
		grown, m, err := t.conn.Append(t.owner, buf)
		if err != nil {
			return err
		}
		buf = grown
		if m.Type() == 'Z' {
			a.status = m.Body()[0]
		}
		kind := m.Type()
		visible, err := t.keep(p, m)
		if err != nil {
			return err
		}
		if !visible {
			buf = buf[:start]
		}
		buf = p.made(buf)
		if buf, err = t.flush(buf, kind); err != nil {
			return err
		}
	}
	a.raw = buf
	return nil
}

// keep settles one answer and reports whether the caller sees it.
func (t *transaction) keep(p *plan, m pgwire.Message) (bool, error) {
	switch m.Type() {
	case 'S', 'A':
		return false, nil
	case 'N':
		return true, nil
	case 'E':
		if e := backend.ErrorOf(m); e.Fatal {
			return false, &fatalError{server: e}
		}
		unclean := p.fail(t.conn.Prepared)
		t.conn.Dirty = t.conn.Dirty || unclean
		return true, nil
	case 'G', 'H', 'W':
		return false, &copyError{running: m.Type() == 'H'}
	case 'T', 'n', 'D', 'I', 's':
		t.record(m)
	case 'C':
		t.record(m)
		t.noteTag(string(m.Body()))
	}
	return p.take(m.Type()), nil
}

// noteTag watches for statements whose effects the ordinary reset leaves behind.
func (t *transaction) noteTag(tag string) {
	switch tag {
	case "PREPARE\x00", "DEALLOCATE\x00", "DEALLOCATE ALL\x00", "DISCARD ALL\x00":
		t.conn.Dirty = true
	}
}

// flush sends rows on once there are many. The end of an answer is kept back,
// since it may say that a commit has happened.
func (t *transaction) flush(buf []byte, kind byte) ([]byte, error) {
	if len(buf) < flushSize || kind != 'D' {
		return buf, nil
	}
	if err := t.x.Send(inner.Frame{Kind: inner.KindData, Body: buf}); err != nil {
		return nil, err
	}
	return make([]byte, 0, flushSize), nil
}
