package holder

import (
	"bytes"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
)

// expectation is one answer that is due, in the order of the messages sent.
type expectation struct {
	// kind is the type of the message that was sent.
	kind byte
	// hidden is set for answers that the caller does not get.
	hidden bool
	// synthetic is an answer that the holder gives itself; the server sends
	// none.
	synthetic []byte
	// name is the prepared statement that the answer confirms.
	name string
	// evicts is set for the Close of a statement that made room for another.
	evicts bool
}

// plan holds the messages to send for a batch and the answers to expect.
type plan struct {
	out      []byte
	expected []expectation
	// describe adds a hidden Describe before each Execute, so that the holder
	// gets the row descriptions.
	describe bool
}

var (
	parseComplete = mustEncode(&pgproto3.ParseComplete{})
	closeComplete = mustEncode(&pgproto3.CloseComplete{})
	readyIdle     = mustEncode(&pgproto3.ReadyForQuery{TxStatus: statusIdle})
)

func mustEncode(m interface{ Encode([]byte) ([]byte, error) }) []byte {
	encoded, err := m.Encode(nil)
	if err != nil {
		panic(err)
	}
	return encoded
}

// allowedMessages are the types that may reach a backend server: Parse, Bind,
// Describe, Execute, Close, Flush, Sync and Query.
var allowedMessages = []byte("PBDECHSQ")

const (
	// spareBytes is the capacity reserved for messages that the holder adds to
	// a batch.
	spareBytes = 512
	// expectationCapacity is the number of answers to an ordinary batch.
	expectationCapacity = 8
)

// planBatch plans a batch: it prepares the statements that the connection lacks
// and omits the Parse of those that it has.
func planBatch(batch inner.Batch, statements *backend.StatementCache) *plan {
	return newPlan(batch, statements, false)
}

// newPlan is planBatch with the choice to describe each statement's rows.
func newPlan(batch inner.Batch, statements *backend.StatementCache, describe bool) *plan {
	p := &plan{describe: describe, out: make([]byte, 0, len(batch.Raw)+spareBytes), expected: make([]expectation, 0, expectationCapacity)}
	parses := map[string][]byte{}
	for _, n := range batch.Statements {
		parses[n.Name] = n.Parse
	}
	rest := batch.Raw
	var m pgwire.Message
	for {
		m, rest = pgwire.SplitMessage(rest)
		if m == nil {
			return p
		}
		invariant.Check(bytes.IndexByte(allowedMessages, m.Type()) >= 0, invariant.NoKeys, "a message of type %q would reach a backend server", m.Type())
		p.add(m, parses, statements)
	}
}

// add plans one message of the batch. parses are the Parse messages, by name,
// of the statements that the batch refers to.
func (p *plan) add(m pgwire.Message, parses map[string][]byte, statements *backend.StatementCache) {
	body := m.Body()
	switch m.Type() {
	case 'P': // Parse
		name, _ := cutString(body)
		p.prepare(m, name, statements, false)
		if name == "" {
			// An earlier Parse of it must not be sent after this one.
			delete(parses, "")
		}
	case 'B': // Bind
		_, after := cutString(body)
		name, _ := cutString(after)
		p.ensurePrepared(name, parses, statements)
		p.forward(m, expectation{kind: 'B'})
	case 'D': // Describe
		if len(body) > 0 && body[0] == 'S' {
			name, _ := cutString(body[1:])
			p.ensurePrepared(name, parses, statements)
		}
		p.forward(m, expectation{kind: 'D'})
	case 'C': // Close
		name, _ := cutString(body[min(1, len(body)):])
		if len(body) > 0 && body[0] == 'S' && name != "" {
			// Other callers share the named statement, so it stays prepared.
			p.expected = append(p.expected, expectation{kind: 'C', synthetic: closeComplete})
			return
		}
		p.forward(m, expectation{kind: 'C'})
	case 'E': // Execute
		if p.describe {
			portal, _ := cutString(body)
			p.forward(mustEncode(&pgproto3.Describe{ObjectType: 'P', Name: portal}), expectation{kind: 'D', hidden: true})
		}
		p.forward(m, expectation{kind: 'E'})
	case 'H': // Flush, which has no answer
		p.out = append(p.out, m...)
	default: // Sync or Query
		p.forward(m, expectation{kind: m.Type()})
	}
}

// prependQuery puts a simple query of the holder before the batch.
func (p *plan) prependQuery(sql string) {
	p.out = append(backend.QueryMessage(sql), p.out...)
	p.expected = append([]expectation{{kind: 'Q', hidden: true}}, p.expected...)
}

// forward adds a message to send and the answer to expect.
func (p *plan) forward(m []byte, e expectation) {
	p.out = append(p.out, m...)
	p.expected = append(p.expected, e)
}

// ensurePrepared prepares a statement that the batch refers to unless the
// connection has it.
func (p *plan) ensurePrepared(name string, parses map[string][]byte, statements *backend.StatementCache) {
	parse, ok := parses[name]
	if !ok {
		return
	}
	delete(parses, name)
	if name != "" && statements.Has(name) {
		return
	}
	p.prepare(parse, name, statements, true)
}

// prepare adds a Parse, or its synthetic answer when the connection already has
// the statement. hidden is set for a Parse that the caller did not send.
func (p *plan) prepare(m []byte, name string, statements *backend.StatementCache, hidden bool) {
	if name == "" {
		p.forward(m, expectation{kind: 'P', hidden: hidden})
		return
	}
	if statements.Has(name) {
		if !hidden {
			p.expected = append(p.expected, expectation{kind: 'P', synthetic: parseComplete})
		}
		return
	}
	for _, old := range statements.Add(name) {
		p.forward(mustEncode(&pgproto3.Close{ObjectType: 'S', Name: old}), expectation{kind: 'C', hidden: true, evicts: true})
	}
	p.forward(m, expectation{kind: 'P', hidden: hidden, name: name})
}

// cutString splits b after its first zero-terminated string.
func cutString(b []byte) (string, []byte) {
	i := bytes.IndexByte(b, 0)
	if i < 0 {
		return string(b), nil
	}
	return string(b[:i]), b[i+1:]
}

// ends reports whether an answer of the given type completes the expectation.
func (e expectation) ends(answer byte) bool {
	switch e.kind {
	case 'P':
		return answer == '1' // ParseComplete
	case 'B':
		return answer == '2' // BindComplete
	case 'C':
		return answer == '3' // CloseComplete
	case 'D':
		return answer == 'T' || answer == 'n' // RowDescription, NoData
	case 'E':
		return answer == 'C' || answer == 'I' || answer == 's' // CommandComplete, EmptyQueryResponse, PortalSuspended
	}
	return answer == 'Z' // ReadyForQuery
}

// appendSynthetic appends the synthetic answers that are due before the
// server's next one.
func (p *plan) appendSynthetic(buf []byte) []byte {
	for len(p.expected) > 0 && p.expected[0].synthetic != nil {
		buf = append(buf, p.expected[0].synthetic...)
		p.expected = p.expected[1:]
	}
	return buf
}

// consume matches an answer of the server and reports whether the caller gets
// it.
func (p *plan) consume(answer byte) (visible bool) {
	if len(p.expected) == 0 {
		return true
	}
	e := p.expected[0]
	if e.ends(answer) {
		p.expected = p.expected[1:]
	}
	return !e.hidden
}

// skipToSync drops the expected answers that the server does not send because it
// skips messages after an error, and removes the statements that it did not
// prepare. It reports whether the Close of an evicted statement was skipped,
// which leaves an untracked statement on the connection.
func (p *plan) skipToSync(statements *backend.StatementCache) (unclean bool) {
	for len(p.expected) > 0 {
		e := p.expected[0]
		if e.kind == 'S' || e.kind == 'Q' {
			return unclean
		}
		if e.name != "" {
			statements.Remove(e.name)
		}
		unclean = unclean || e.evicts
		p.expected = p.expected[1:]
	}
	return unclean
}
