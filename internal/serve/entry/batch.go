package entry

import (
	"bytes"
	"regexp"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/core/route"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
)

const (
	// maxBatchSize is the largest batch in bytes.
	maxBatchSize = 32 << 20
	// maxPreparedSize is the largest size of one caller's prepared statements
	// in bytes.
	maxPreparedSize = 4 << 20
	// countedBatchSize is the size in bytes from which a batch counts towards
	// maxBatchMemory.
	countedBatchSize = 64 << 10
	// maxBatchMemory is the largest total size of all callers' counted batches in
	// bytes.
	maxBatchMemory = 128 << 20
	// maxPreparedStatements is the largest number of one caller's prepared
	// statements.
	maxPreparedStatements = 4096
)

// batch is a run of extended query messages up to a Sync or a Flush, or a single
// simple Query or function call. Either a server answers all of it or the proxy
// does; a run that mixes the two is split into batches, as if the caller had sent
// a Flush in between.
type batch struct {
	// out holds the messages for a server and the statements that they refer to.
	out inner.Batch
	// sqls holds the texts of the statements for a server, and hint the merge of
	// their hints.
	hint route.Hint
	sqls []string
	// lastType is the type of the last message: 'S', 'H' or 'Q'. A function call
	// counts as 'Q'.
	lastType byte
	// refusal is set if the whole batch is refused.
	refusal *outcome.NotRun
	// preparedSize is the size of the statements in out.Statements in bytes.
	preparedSize int
	// forwardedCount is the number of messages for a server, without Sync and
	// Flush.
	forwardedCount int
	// localMessages are the messages that the proxy answers.
	localMessages []localMessage
}

// empty reports whether the batch has nothing but, possibly, a Sync.
func (b *batch) empty() bool {
	return b.forwardedCount == 0 && len(b.localMessages) == 0 && b.refusal == nil
}

// mayBeginBlock reports whether the batch may open a transaction block.
func (b *batch) mayBeginBlock() bool {
	return slices.ContainsFunc(b.sqls, beginPattern.MatchString)
}

// size returns the size in bytes that counts towards maxBatchSize and maxBatchMemory.
func (b *batch) size() int { return len(b.out.Raw) + b.preparedSize }

// syncBatch returns a batch of a single Sync.
func syncBatch() *batch {
	b := &batch{lastType: 'S'}
	b.out.Raw = appendMessage(nil, 'S', nil, nil)
	return b
}

// readBatch reads messages until the batch has to be answered. Every error ends the
// session; a refusal (*outcome.NotRun) is sent to the caller first.
func (s *session) readBatch() (*batch, error) {
	b := &batch{}
	if m := s.pendingMessage; m != nil {
		s.pendingMessage = nil
		if done, err := s.addMessage(b, m); err != nil || done {
			return b, err
		}
	} else if err := s.waitForBatch(); err != nil {
		return nil, err
	}
	var buf []byte
	for {
		grown, m, err := s.conn.ReadMessage(buf[:0], s.entry.options.IdleTimeout)
		if err != nil {
			return nil, s.readError(err)
		}
		buf = grown
		if b.size()+len(m) > maxBatchSize {
			return nil, outcome.Refuse(outcome.ReasonInvalidRequest, outcome.CodeProtocolViolation, "more than %d bytes without a Sync", maxBatchSize)
		}
		done, err := s.addMessage(b, m)
		if err == nil {
			err = s.reserveBatchMemory(b.size())
		}
		if err != nil || done {
			return b, err
		}
	}
}

// reserveBatchMemory sets the part of Entry.batchMemory that this session
// reserves to size bytes, and refuses when too little is left. A size below
// countedBatchSize counts as 0, which gives the whole part back and is never
// refused.
func (s *session) reserveBatchMemory(size int) error {
	if size < countedBatchSize {
		size = 0
	}
	delta := size - s.batchMemory
	if delta == 0 {
		return nil
	}
	if s.entry.batchMemory.Add(int64(delta)) > s.entry.batchMemoryLimit && delta > 0 {
		s.entry.batchMemory.Add(int64(-delta))
		return outcome.Refuse(outcome.ReasonQueueFull, codeNoMemory, "the batches of all callers take %d bytes already; nothing of this one was run", s.entry.batchMemoryLimit)
	}
	s.batchMemory = size
	return nil
}

// addMessage adds one message to the batch and reports whether the batch is
// complete. It returns errTerminated for a Terminate. A Query or function call
// ends a batch that has other messages and becomes the pending message. Messages
// of a COPY are discarded, since COPY is refused, and so are those that follow an
// error up to the Sync.
func (s *session) addMessage(b *batch, m pgwire.Message) (bool, error) {
	switch kind := m.Type(); {
	case kind == 'X':
		return true, errTerminated
	case kind == 'S':
		b.lastType = 'S'
		b.out.Raw = append(b.out.Raw, m...)
		return true, nil
	case s.skipping, kind == 'd', kind == 'c', kind == 'f':
		return false, nil
	case kind == 'H':
		return s.flush(b), nil
	case kind == 'Q', kind == 'F':
		if s.flush(b) {
			s.pendingMessage = bytes.Clone(m)
			return true, nil
		}
		return true, s.addQuery(b, m)
	}
	return s.addExtended(b, m)
}

// flush ends the batch as if the caller had sent a Flush. It returns false for an
// empty batch, which has no answer.
func (*session) flush(b *batch) bool {
	if b.empty() {
		return false
	}
	b.lastType = 'H'
	if b.forwardedCount > 0 {
		b.out.Raw = appendMessage(b.out.Raw, 'H', nil, nil)
	}
	return true
}

// errTerminated means that the caller has left, or that its session was terminated.
var errTerminated = &terminatedError{}

type terminatedError struct{}

// Error implements error.
func (*terminatedError) Error() string { return "the caller has left" }

// addQuery adds a simple query or a function call, which is a batch by itself. A
// function call is refused. The proxy answers a command, and every query in a
// failed transaction block, since no server has that transaction any more.
func (s *session) addQuery(b *batch, m pgwire.Message) error {
	b.lastType = 'Q'
	if m.Type() == 'F' {
		b.refusal = outcome.Refuse(outcome.ReasonInvalidRequest, outcome.CodeUnsupported, "function calls by message are not supported; use SELECT")
		return nil
	}
	var q pgproto3.Query
	if err := q.Decode(m.Body()); err != nil {
		return refuseMalformed(err)
	}
	st := &statement{sql: q.String, command: parseCommand(q.String)}
	if s.failed || st.command != nil {
		b.localMessages = append(b.localMessages, localMessage{kind: 'Q', statement: st})
		return nil
	}
	s.addStatement(b, st.sql, route.Parse(st.sql), copyPattern.MatchString(st.sql))
	b.forwardedCount++
	b.out.Raw = append(b.out.Raw, m...)
	return nil
}

func refuseMalformed(err error) error {
	return outcome.Refuse(outcome.ReasonInvalidRequest, outcome.CodeProtocolViolation, "malformed message: %v", err)
}

// addStatement adds the text of a statement for a server to the batch and merges
// its hint into the batch's. It sets the batch's refusal for a COPY, and when the
// batch names two routes.
func (*session) addStatement(b *batch, sql string, h route.Hint, isCopy bool) {
	b.sqls = append(b.sqls, sql)
	if b.hint.Route != "" && h.Route != "" && h.Route != b.hint.Route {
		b.refusal = outcome.Refuse(outcome.ReasonNoRoute, outcome.CodeInvalidParameter, "one batch names routes %q and %q", b.hint.Route, h.Route)
	}
	b.hint = b.hint.WithOverrides(h)
	if isCopy {
		b.refusal = outcome.Refuse(outcome.ReasonInvalidRequest, outcome.CodeUnsupported, "COPY is not supported")
	}
}

// copyPattern matches a statement that is a COPY, after spaces and comments.
var copyPattern = regexp.MustCompile(`(?is)^(?:\s|/\*.*?\*/|--[^\n]*\n)*COPY\b`)

// requireStatement adds a prepared statement that the batch refers to, so that the
// holder prepares it if the server connection lacks it.
func (s *session) requireStatement(b *batch, st *statement) {
	s.addStatement(b, st.sql, st.hint, st.isCopy)
	for _, p := range b.out.Statements {
		if p.Name == st.name {
			return
		}
	}
	b.preparedSize += len(st.parse)
	b.out.Statements = append(b.out.Statements, inner.PreparedStatement{Name: st.name, Parse: st.parse})
}

// errUnterminatedString means that a message lacks the zero byte after a name, or
// the type of the object that it names.
var errUnterminatedString = &unterminatedStringError{}

type unterminatedStringError struct{}

// Error implements error.
func (*unterminatedStringError) Error() string { return "a name has no end" }

// cutString returns the string before the first zero byte of b and the bytes after
// it, and false if b has no zero byte.
func cutString(b []byte) (string, []byte, bool) {
	name, rest, ok := bytes.Cut(b, []byte{0})
	return string(name), rest, ok
}

// appendMessage appends a message of type kind whose body is first, then second.
func appendMessage(buf []byte, kind byte, first, second []byte) []byte {
	size := len(first) + len(second) + 4
	buf = append(buf, kind, byte(size>>24), byte(size>>16), byte(size>>8), byte(size))
	buf = append(buf, first...)
	return append(buf, second...)
}
