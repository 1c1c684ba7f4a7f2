package inner

import (
	"bytes"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/allowance"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/memory"
)

// TestReadWithin guards against a frame for which there is no memory that blocks its stream, or whose
// rest is read as the next frame, and against a body that is not read whole.
func TestReadWithin(t *testing.T) {
	pool := memory.NewPool(allowance.NewLimits(16<<20, 64), clock.NewFake(0).Clock())
	o, _ := pool.NewOwner(0, nil)
	frames := []Frame{{Kind: KindRun, Body: bytes.Repeat([]byte("a"), 8<<20)}, {Kind: KindResult, Body: bytes.Repeat([]byte("b"), 300_001)}, {Kind: KindWorking, Body: []byte{}}}
	var stream bytes.Buffer
	for _, f := range frames {
		if err := Write(&stream, f); err != nil {
			t.Fatal(err)
		}
	}
	if f, err := ReadWithin(&stream, o); !errors.Is(err, memory.ErrShort) || f.Kind != KindRun || f.Body != nil {
		t.Errorf("frame of kind %d with %d bytes, error %v", f.Kind, len(f.Body), err)
	}
	for _, want := range frames[1:] {
		f, err := ReadWithin(&stream, o)
		if err != nil {
			t.Fatal(err)
		}
		if !cmp.Equal(want, f) {
			t.Errorf("frame of kind %d with %d bytes differs", f.Kind, len(f.Body))
		}
	}
}
