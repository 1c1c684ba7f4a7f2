package entry

import (
	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/caller"
)

// textOID is the OID of the type text, which all values of the proxy have.
const textOID = 25

const (
	// codeAborted is in_failed_sql_transaction.
	codeAborted = "25P02"
	// codeNoStatement is invalid_sql_statement_name.
	codeNoStatement = "26000"
	// codeNoPortal is invalid_cursor_name.
	codeNoPortal = "34000"
)

// localMessage is one message that the proxy answers itself.
type localMessage struct {
	// kind is the type of the message.
	kind byte
	// object is 'S' or 'P' in a Describe.
	object byte
	// statement may be nil for a Close and when failure is set.
	statement *statement
	failure   *outcome.NotRun
}

// serveLocal answers a batch that the proxy runs itself. If a transaction is open
// on a server, a Sync is sent there, since it ends a transaction that is not a
// block; a Query within a block needs none. An error aborts an open transaction,
// as any error does.
func (s *session) serveLocal(b *batch) error {
	var out []byte
	for _, p := range b.localMessages {
		grown, err := s.answerLocalMessage(out, p)
		if err != nil {
			return s.failLocal(b, out, err)
		}
		out = grown
	}
	if b.lastType == 'H' {
		return s.conn.Write(out)
	}
	if s.pinnedServer == "" {
		clear(s.portals)
	}
	if s.pinnedServer == "" || b.lastType == 'Q' && s.inBlock {
		return s.conn.Write(append(out, caller.ReadyForQuery(s.status())...))
	}
	if err := s.conn.Write(out); err != nil {
		return err
	}
	return s.runInTransaction(syncBatch())
}

// failLocal sends the answers before the error, and then the error. In a failed
// transaction block the error does not count as a refusal.
func (s *session) failLocal(b *batch, out []byte, err error) error {
	if err := s.conn.Write(out); err != nil {
		return err
	}
	if s.failed {
		var refusal *outcome.NotRun
		errors.As(err, &refusal)
		return s.sendError(b, refusal.Code, refusal.Detail)
	}
	return s.refuse(b, err)
}

// answerLocalMessage appends the answer to one message. The error is a refusal.
func (s *session) answerLocalMessage(out []byte, p localMessage) ([]byte, error) {
	if p.failure != nil {
		return out, p.failure
	}
	if s.failed && p.kind != 'C' && !endPattern.MatchString(p.statement.sql) {
		return out, outcome.Refuse(outcome.ReasonInvalidRequest, codeAborted, "current transaction is aborted, commands ignored until end of transaction block")
	}
	switch p.kind {
	case 'P':
		return encode(out, &pgproto3.ParseComplete{}), nil
	case 'B':
		return encode(out, &pgproto3.BindComplete{}), nil
	case 'C':
		return encode(out, &pgproto3.CloseComplete{}), nil
	case 'D':
		if p.object == 'S' {
			out = encode(out, &pgproto3.ParameterDescription{})
		}
		return appendDescription(out, p.statement.command.column(), true), nil
	}
	return s.execute(out, p)
}

// execute runs a command. In a failed transaction block the statement is the one
// that ends the block; even a COMMIT is answered with ROLLBACK.
func (s *session) execute(out []byte, p localMessage) ([]byte, error) {
	if s.failed {
		s.failed = false
		return append(out, caller.CommandComplete("ROLLBACK")...), nil
	}
	c := p.statement.command
	value, tag, err := s.runCommand(c)
	if err != nil {
		return out, err
	}
	if p.kind == 'Q' {
		out = appendDescription(out, c.column(), false)
	}
	if c.column() != "" {
		out = encode(out, &pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	}
	return append(out, caller.CommandComplete(tag)...), nil
}

// appendDescription appends the description of a result with one column. If
// column is "", there is no result: it appends NoData if the caller requested a
// description, or else nothing.
func appendDescription(out []byte, column string, requested bool) []byte {
	if column != "" {
		return encode(out, &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
			{Name: []byte(column), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1},
		}})
	}
	if requested {
		return encode(out, &pgproto3.NoData{})
	}
	return out
}

func encode(buf []byte, m pgproto3.BackendMessage) []byte {
	out, err := m.Encode(buf)
	if err != nil {
		panic(err)
	}
	return out
}
