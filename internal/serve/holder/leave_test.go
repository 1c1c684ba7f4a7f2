package holder

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
)

// TestDrainWithOpenTransaction gives a server up under an open transaction, which ends before the
// successor has the lock; a new one is refused at once, so that it runs there.
func TestDrainWithOpenTransaction(t *testing.T) {
	_, servers := startGroup(t, "one", "two", "three")
	a, stop := startHolder(t, Options{Server: servers[0], VM: "a"})
	await(t, "a holds", func() bool { _, held := a.State(); return held })
	b, _ := startHolder(t, Options{Server: servers[0], VM: "b"})
	open := startCall(a, member7Begin)
	open.run(backend.QueryMessage("BEGIN"))
	left := make(chan struct{})
	go func() {
		defer close(left)
		a.Drain(20 * clock.Second)
		stop()
	}()
	await(t, "a refuses", func() bool {
		c := startCall(a, member7Begin)
		out, _ := c.run(backend.QueryMessage("SELECT 1"))
		<-c.done
		return cmp.Equal([]string{"refused holder"}, out)
	})
	if _, held := b.State(); held {
		t.Error("the successor holds while a transaction is open")
	}
	open.run(backend.QueryMessage("INSERT INTO box (id, v) VALUES ('7', 'plum')"))
	out, end := open.run(backend.QueryMessage("COMMIT"))
	if diff := cmp.Diff([]string{"C COMMIT", "Z I"}, out); diff != "" || end.FloorUnrecorded {
		t.Errorf("the commit while leaving, recorded %v (-want +got):\n%s", !end.FloorUnrecorded, diff)
	}
	<-left
	awaitFloor(t, b, end.Position)
}
