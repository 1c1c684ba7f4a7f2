package inner

import (
	"bytes"
	"testing"
)

// TestObserver guards against frames between regions that are missing in the count of bytes, or counted with another size than on the wire.
func TestObserver(t *testing.T) {
	var wire bytes.Buffer
	sent, received := 0, 0
	x := Exchange{SendFunc: func(f Frame) error { return Write(&wire, f) }, ReceiveFunc: func() (Frame, error) { return Read(&wire) }}
	x = x.WithObserver(func(n int) { sent += n }, func(n int) { received += n })
	if err := x.Send(Encode(KindQuestion, Question{Topic: TopicText})); err != nil {
		t.Fatal(err)
	}
	size := wire.Len()
	if _, err := x.Receive(); err != nil {
		t.Fatal(err)
	}
	if sent != size || received != size {
		t.Errorf("%d bytes counted as sent and %d as received, %d on the wire", sent, received, size)
	}
}
