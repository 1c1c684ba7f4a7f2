package inner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// ordinary are the messages of an ordinary read: no session, no key, no trace.
var ordinary = struct {
	begin Begin
	batch Batch
	end   End
}{
	Begin{Database: "orders", Server: "orders-1", Account: "counter", Weight: 1, Kind: document.KindRead, Wait: 50, Deadline: 5000},
	Batch{Needs: []Need{{Name: "s1", Parse: make([]byte, 60)}}, Raw: make([]byte, 60)},
	End{Status: 'I', Mark: floor.ReplicationPosition{Term: 1, Position: 100}, Raw: make([]byte, 60)},
}

func roundTrip(t testing.TB) (b Begin, a Batch, e End) {
	t.Helper()
	for _, err := range []error{
		Decode(Encode(KindBegin, ordinary.begin).encoded(), &b),
		Decode(Encode(KindBatch, ordinary.batch).encoded(), &a),
		Decode(Encode(KindEnd, ordinary.end).encoded(), &e),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	return b, a, e
}

// TestRoundTrip sends messages through the codec, and as they are within one VM.
func TestRoundTrip(t *testing.T) {
	b, a, e := roundTrip(t)
	if diff := cmp.Diff([]any{ordinary.begin, ordinary.batch, ordinary.end}, []any{b, a, e}); diff != "" {
		t.Errorf("messages (-want +got):\n%s", diff)
	}
	var near Batch
	if err := Decode(Encode(KindBatch, ordinary.batch), &near); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(ordinary.batch, near); diff != "" {
		t.Errorf("message within one VM (-want +got):\n%s", diff)
	}
	if err := Decode(Encode(KindBatch, ordinary.batch), &Begin{}); err != nil {
		t.Error("a message read as another: ", err)
	}
}

// BenchmarkCodec encodes and decodes the messages of an ordinary read.
func BenchmarkCodec(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		roundTrip(b)
	}
	b.ReportMetric(float64(len(Encode(KindBegin, ordinary.begin).encoded().Body)+len(Encode(KindBatch, ordinary.batch).encoded().Body)+len(Encode(KindEnd, ordinary.end).encoded().Body)), "bytes")
}
