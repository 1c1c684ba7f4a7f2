package entry

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
)

// FuzzToken checks that every token is parsed to the replication position that
// it was made from, and that only texts in the form of a token are accepted.
func FuzzToken(f *testing.F) {
	f.Add("orders", "orders:1/2", uint64(1), uint64(2))
	f.Add("a:b", "a:b:1/2", uint64(1), uint64(2))
	f.Add("orders", "orders:1/2 end", ^uint64(0), uint64(0))
	f.Add("orders", "orders: 1/+2", uint64(0), uint64(0))
	f.Fuzz(func(t *testing.T, database, text string, term, position uint64) {
		want := floor.ReplicationPosition{Term: floor.Term(term), Position: floor.Position(position)}
		got, err := parseToken(database, formatToken(database, want))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("replication position (-want +got):\n%s", diff)
		}
		if parsed, err := parseToken(database, text); err == nil && formatToken(database, parsed) != text {
			t.Errorf("%q was read as %q", text, formatToken(database, parsed))
		}
	})
}

// FuzzMessages checks that no messages of a caller cause a panic, that only whole
// messages of allowed types are forwarded to a server, and that a message which the
// proxy answers has a statement, unless it is a Close or its answer is an error.
func FuzzMessages(f *testing.F) {
	f.Add([]byte("P\x00\x00\x00\x10s\x00SELECT 1\x00\x00\x00B\x00\x00\x00\x0d\x00s\x00\x00\x00\x00\x00\x00\x00E\x00\x00\x00\x09\x00\x00\x00\x00\x00S\x00\x00\x00\x04"), false)
	f.Add([]byte("D\x00\x00\x00\x06S\x00C\x00\x00\x00\x06P\x00H\x00\x00\x00\x04Q\x00\x00\x00\x06;\x00"), true)
	f.Fuzz(func(t *testing.T, raw []byte, failed bool) {
		s := &session{failed: failed}
		b := &batch{}
		for m, rest := pgwire.SplitMessage(raw); m != nil; m, rest = pgwire.SplitMessage(rest) {
			done, err := s.addMessage(b, m)
			if err != nil {
				return
			}
			if !done {
				continue
			}
			checkRaw(t, b)
			for _, p := range b.localMessages {
				if p.failure == nil && p.statement == nil && p.kind != 'C' {
					t.Fatalf("local message %q has no statement", p.kind)
				}
			}
			b, s.pendingMessage = &batch{}, nil
		}
	})
}

// checkRaw checks that the batch's messages for a server are whole and of allowed
// types.
func checkRaw(t *testing.T, b *batch) {
	t.Helper()
	size := 0
	for m, rest := pgwire.SplitMessage(b.out.Raw); m != nil; m, rest = pgwire.SplitMessage(rest) {
		size += len(m)
		switch m.Type() {
		case 'P', 'B', 'D', 'E', 'C', 'H', 'S', 'Q':
		default:
			t.Fatalf("a message of type %q would reach a server", m.Type())
		}
	}
	if size != len(b.out.Raw) {
		t.Fatalf("%d of %d bytes are whole messages", size, len(b.out.Raw))
	}
}
