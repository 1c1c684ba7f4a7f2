package inner

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// FuzzRead checks that arbitrary bytes from another VM cause no panic, that a frame that
// was read is written as the same bytes, and that its body passes checkReencoded.
func FuzzRead(f *testing.F) {
	for _, m := range []Frame{
		Encode(KindBegin, Begin{Database: "orders", Server: "orders-1", Account: "counter", Kind: document.KindWrite, Floor: floor.ReplicationPosition{Term: 1, Position: 2}}),
		Encode(KindBatch, Batch{Statements: []PreparedStatement{{Name: "s", Parse: []byte("P")}}, Raw: []byte("Q")}),
		Encode(KindEnd, End{Status: 'I', Position: floor.ReplicationPosition{Term: 1, Position: 2}}),
		Encode(KindRefusal, Refusal{Reason: outcome.ReasonReplicaBehind, Code: outcome.CodeTimeout, Detail: "behind"}),
		Encode(KindEvacuation, Evacuation{From: "vm0", Revision: 7, Era: 1, Zones: []EvacuatedZone{{Zone: "a", Age: 300}}}),
		{Kind: KindCancel},
	} {
		var raw bytes.Buffer
		if err := Write(&raw, m); err != nil {
			f.Fatal(err)
		}
		f.Add(raw.Bytes())
	}
	// Headers without a body: the first length is over MaxBody, the second just below it.
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

// checkReencoded checks that a body that decodes as a Begin or a Refusal is the same
// after it was encoded and decoded again. Of a Batch it compares only the length of
// Raw, and of an End only the Position.
func checkReencoded(t *testing.T, m Frame) {
	t.Helper()
	var begin, begin2 Begin
	if Decode(m, &begin) == nil {
		checkEqual(t, Decode(Encode(m.Kind, begin).withBody(), &begin2), begin, begin2)
	}
	var batch, batch2 Batch
	if Decode(m, &batch) == nil {
		checkEqual(t, Decode(Encode(m.Kind, batch).withBody(), &batch2), len(batch.Raw), len(batch2.Raw))
	}
	var end, end2 End
	if Decode(m, &end) == nil {
		checkEqual(t, Decode(Encode(m.Kind, end).withBody(), &end2), end.Position, end2.Position)
	}
	var refusal, refusal2 Refusal
	if Decode(m, &refusal) == nil {
		checkEqual(t, Decode(Encode(m.Kind, refusal).withBody(), &refusal2), refusal, refusal2)
	}
	var evacuation, evacuation2 Evacuation
	if Decode(m, &evacuation) == nil {
		checkEqual(t, Decode(Encode(m.Kind, evacuation).withBody(), &evacuation2), evacuation, evacuation2)
	}
}

// checkEqual fails the test if decoding returned an error or if two values differ.
func checkEqual(t *testing.T, err error, want, got any) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("encoded and decoded again (-want +got):\n%s", diff)
	}
}
