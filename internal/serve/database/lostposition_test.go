package database

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

// TestLostPositionIsForgotten guards against attempts that look for a position which is lost for good, because a VM that probes no server reports it again.
func TestLostPositionIsForgotten(t *testing.T) {
	f := &fakeGroup{}
	other, g := f.group(t, 4), f.group(t, 4)
	if err := other.recordCommit("p", floor.ReplicationPosition{Term: 1, Position: 7}, other.options.Clock.Now()); err != nil {
		t.Fatal(err)
	}
	g.MergeView(Sender{VM: "vm2", Process: 1}, other.View(), nil)
	status := statement.ReplicationStatus{Primary: true, Term: 2, Sealed: 2, Received: floor.ReplicationPosition{Term: 1, Position: 5}}
	g.recordStatus("r", status, g.options.Clock.Now())
	forgotten := g.acknowledgedPosition()
	other.MergeView(Sender{VM: "vm", Process: 1}, g.View(), nil)
	g.MergeView(Sender{VM: "vm2", Process: 1}, other.View(), nil)
	if diff := cmp.Diff([]floor.ReplicationPosition{{}, {}}, []floor.ReplicationPosition{forgotten, g.acknowledgedPosition()}); diff != "" {
		t.Errorf("required position after the status, and after the next message (-want +got):\n%s", diff)
	}
}
