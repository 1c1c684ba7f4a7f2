package holder

import (
	"bytes"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
)

// expectation is one answer that the server owes, in order.
type expectation struct {
	// kind is the type of the message that was sent.
	kind byte
	// hidden answers are for the holder alone.
	hidden bool
	// synthetic answers come from the holder, not from the server.
	synthetic []byte
	// name is the prepared statement that the answer brings into being.
	name string
	// evicts is set when the answer ends a statement that made room for another.
	evicts bool
}

// plan is what is sent for a batch and what is expected back.
type plan struct {
	out      []byte
	expected []expectation
	// describe has the rows of each statement described to the holder.
	describe bool
}

var (
	parseComplete = mustEncode(&pgproto3.ParseComplete{})
	closeComplete = mustEncode(&pgproto3.CloseComplete{})
	readyIdle     = mustEncode(&pgproto3.ReadyForQuery{TxStatus: statusIdle})
)

func mustEncode(m interface{ Encode([]byte) ([]byte, error) }) []byte {
	text, err := m.Encode(nil)
	if err != nil {
		panic(err)
	}
	return text
}

// allowedMessages are the types that a caller's batch may bring to a server.
var allowedMessages = []byte("PBDECHSQ")

// planBatch adds the prepared statements that the connection lacks to a batch,
// and leaves out those that it has.
const (
	// spareBytes is room for what the holder adds to a batch.
	spareBytes = 512
	// spareExpectations is room for the answers of an ordinary batch.
	spareExpectations = 8
)

func planBatch(batch inner.Batch, statements *backend.StatementCache) *plan {
	return newPlan(batch, statements, false)
}

func newPlan(batch inner.Batch, statements *backend.StatementCache, describe bool) *plan {
	p := &plan{describe: describe, out: make([]byte, 0, len(batch.Raw)+spareBytes), expected: make([]expectation, 0, spareExpectations)}
	needs := map[string][]byte{}
	for _, n := range batch.Prepared {
		needs[n.Name] = n.Parse
	}
	rest := batch.Raw
	var m pgwire.Message
	for {
		m, rest = pgwire.SplitMessage(rest)
		if m == nil {
			return p
		}
		invariant.Check(bytes.IndexByte(allowedMessages, m.Type()) >= 0, invariant.NoKeys, "a message of type %q would reach a backend server", m.Type())
		p.add(m, needs, statements)
	}
}

func (p *plan) add(m pgwire.Message, needs map[string][]byte, statements *backend.StatementCache) {
	body := m.Body()
	switch m.Type() {
	case 'P':
		name, _ := cutString(body)
		p.prepare(m, name, statements, false)
		if name == "" {
			delete(needs, "")
		}
	case 'B':
		_, after := cutString(body)
		name, _ := cutString(after)
		p.ensurePrepared(name, needs, statements)
		p.forward(m, expectation{kind: 'B'})
	case 'D':
		if len(body) > 0 && body[0] == 'S' {
			name, _ := cutString(body[1:])
			p.ensurePrepared(name, needs, statements)
		}
		p.forward(m, expectation{kind: 'D'})
	case 'C':
		name, _ := cutString(body[min(1, len(body)):])
		if len(body) > 0 && body[0] == 'S' && name != "" {
			p.expected = append(p.expected, expectation{kind: 'C', synthetic: closeComplete})
			return
		}
		p.forward(m, expectation{kind: 'C'})
	case 'E':
		if p.describe {
			portal, _ := cutString(body)
			p.forward(mustEncode(&pgproto3.Describe{ObjectType: 'P', Name: portal}), expectation{kind: 'D', hidden: true})
		}
		p.forward(m, expectation{kind: 'E'})
	case 'H':
		p.out = append(p.out, m...)
	default:
		p.forward(m, expectation{kind: m.Type()})
	}
}

// prependQuery puts a simple query of the holder's own before the batch.
func (p *plan) prependQuery(sql string) {
	p.out = append(backend.QueryMessage(sql), p.out...)
	p.expected = append([]expectation{{kind: 'Q', hidden: true}}, p.expected...)
}

func (p *plan) forward(m []byte, e expectation) {
	p.out = append(p.out, m...)
	p.expected = append(p.expected, e)
}

// ensurePrepared prepares a statement that the batch refers to, unless the connection has it.
func (p *plan) ensurePrepared(name string, needs map[string][]byte, statements *backend.StatementCache) {
	text, ok := needs[name]
	if !ok {
		return
	}
	delete(needs, name)
	if name != "" && statements.Has(name) {
		return
	}
	p.prepare(text, name, statements, true)
}

// prepare sends a Parse, or answers it itself when the connection has the
// statement already.
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

func cutString(b []byte) (string, []byte) {
	i := bytes.IndexByte(b, 0)
	if i < 0 {
		return string(b), nil
	}
	return string(b[:i]), b[i+1:]
}

// ends reports whether an answer of the given type ends the expectation.
func (e expectation) ends(answer byte) bool {
	switch e.kind {
	case 'P':
		return answer == '1'
	case 'B':
		return answer == '2'
	case 'C':
		return answer == '3'
	case 'D':
		return answer == 'T' || answer == 'n'
	case 'E':
		return answer == 'C' || answer == 'I' || answer == 's'
	}
	return answer == 'Z'
}

// appendSynthetic appends the answers that the holder gives itself up to the next one that
// the server owes.
func (p *plan) appendSynthetic(buf []byte) []byte {
	for len(p.expected) > 0 && p.expected[0].synthetic != nil {
		buf = append(buf, p.expected[0].synthetic...)
		p.expected = p.expected[1:]
	}
	return buf
}

// consume settles an answer of the server and reports whether the caller sees it.
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

// skipToSync drops what the server skips after an error, and forgets the statements
// that it did not prepare. It reports whether the connection has statements
// that are not remembered, because their Close was skipped.
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
