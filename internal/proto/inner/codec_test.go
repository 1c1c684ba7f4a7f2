package inner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// sampleRead holds the messages of a read without session, idempotency key or trace.
var sampleRead = struct {
	begin Begin
	batch Batch
	end   End
}{
	Begin{Database: "orders", Server: "orders-1", Account: "counter", Weight: 1, Kind: document.KindRead, Wait: 50, Timeout: 5000},
	Batch{Statements: []PreparedStatement{{Name: "s1", Parse: make([]byte, 60)}}, Raw: make([]byte, 60)},
	End{Status: 'I', Position: floor.ReplicationPosition{Term: 1, Position: 100}, Raw: make([]byte, 60)},
}

// roundTrip encodes the messages of sampleRead, as for another VM, and decodes them.
func roundTrip(t testing.TB) (begin Begin, batch Batch, end End) {
	t.Helper()
	for _, err := range []error{
		Decode(Encode(KindBegin, sampleRead.begin).withBody(), &begin),
		Decode(Encode(KindBatch, sampleRead.batch).withBody(), &batch),
		Decode(Encode(KindEnd, sampleRead.end).withBody(), &end),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	return begin, batch, end
}

// TestRoundTrip checks that messages are the same after they were encoded and decoded, and
// that one that stays within the VM is passed on unchanged. Decoding into another message
// type must not fail; it skips the fields that this type does not have.
func TestRoundTrip(t *testing.T) {
	begin, batch, end := roundTrip(t)
	if diff := cmp.Diff([]any{sampleRead.begin, sampleRead.batch, sampleRead.end}, []any{begin, batch, end}); diff != "" {
		t.Errorf("messages (-want +got):\n%s", diff)
	}
	var local Batch
	if err := Decode(Encode(KindBatch, sampleRead.batch), &local); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(sampleRead.batch, local); diff != "" {
		t.Errorf("message within one VM (-want +got):\n%s", diff)
	}
	if err := Decode(Encode(KindBatch, sampleRead.batch), &Begin{}); err != nil {
		t.Error("decoding a message as another type: ", err)
	}
}

// BenchmarkCodec encodes and decodes the messages of a read and reports the total size of
// their encoded bodies.
func BenchmarkCodec(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		roundTrip(b)
	}
	b.ReportMetric(float64(len(Encode(KindBegin, sampleRead.begin).withBody().Body)+len(Encode(KindBatch, sampleRead.batch).withBody().Body)+len(Encode(KindEnd, sampleRead.end).withBody().Body)), "bytes")
}
