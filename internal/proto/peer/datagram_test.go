package peer

import (
	"testing"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// TestDatagramsToDeadVM guards against a VM that sends nothing to all others, and cannot stop, because it waits until one that lost power acknowledges its datagrams.
func TestDatagramsToDeadVM(t *testing.T) {
	r := newTestKeyring(t)
	o := Options{IdleTimeout: 4 * clock.FromDuration(testTimeout)}
	a, stopA := serveAt(t, "127.0.0.1:0", r, o, echo)
	b, stopB := serveAt(t, "127.0.0.1:0", r, o, echo)
	if err := echoOnce(t, a, b.Address()); err != nil {
		t.Fatal(err)
	}
	_ = b.udp.Conn.Close()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for range 1000 {
			_ = a.TrySendDatagram(t.Context(), b.Address(), make([]byte, MaxDatagram))
		}
	}()
	select {
	case <-sent:
	case <-time.After(testTimeout):
		t.Error("datagrams to a dead VM are still being sent")
	}
	stopA()
	stopB()
	<-sent
}
