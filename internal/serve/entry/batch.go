package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"regexp"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/core/route"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
)

const (
	// maxBatch is the largest batch in bytes.
	maxBatch = 64 << 20
	// maxStatements is the number of prepared statements of one caller.
	maxStatements = 4096
)

// statement is a prepared statement of a caller. On servers it goes by a name
// made from its text, so that callers who prepare the same share it.
type statement struct {
	sql  string
	name string
	// parse makes the statement on a server.
	parse []byte
	hint  route.Hint
}

// batch is a run of messages up to a Sync, a Flush or a simple Query.
type batch struct {
	out   inner.Batch
	hint  route.Hint
	query string
	sqls  []string
	// end is the type of the last message.
	end byte
	// executes is set when the batch runs something.
	executes bool
	refusal  *outcome.NotRun
	kinds    []byte
}

func (b *batch) empty() bool { return len(b.kinds) == 0 }

func (b *batch) firstSQL() string {
	if len(b.sqls) == 0 {
		return ""
	}
	return b.sqls[0]
}

// readBatch reads messages until one that asks for an answer.
func (s *session) readBatch() (*batch, error) {
	if s.pinned == "" {
		if err := s.conn.Wait(); err != nil {
			return nil, err
		}
	}
	b := &batch{}
	var buf []byte
	for {
		grown, m, err := s.conn.Read(buf[:0], s.patience(b))
		if err != nil {
			return nil, protocolError(err)
		}
		buf = grown
		if len(b.out.Raw)+len(m) > maxBatch {
			return nil, outcome.Refuse(outcome.ReasonRequest, outcome.CodeProtocol, "more than %d bytes without a Sync", maxBatch)
		}
		done, err := s.addMessage(b, m)
		if err != nil || done {
			return b, err
		}
	}
}

// addMessage takes one message into the batch and reports whether it ends it.
func (s *session) addMessage(b *batch, m pgwire.Message) (bool, error) {
	switch m.Type() {
	case 'Q':
		return true, s.addQuery(b, m)
	case 'S':
		b.end = 'S'
		b.out.Raw = append(b.out.Raw, m...)
		return true, nil
	case 'H':
		b.end = 'H'
		b.out.Raw = append(b.out.Raw, m...)
		return !b.empty(), nil
	case 'X':
		return true, errTerminated
	case 'd', 'c', 'f':
		return false, nil
	}
	if s.skipping {
		return false, nil
	}
	return false, s.addExtended(b, m)
}

var errTerminated = &terminated{}

type terminated struct{}

// Error implements error.
func (*terminated) Error() string { return "the caller has left" }

func (s *session) addQuery(b *batch, m pgwire.Message) error {
	var q pgproto3.Query
	if err := q.Decode(m.Body()); err != nil {
		return malformed(err)
	}
	b.end, b.query, b.executes = 'Q', q.String, true
	b.kinds = append(b.kinds, 'Q')
	s.note(b, q.String, route.Parse(q.String))
	b.out.Raw = append(b.out.Raw, m...)
	return nil
}

func malformed(err error) error {
	return outcome.Refuse(outcome.ReasonRequest, outcome.CodeProtocol, "malformed message: %v", err)
}

// note takes a statement's own account of itself into the batch.
func (s *session) note(b *batch, sql string, h route.Hint) {
	b.sqls = append(b.sqls, sql)
	if b.hint.Route != "" && h.Route != "" && h.Route != b.hint.Route {
		b.refusal = outcome.Refuse(outcome.ReasonRoute, outcome.CodeParameter, "one batch names routes %q and %q", b.hint.Route, h.Route)
	}
	b.hint = b.hint.With(h)
	if copyPattern.MatchString(sql) {
		b.refusal = outcome.Refuse(outcome.ReasonRequest, outcome.CodeUnsupported, "COPY is not supported")
	}
}

var copyPattern = regexp.MustCompile(`(?is)^(?:\s|/\*.*?\*/|--[^\n]*\n)*COPY\b`)

func (s *session) addExtended(b *batch, m pgwire.Message) error {
	b.kinds = append(b.kinds, m.Type())
	switch m.Type() {
	case 'P':
		return s.addParse(b, m)
	case 'B':
		return s.addBind(b, m)
	case 'D', 'C':
		return s.addNamed(b, m)
	case 'E':
		b.executes = true
		b.out.Raw = append(b.out.Raw, m...)
		return nil
	}
	return outcome.Refuse(outcome.ReasonRequest, outcome.CodeProtocol, "unexpected message %q", m.Type())
}

func (s *session) addParse(b *batch, m pgwire.Message) error {
	var p pgproto3.Parse
	if err := p.Decode(m.Body()); err != nil {
		return malformed(err)
	}
	st, err := newStatement(p)
	if err != nil {
		return malformed(err)
	}
	if s.statements == nil {
		s.statements = map[string]*statement{}
	}
	if len(s.statements) >= maxStatements && s.statements[p.Name] == nil {
		return outcome.Refuse(outcome.ReasonCrowded, outcome.CodeCrowded, "the caller has %d prepared statements", maxStatements)
	}
	s.statements[p.Name] = st
	s.note(b, st.sql, st.hint)
	b.out.Raw = append(b.out.Raw, st.parse...)
	return nil
}

// newStatement gives a statement its name on servers. The unnamed statement
// keeps its empty name.
func newStatement(p pgproto3.Parse) (*statement, error) {
	st := &statement{sql: strings.Clone(p.Query)}
	st.hint = route.Parse(st.sql)
	if p.Name != "" {
		p.Name = ""
		text, err := p.Encode(nil)
		if err != nil {
			return nil, err
		}
		sum := sha256.Sum256(text)
		st.name = "s" + hex.EncodeToString(sum[:16])
		p.Name = st.name
	}
	text, err := p.Encode(nil)
	st.parse = text
	return st, err
}

func (s *session) addBind(b *batch, m pgwire.Message) error {
	portal, rest, ok := cutString(m.Body())
	if !ok {
		return malformed(errNoString)
	}
	name, rest, ok := cutString(rest)
	if !ok {
		return malformed(errNoString)
	}
	st := s.statements[name]
	if st == nil {
		b.out.Raw = append(b.out.Raw, m...)
		return nil
	}
	s.useStatement(b, st)
	b.out.Raw = appendMessage(b.out.Raw, 'B', []byte(portal+"\x00"+st.name+"\x00"), rest)
	return nil
}

// useStatement has the holder prepare a statement if the connection lacks it.
func (s *session) useStatement(b *batch, st *statement) {
	s.note(b, st.sql, st.hint)
	for _, n := range b.out.Needs {
		if n.Name == st.name {
			return
		}
	}
	b.out.Needs = append(b.out.Needs, inner.Need{Name: st.name, Parse: st.parse})
}

// addNamed takes in a Describe or a Close.
func (s *session) addNamed(b *batch, m pgwire.Message) error {
	body := m.Body()
	if len(body) == 0 {
		return malformed(errNoString)
	}
	name, _, ok := cutString(body[1:])
	if !ok {
		return malformed(errNoString)
	}
	st := s.statements[name]
	if body[0] != 'S' || st == nil {
		b.out.Raw = append(b.out.Raw, m...)
		return nil
	}
	if m.Type() == 'D' {
		s.useStatement(b, st)
	} else {
		delete(s.statements, name)
	}
	b.out.Raw = appendMessage(b.out.Raw, m.Type(), []byte("S"+st.name+"\x00"), nil)
	return nil
}

var errNoString = &stringError{}

type stringError struct{}

// Error implements error.
func (*stringError) Error() string { return "a name has no end" }

func cutString(b []byte) (string, []byte, bool) {
	for i, c := range b {
		if c == 0 {
			return string(b[:i]), b[i+1:], true
		}
	}
	return "", nil, false
}

func appendMessage(buf []byte, kind byte, first, second []byte) []byte {
	size := len(first) + len(second) + 4
	buf = append(buf, kind, byte(size>>24), byte(size>>16), byte(size>>8), byte(size))
	buf = append(buf, first...)
	return append(buf, second...)
}
