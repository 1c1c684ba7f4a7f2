package holder

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
)

// TestDrainWithOpenTransaction drains a holder that has an open transaction.
// The transaction must commit before the successor gets the lock. New ones must
// be refused before it commits, so that they can run at the successor.
func TestDrainWithOpenTransaction(t *testing.T) {
	_, servers := startGroup(t, "one", "two", "three")
	a, stop := startHolder(t, Options{Server: servers[0], VM: "a"})
	await(t, "a acquires the lock", func() bool { _, held := a.State(); return held })
	b, _ := startHolder(t, Options{Server: servers[0], VM: "b"})
	open := startCall(a, member7Begin)
	open.run(backend.QueryMessage("BEGIN"))
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		a.Drain(20 * clock.Second)
		stop()
	}()
	await(t, "a refuses new transactions", func() bool {
		c := startCall(a, member7Begin)
		out, _ := c.run(backend.QueryMessage("SELECT 1"))
		<-c.done
		return cmp.Equal([]string{"refused holder"}, out)
	})
	if _, held := b.State(); held {
		t.Error("the successor has the lock while a transaction is open")
	}
	open.run(backend.QueryMessage("INSERT INTO box (id, v) VALUES ('7', 'plum')"))
	out, end := open.run(backend.QueryMessage("COMMIT"))
	if diff := cmp.Diff([]string{"C COMMIT", "Z I"}, out); diff != "" || end.FloorUnrecorded {
		t.Errorf("commit while draining, with its floor recorded: %v (-want +got):\n%s", !end.FloorUnrecorded, diff)
	}
	<-drained
	awaitFloor(t, b, end.Position)
}
