package inner

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// FuzzRead checks that no bytes of another VM do harm, and that a frame reads
// back as it was written.
func FuzzRead(f *testing.F) {
	for _, m := range []Frame{
		Encode(KindBegin, Begin{Database: "orders", Server: "orders-1", Account: "counter", Kind: document.KindWrite, Floor: floor.ReplicationPosition{Term: 1, Position: 2}}),
		Encode(KindBatch, Batch{Needs: []Need{{Name: "s", Parse: []byte("P")}}, Raw: []byte("Q")}),
		Encode(KindEnd, End{Status: 'I', Mark: floor.ReplicationPosition{Term: 1, Position: 2}}),
		Encode(KindRefuse, Refuse{Reason: outcome.ReasonReplicaBehind, Code: outcome.CodeTimeout, Detail: "behind"}),
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
		var again bytes.Buffer
		if err := Write(&again, m); err != nil {
			t.Fatal(err)
		}
		if !bytes.HasPrefix(raw, again.Bytes()) {
			t.Error("a frame is written differently from how it was read")
		}
		decodeAll(t, m)
	})
}

// decodeAll checks that what can be read from a body survives another trip.
func decodeAll(t *testing.T, m Frame) {
	t.Helper()
	var b, b2 Begin
	if Decode(m, &b) == nil {
		check(t, Decode(Encode(m.Kind, b).encoded(), &b2), b, b2)
	}
	var a, a2 Batch
	if Decode(m, &a) == nil {
		check(t, Decode(Encode(m.Kind, a).encoded(), &a2), len(a.Raw), len(a2.Raw))
	}
	var e, e2 End
	if Decode(m, &e) == nil {
		check(t, Decode(Encode(m.Kind, e).encoded(), &e2), e.Mark, e2.Mark)
	}
	var r, r2 Refuse
	if Decode(m, &r) == nil {
		check(t, Decode(Encode(m.Kind, r).encoded(), &r2), r, r2)
	}
}

func check(t *testing.T, err error, want, got any) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("after another trip (-want +got):\n%s", diff)
	}
}
