package holder

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
)

// TestReplayBounds checks that rows are stored up to maxOutcomeRowBytes and
// beyond it only the command tag, and that values are replayed in another format
// than the stored one only if both formats of their type are equal.
func TestReplayBounds(t *testing.T) {
	const int4OID = 23
	cases := []struct {
		name   string
		oid    uint32
		rows   int
		format int16
		want   string
	}{
		{"rows that fit", int4OID, 3, pgproto3.TextFormat, ""},
		{"text asked for as binary", 25, 3, pgproto3.BinaryFormat, ""},
		{"a number asked for as binary", int4OID, 3, pgproto3.BinaryFormat, "the request already ran; its rows are kept in another format"},
		{"too many rows", int4OID, 20, pgproto3.TextFormat, "the request already ran with UPDATE 7; its rows were too many to keep"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &recorder{}
			r.add(mustEncode(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: c.oid}}}))
			row := mustEncode(&pgproto3.DataRow{Values: [][]byte{[]byte(strings.Repeat("9", 1000))}})
			for range c.rows {
				r.add(row)
			}
			r.add(mustEncode(&pgproto3.CommandComplete{CommandTag: []byte("UPDATE 7")}))
			text, err := encodeOutcome(r.outcome)
			if err != nil {
				t.Fatal(err)
			}
			o, err := decodeOutcome(text)
			if err != nil {
				t.Fatal(err)
			}
			raw := mustEncode(&pgproto3.Bind{ResultFormatCodes: []int16{c.format}})
			raw = append(raw, mustEncode(&pgproto3.Execute{})...)
			raw = append(raw, mustEncode(&pgproto3.Sync{})...)
			got := ""
			if _, err := replay(o, inner.Batch{Raw: raw}); err != nil {
				got = err.Error()
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// FuzzReplay checks that damaged rows of the table of keys and malformed repeats
// cause no panic. An answer from a row without statements must be empty or begin
// with a whole message.
func FuzzReplay(f *testing.F) {
	good, err := encodeOutcome(firstOutcome{Statements: []statementOutcome{{End: mustEncode(&pgproto3.CommandComplete{CommandTag: []byte("UPDATE 1")})}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good, backend.QueryMessage("SELECT 1"), []byte(nil))
	f.Add("", extendedBatch([]string{"P", "B", "D", "E", "S"}, make([]string, 5)), []byte("T"))
	f.Fuzz(func(t *testing.T, text string, raw, columns []byte) {
		o, err := decodeOutcome(text)
		if err != nil {
			o = firstOutcome{Statements: []statementOutcome{{Columns: columns, End: raw}}}
		}
		out, err := replay(o, inner.Batch{Raw: raw})
		if err == nil && len(out) > 0 && len(o.Statements) == 0 {
			if m, _ := pgwire.SplitMessage(out); m == nil {
				t.Errorf("the answer %q holds no message", out)
			}
		}
		shapeOf(inner.Batch{Raw: raw})
	})
}
