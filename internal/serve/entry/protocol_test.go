package entry

import (
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

type scriptedExchange struct {
	Send []string `yaml:"send"`
	Want []string `yaml:"want"`
}

type protocolScript struct {
	Name      string             `yaml:"name"`
	Exchanges []scriptedExchange `yaml:"exchanges"`
	// Sent lists the types of the messages in each batch that the holder got.
	Sent []string `yaml:"sent"`
}

// TestProtocol plays messages of callers and checks the answers and the batches
// that reach the holder.
func TestProtocol(t *testing.T) {
	var scripts []protocolScript
	scripted.Read(t, "testdata/protocol.yaml", &scripts)
	for _, p := range scripts {
		t.Run(p.Name, func(t *testing.T) {
			b := newTestEntry(t, nil)
			c, f := b.dial(t)
			for i, x := range p.Exchanges {
				var raw []byte
				for _, text := range x.Send {
					raw = append(raw, messageOf(t, text)...)
				}
				if _, err := c.Write(raw); err != nil {
					t.Fatal(err)
				}
				var got []string
				for range x.Want {
					got = append(got, receive(t, f))
				}
				if diff := cmp.Diff(x.Want, got); diff != "" {
					t.Fatalf("exchange %d (-want +got):\n%s", i, diff)
				}
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			if diff := cmp.Diff(strings.Join(p.Sent, " "), strings.Join(b.records, " ")); diff != "" {
				t.Errorf("batches at the holder (-want +got):\n%s", diff)
			}
		})
	}
}

// objectName returns the name that a script gives, in which - is the empty name.
func objectName(s string) string { return strings.TrimPrefix(s, "-") }

// messageOf returns the message that a script describes; testdata/protocol.yaml
// explains the form.
func messageOf(t *testing.T, text string) []byte {
	t.Helper()
	words := strings.SplitN(text+"   ", " ", 3)
	last := strings.TrimSpace(words[2])
	var m pgproto3.FrontendMessage
	switch words[0] {
	case "Q":
		m = &pgproto3.Query{String: strings.TrimSpace(text[2:])}
	case "P":
		m = &pgproto3.Parse{Name: objectName(words[1]), Query: last}
	case "B":
		m = &pgproto3.Bind{DestinationPortal: objectName(words[1]), PreparedStatement: objectName(last)}
	case "D":
		m = &pgproto3.Describe{ObjectType: words[1][0], Name: objectName(last)}
	case "C":
		m = &pgproto3.Close{ObjectType: words[1][0], Name: objectName(last)}
	case "E":
		m = &pgproto3.Execute{Portal: objectName(words[1])}
	case "raw":
		// The body lacks the zero byte that ends a name.
		return appendMessage(nil, words[1][0], []byte("x"), nil)
	default:
		return appendMessage(nil, words[0][0], nil, nil)
	}
	raw, err := m.Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// receive returns the next answer in short form: the type byte, and the value that
// the tests compare, if any. It returns "end" when the connection was closed.
func receive(t *testing.T, f *pgproto3.Frontend) string {
	t.Helper()
	m, err := f.Receive()
	if err == io.ErrUnexpectedEOF || err == io.EOF {
		return "end"
	}
	if err != nil {
		return err.Error()
	}
	switch m := m.(type) {
	case *pgproto3.ParseComplete:
		return "1"
	case *pgproto3.BindComplete:
		return "2"
	case *pgproto3.CloseComplete:
		return "3"
	case *pgproto3.NoData:
		return "n"
	case *pgproto3.ParameterDescription:
		return "t"
	case *pgproto3.RowDescription:
		return "T " + string(m.Fields[0].Name)
	case *pgproto3.DataRow:
		return "D " + string(m.Values[0])
	case *pgproto3.CommandComplete:
		return "C " + string(m.CommandTag)
	case *pgproto3.EmptyQueryResponse:
		return "I"
	case *pgproto3.NoticeResponse:
		return "N " + m.Code
	case *pgproto3.ErrorResponse:
		return "E " + m.Code
	case *pgproto3.ReadyForQuery:
		return "Z " + string(m.TxStatus)
	}
	return "unexpected"
}
