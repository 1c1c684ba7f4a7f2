package inner

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestGzipKeepsPayload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Answer{Payload: rapid.SliceOfN(rapid.Byte(), 1, 2000).Draw(t, "payload")}
		got, err := want.WithGzip().WithoutGzip()
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
	})
}

// TestInvalidGzip guards against a VM that ends, or allocates without bound, because of another one's payload.
func TestInvalidGzip(t *testing.T) {
	valid := Answer{Payload: make([]byte, MaxBody+1)}.WithGzip()
	for name, payload := range map[string][]byte{"empty": {}, "no gzip": []byte("jelly"), "cut off": valid.Payload[:20], "over the limit": valid.Payload} {
		_, err := Answer{Payload: payload, Gzip: true}.WithoutGzip()
		var invalid *FrameError
		if !errors.As(err, &invalid) {
			t.Errorf("%s: error %v, want a *FrameError", name, err)
		}
	}
}
