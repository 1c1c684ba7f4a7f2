package inner

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// FuzzRead checks that arbitrary bytes from another VM cause no panic, and that a
// frame that was read is written as the same bytes.
func FuzzRead(f *testing.F) {
	for _, m := range []Frame{
		Encode(KindBegin, Begin{Database: "orders", Server: "orders-1", Account: "counter", Kind: document.KindWrite, Floor: floor.ReplicationPosition{Term: 1, Position: 2}}),
		Encode(KindBatch, Batch{Statements: []PreparedStatement{{Name: "s", Parse: []byte("P")}}, Raw: []byte("Q")}),
		Encode(KindEnd, End{Status: 'I', Position: floor.ReplicationPosition{Term: 1, Position: 2}}),
		Encode(KindRefusal, Refusal{Reason: outcome.ReasonReplicaBehind, Code: outcome.CodeTimeout, Detail: "behind"}),
		{Kind: KindCancel},
	} {
		var raw bytes.Buffer
		if err := Write(&raw, m); err != nil {
			f.Fatal(err)
		}
		f.Add(raw.Bytes())
	}
	f.Add([]byte{byte(KindData), 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{byte(KindData), 0x03, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := Read(bytes.NewReader(raw))
		if err != nil {
			return
		}
		var rewritten bytes.Buffer
		if err := Write(&rewritten, m); err != nil {
			t.Fatal(err)
		}
		if !bytes.HasPrefix(raw, rewritten.Bytes()) {
			t.Error("the frame was written with other bytes than it was read from")
		}
		checkReencoded(t, m)
	})
}

// checkReencoded checks that each message that can be decoded from a body is the
// same after it was encoded and decoded again.
func checkReencoded(t *testing.T, m Frame) {
	t.Helper()
	var b, b2 Begin
	if Decode(m, &b) == nil {
		checkEqual(t, Decode(Encode(m.Kind, b).withBody(), &b2), b, b2)
	}
	var a, a2 Batch
	if Decode(m, &a) == nil {
		checkEqual(t, Decode(Encode(m.Kind, a).withBody(), &a2), len(a.Raw), len(a2.Raw))
	}
	var e, e2 End
	if Decode(m, &e) == nil {
		checkEqual(t, Decode(Encode(m.Kind, e).withBody(), &e2), e.Position, e2.Position)
	}
	var r, r2 Refusal
	if Decode(m, &r) == nil {
		checkEqual(t, Decode(Encode(m.Kind, r).withBody(), &r2), r, r2)
	}
}

func checkEqual(t *testing.T, err error, want, got any) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("encoded and decoded again (-want +got):\n%s", diff)
	}
}
