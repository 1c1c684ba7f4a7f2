package holder

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// message encodes a message from its type, optionally followed by a space and
// the name of a statement, or for a Query its text.
func message(text string) []byte {
	name := ""
	if len(text) > 2 {
		name = text[2:]
	}
	switch text[0] {
	case 'P':
		return mustEncode(&pgproto3.Parse{Name: name, Query: "SELECT 1"})
	case 'B':
		return mustEncode(&pgproto3.Bind{PreparedStatement: name})
	case 'D':
		return mustEncode(&pgproto3.Describe{ObjectType: 'S', Name: name})
	case 'C':
		return mustEncode(&pgproto3.Close{ObjectType: 'S', Name: name})
	case 'E':
		return mustEncode(&pgproto3.Execute{})
	case 'H':
		return mustEncode(&pgproto3.Flush{})
	case 'S':
		return mustEncode(&pgproto3.Sync{})
	}
	return mustEncode(&pgproto3.Query{String: name})
}

// describeSent describes raw messages in the notation of message.
func describeSent(raw []byte) []string {
	var out []string
	for m, rest := pgwire.SplitMessage(raw); m != nil; m, rest = pgwire.SplitMessage(rest) {
		body, text := m.Body(), string(m.Type())
		switch m.Type() {
		case 'B':
			_, body = cutString(body)
		case 'D', 'C':
			body = body[1:]
		case 'E':
			body = nil
		}
		if name, _ := cutString(body); name != "" {
			text += " " + name
		}
		out = append(out, text)
	}
	return out
}

// TestPlan plans batches on one connection, and checks the messages sent and
// which of the server's answers the caller gets.
func TestPlan(t *testing.T) {
	failOnViolation(t)
	var cases []struct {
		Name  string `yaml:"name"`
		Limit int    `yaml:"limit"`
		// Batches are planned one after the other.
		Batches []struct {
			// Needs are the statements that the batch refers to, In the messages of
			// the caller, and Out those to send to the server.
			Needs []string `yaml:"needs"`
			In    []string `yaml:"in"`
			Out   []string `yaml:"out"`
			// Answers are the types of the server's messages, Seen those of the
			// messages that the caller gets.
			Answers string `yaml:"answers"`
			Seen    string `yaml:"seen"`
			// Dirty is set when the connection needs fullResetQuery afterwards.
			Dirty bool `yaml:"dirty"`
		} `yaml:"batches"`
		// Has lists the statements that the connection has at the end.
		Has []string `yaml:"has"`
	}
	scripted.Read(t, "testdata/plan.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			statements := backend.NewStatementCache(c.Limit)
			for _, b := range c.Batches {
				var batch inner.Batch
				for _, n := range b.Needs {
					batch.Statements = append(batch.Statements, inner.PreparedStatement{Name: n, Parse: message("P " + n)})
				}
				for _, m := range b.In {
					batch.Raw = append(batch.Raw, message(m)...)
				}
				p := planBatch(batch, statements)
				if diff := cmp.Diff(b.Out, describeSent(p.out)); diff != "" {
					t.Errorf("sent (-want +got):\n%s", diff)
				}
				seen, dirty := play(p, b.Answers, statements)
				if dirty != b.Dirty {
					t.Errorf("the connection needs a full reset: got %v, want %v", dirty, b.Dirty)
				}
				if diff := cmp.Diff(b.Seen, seen); diff != "" {
					t.Errorf("seen (-want +got):\n%s", diff)
				}
				if len(p.expected) > 0 {
					t.Errorf("still expected: %+v", p.expected)
				}
			}
			for _, name := range c.Has {
				if !statements.Has(name) {
					t.Errorf("the connection has lost statement %s", name)
				}
			}
			if statements.Len() != len(c.Has) {
				t.Errorf("the connection has %d statements, want %d", statements.Len(), len(c.Has))
			}
		})
	}
}

// play feeds the server's answers to the plan. It returns the types of the
// messages that the caller gets, and whether the connection needs
// fullResetQuery.
func play(p *plan, answers string, statements *backend.StatementCache) (string, bool) {
	tr := &transaction{conn: &backend.Conn{Statements: statements}}
	raw := p.appendSynthetic(nil)
	for i := range len(answers) {
		m := pgwire.Message{answers[i], 0, 0, 0, 4, 0}
		visible, err := tr.handleMessage(p, m)
		if err != nil {
			return err.Error(), false
		}
		if visible {
			raw = append(raw, answers[i], 0, 0, 0, 4)
		}
		raw = p.appendSynthetic(raw)
	}
	seen := ""
	for m, rest := pgwire.SplitMessage(raw); m != nil; m, rest = pgwire.SplitMessage(rest) {
		seen += string(m.Type())
	}
	return seen, tr.conn.NeedsFullReset
}

// TestFloors checks the floors of sessions after writes and resets. A forgotten
// session must get the highest floor ever forgotten, since its own is no longer
// known.
func TestFloors(t *testing.T) {
	var cases []struct {
		Name  string `yaml:"name"`
		Limit int    `yaml:"limit"`
		// Steps record the write of a session at a position; without a session
		// they reset the floors.
		Steps []struct {
			Session  string         `yaml:"session"`
			Term     floor.Term     `yaml:"term"`
			Position floor.Position `yaml:"position"`
		} `yaml:"steps"`
		Want map[string]string `yaml:"want"`
	}
	scripted.Read(t, "testdata/floors.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			f := newFloors(c.Limit)
			for _, s := range c.Steps {
				position := floor.ReplicationPosition{Term: s.Term, Position: s.Position}
				if s.Session == "" {
					f.reset(position)
					continue
				}
				f.record(s.Session, position)
			}
			got := map[string]string{}
			for session := range c.Want {
				got[session] = f.get(session).String()
			}
			if diff := cmp.Diff(c.Want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}
