package entry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
)

// serverMessages decodes the messages of a batch for a server.
func serverMessages(t *testing.T, raw []byte) []pgproto3.FrontendMessage {
	t.Helper()
	var out []pgproto3.FrontendMessage
	for m, rest := pgwire.SplitMessage(raw); m != nil; m, rest = pgwire.SplitMessage(rest) {
		target := map[byte]pgproto3.FrontendMessage{
			'P': &pgproto3.Parse{}, 'B': &pgproto3.Bind{}, 'D': &pgproto3.Describe{}, 'E': &pgproto3.Execute{}, 'C': &pgproto3.Close{}, 'S': &pgproto3.Sync{},
		}[m.Type()]
		if err := target.Decode(m.Body()); err != nil {
			t.Fatalf("message %q for a server: %v", m.Type(), err)
		}
		out = append(out, target)
	}
	return out
}

// TestNamesForServer guards against a caller's name, portal or parameter that a server reads as something else.
func TestNamesForServer(t *testing.T) {
	for _, name := range []string{"s1", "two words", `quote'"\`, "line\r\nend", "\xff\x01", "s" + strings.Repeat("0", 32), strings.Repeat("long", 1<<18)} {
		sql := "SELECT $1 -- " + name
		messages := []pgproto3.FrontendMessage{
			&pgproto3.Parse{Name: name, Query: sql, ParameterOIDs: []uint32{textOID}},
			&pgproto3.Describe{ObjectType: 'S', Name: name},
			&pgproto3.Bind{DestinationPortal: name, PreparedStatement: name, Parameters: [][]byte{[]byte(name + "\x00"), nil}},
			&pgproto3.Describe{ObjectType: 'P', Name: name},
			&pgproto3.Execute{Portal: name, MaxRows: 7},
			&pgproto3.Close{ObjectType: 'P', Name: name},
			&pgproto3.Close{ObjectType: 'S', Name: name},
			&pgproto3.Sync{},
		}
		s, b := &session{}, &batch{}
		for _, m := range messages {
			raw, err := m.Encode(nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := s.addMessage(b, raw); err != nil {
				t.Fatal(err)
			}
		}
		got := serverMessages(t, b.out.Raw)
		digest := got[0].(*pgproto3.Parse).Name
		if len(digest) != 33 || strings.Trim(digest[1:], "0123456789abcdef") != "" || digest[0] != 's' {
			t.Errorf("the statement is called %q at a server", digest)
		}
		messages[0].(*pgproto3.Parse).Name = digest
		messages[1].(*pgproto3.Describe).Name = digest
		messages[2].(*pgproto3.Bind).PreparedStatement = digest
		messages[6].(*pgproto3.Close).Name = digest
		ignoreEmpty := cmp.Transformer("formats", func(codes []int16) int { return len(codes) })
		if diff := cmp.Diff(messages, got, ignoreEmpty, cmp.Comparer(bytes.Equal)); diff != "" {
			t.Errorf("name %.20q (-want +got):\n%s", name, diff)
		}
	}
}

// TestUnknownNames guards against a statement that is used by its name at servers.
func TestUnknownNames(t *testing.T) {
	other, err := newStatement(pgproto3.Parse{Name: "s1", Query: "SELECT 1"})
	if err != nil {
		t.Fatal(err)
	}
	s, b := &session{}, &batch{}
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Bind{PreparedStatement: other.name}, &pgproto3.Describe{ObjectType: 'S', Name: other.name}, &pgproto3.Close{ObjectType: 'S', Name: other.name},
	} {
		raw, err := m.Encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.addMessage(b, raw); err != nil {
			t.Fatal(err)
		}
	}
	if len(b.out.Raw) > 0 {
		t.Errorf("a server would get %q", b.out.Raw)
	}
}

// TestNewStatementName guards against one name for two statements.
func TestNewStatementName(t *testing.T) {
	names := map[string]string{}
	for _, p := range []pgproto3.Parse{
		{Query: "SELECT 1"},
		{Query: "SELECT 1 "},
		{Query: " SELECT 1"},
		{Query: "SELECT 1", ParameterOIDs: []uint32{0}},
		{Query: "SELECT 1", ParameterOIDs: []uint32{0, 0}},
		{Query: "SELECT 1", ParameterOIDs: []uint32{25}},
		{Query: ""},
	} {
		p.Name = "a"
		st, err := newStatement(p)
		if err != nil {
			t.Fatal(err)
		}
		p.Name = "b b"
		same, err := newStatement(p)
		if err != nil {
			t.Fatal(err)
		}
		if st.name != same.name {
			t.Errorf("%q is called %s and %s", p.Query, st.name, same.name)
		}
		if other, known := names[st.name]; known {
			t.Errorf("%q and %q have one name", other, p.Query)
		}
		names[st.name] = p.Query
	}
}
