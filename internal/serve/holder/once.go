package holder

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
)

// maxOutcomeRowBytes is the total size in bytes up to which the rows of a first
// outcome are stored for repeats.
const maxOutcomeRowBytes = 8 << 10

// firstOutcome is the stored outcome of a request with an idempotency key.
type firstOutcome struct {
	Statements []statementOutcome `cbor:"statements"`
}

// statementOutcome is the outcome of one statement as raw messages.
type statementOutcome struct {
	// Columns is the RowDescription, or empty if the server sent none.
	Columns []byte `cbor:"columns,omitempty"`
	Rows    []byte `cbor:"rows,omitempty"`
	// End is the message that ended the statement.
	End []byte `cbor:"end"`
	// Cut is set when the rows exceeded maxOutcomeRowBytes and were not stored.
	Cut bool `cbor:"cut,omitempty"`
}

// recorder collects the first outcome from the messages of the answer.
type recorder struct {
	outcome firstOutcome
	current statementOutcome
	size    int
}

// add records one message of the server if it belongs to the outcome: the
// columns, the rows or the end of a statement.
func (r *recorder) add(m pgwire.Message) {
	switch m.Type() {
	case 'T': // RowDescription
		r.current.Columns = append([]byte(nil), m...)
	case 'n': // NoData
		r.current.Columns = nil
	case 'D': // DataRow
		r.size += len(m)
		if r.size > maxOutcomeRowBytes {
			r.current.Rows, r.current.Cut = nil, true
			return
		}
		r.current.Rows = append(r.current.Rows, m...)
	case 'C', 'I', 's': // CommandComplete, EmptyQueryResponse, PortalSuspended
		r.current.End = append([]byte(nil), m...)
		r.outcome.Statements = append(r.outcome.Statements, r.current)
		r.current = statementOutcome{}
	}
}

// onceID returns the ID of a request in the table of idempotency keys. The
// account is part of it, since two client accounts may use the same key.
func onceID(account, key string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

// insertKeyQuery is the query that inserts a key. It returns a row only when the
// key is new.
func insertKeyQuery(id string) string {
	return "INSERT INTO sycamoredoor_once (id, v) VALUES ('" + id + "', '') ON CONFLICT (id) DO NOTHING RETURNING v"
}

func loadOutcomeQuery(id string) string {
	return "SELECT v FROM sycamoredoor_once WHERE id = '" + id + "'"
}

func storeOutcomeQuery(id, text string) string {
	return "UPDATE sycamoredoor_once SET v = '" + text + "' WHERE id = '" + id + "'"
}

// encodeOutcome returns the text that is stored in the table of keys.
func encodeOutcome(o firstOutcome) (string, error) {
	encoded, err := cbor.Marshal(o)
	return base64.StdEncoding.EncodeToString(encoded), err
}

// decodeOutcome decodes the text that is stored in the table of keys. An empty
// text gives an outcome without statements: the request ran in an explicit
// transaction.
func decodeOutcome(text string) (firstOutcome, error) {
	var o firstOutcome
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(b) == 0 {
		return o, err
	}
	return o, cbor.Unmarshal(b, &o)
}

// repeatError reports why a repeat cannot be answered with the first outcome.
type repeatError struct{ detail string }

// Error implements error.
func (e *repeatError) Error() string { return "the request already ran" + e.detail }

// replay answers a repeat with the first outcome, in the form that the repeat's
// own messages ask for. Errors are of type *repeatError.
func replay(o firstOutcome, batch inner.Batch) ([]byte, error) {
	r := replayer{remaining: o.Statements, formats: map[string][]int16{}}
	for m, rest := pgwire.SplitMessage(batch.Raw); m != nil; m, rest = pgwire.SplitMessage(rest) {
		if err := r.add(m); err != nil {
			return nil, err
		}
	}
	if len(r.remaining) > 0 {
		return nil, &repeatError{detail: " with more statements"}
	}
	return r.out, nil
}

// replayer builds the answer to a repeat.
type replayer struct {
	// remaining are the statements not yet replayed.
	remaining []statementOutcome
	// formats are the result formats of each portal by its name.
	formats map[string][]int16
	out     []byte
}

// add answers one message of the repeat.
func (r *replayer) add(m pgwire.Message) error {
	switch m.Type() {
	case 'P': // Parse
		r.out = append(r.out, parseComplete...)
	case 'C': // Close
		r.out = append(r.out, closeComplete...)
	case 'B': // Bind
		return r.bind(m)
	case 'D': // Describe
		return r.describe(m.Body())
	case 'E': // Execute
		portal, _ := cutString(m.Body())
		return r.execute(r.formats[portal])
	case 'Q': // Query
		return r.simpleQuery()
	case 'S': // Sync
		r.out = append(r.out, readyIdle...)
	}
	return nil
}

func (r *replayer) bind(m pgwire.Message) error {
	var b pgproto3.Bind
	if err := b.Decode(m.Body()); err != nil {
		return &repeatError{detail: "; the repeat is malformed: " + err.Error()}
	}
	r.formats[b.DestinationPortal] = b.ResultFormatCodes
	r.out = append(r.out, mustEncode(&pgproto3.BindComplete{})...)
	return nil
}

// describe answers the Describe of a portal. That of a statement also asks for
// the types of its parameters, which are not stored.
func (r *replayer) describe(body []byte) error {
	if len(r.remaining) == 0 || len(body) == 0 || body[0] != 'P' {
		return &repeatError{detail: "; its parameters cannot be described"}
	}
	portal, _ := cutString(body[1:])
	return r.describeColumns(r.formats[portal], true)
}

// describeColumns checks that the rows of the next statement were stored in the
// formats that the repeat asks for. If visible is set, it also answers with
// their description.
func (r *replayer) describeColumns(formats []int16, visible bool) error {
	first := r.remaining[0]
	if len(first.Columns) == 0 {
		if visible {
			r.out = append(r.out, mustEncode(&pgproto3.NoData{})...)
		}
		return nil
	}
	var d pgproto3.RowDescription
	if err := d.Decode(first.Columns[min(pgwire.HeaderSize, len(first.Columns)):]); err != nil {
		return &repeatError{detail: "; its rows are damaged: " + err.Error()}
	}
	for i, f := range d.Fields {
		format := formatOf(formats, i)
		if f.Format != format && !sameTextAndBinary(f.DataTypeOID) {
			return &repeatError{detail: "; its rows are kept in another format"}
		}
		d.Fields[i].Format = format
	}
	if visible {
		r.out = append(r.out, mustEncode(&d)...)
	}
	return nil
}

// formatOf returns the format code of a column as the Bind message defines it:
// one code for all, one for each, or text.
func formatOf(formats []int16, column int) int16 {
	switch {
	case len(formats) == 1:
		return formats[0]
	case column < len(formats):
		return formats[column]
	}
	return pgproto3.TextFormat
}

// sameTextAndBinary reports whether the text and binary formats of a type are
// equal, as for text, varchar, bpchar, name, json and xml.
func sameTextAndBinary(oid uint32) bool {
	switch oid {
	case 25, 1043, 1042, 19, 114, 142:
		return true
	}
	return false
}

func (r *replayer) execute(formats []int16) error {
	if len(r.remaining) == 0 {
		return &repeatError{detail: " with fewer statements"}
	}
	if err := r.describeColumns(formats, false); err != nil {
		return err
	}
	return r.replayRows()
}

// simpleQuery answers a simple query, which also gets the description of its
// rows.
func (r *replayer) simpleQuery() error {
	if len(r.remaining) == 0 {
		return &repeatError{detail: " in a transaction of several statements"}
	}
	if len(r.remaining[0].Columns) > 0 {
		if err := r.describeColumns(nil, true); err != nil {
			return err
		}
	}
	if err := r.replayRows(); err != nil {
		return err
	}
	r.out = append(r.out, readyIdle...)
	return nil
}

// replayRows answers with the rows and the end of the next statement.
func (r *replayer) replayRows() error {
	s := r.remaining[0]
	if s.Cut {
		return &repeatError{detail: " with " + tagOf(s.End) + "; its rows were too many to keep"}
	}
	r.remaining = r.remaining[1:]
	r.out = append(append(r.out, s.Rows...), s.End...)
	return nil
}

// tagOf returns the command tag in the message that ended a statement.
func tagOf(end []byte) string {
	if len(end) <= pgwire.HeaderSize {
		return "no tag"
	}
	return strings.TrimRight(string(end[pgwire.HeaderSize:]), "\x00")
}

// onceRefusal refuses a first batch that cannot be guaranteed to run at most
// once.
func onceRefusal(batch inner.Batch) *outcome.NotRun {
	if shapeOf(batch) != shapeOther {
		return nil
	}
	return outcome.Refuse(outcome.ReasonInvalidRequest, outcome.CodeUnsupported,
		"a request with an idempotency key is one statement, or a transaction whose BEGIN is sent alone")
}
