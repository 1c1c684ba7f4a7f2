package holder

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
)

// TestLeave gives a server up under an open transaction, which ends before the
// successor has the lock; a new one is refused at once, so that it runs there.
func TestLeave(t *testing.T) {
	_, servers := group(t, "one", "two", "three")
	a, stop := holdUntil(t, Options{Server: servers[0], VM: "a"})
	await(t, "a holds", func() bool { _, held := a.State(); return held })
	b, _ := holdUntil(t, Options{Server: servers[0], VM: "b"})
	open := begin(a, member7)
	open.run(backend.QueryMessage("BEGIN"))
	left := make(chan struct{})
	go func() {
		defer close(left)
		a.Leave(20 * clock.Second)
		stop()
	}()
	await(t, "a refuses", func() bool {
		c := begin(a, member7)
		out, _ := c.run(backend.QueryMessage("SELECT 1"))
		<-c.done
		return cmp.Equal([]string{"refused holder"}, out)
	})
	if _, held := b.State(); held {
		t.Error("the successor holds while a transaction is open")
	}
	open.run(backend.QueryMessage("INSERT INTO box (id, v) VALUES ('7', 'plum')"))
	out, end := open.run(backend.QueryMessage("COMMIT"))
	if diff := cmp.Diff([]string{"C COMMIT", "Z I"}, out); diff != "" || end.Unrecorded {
		t.Errorf("the commit while leaving, recorded %v (-want +got):\n%s", !end.Unrecorded, diff)
	}
	<-left
	awaitFloor(t, b, end.Mark)
}
