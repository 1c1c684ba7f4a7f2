package membership

import (
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/heartbeat"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/broken"
)

// TestBrokenVersion goes back to an earlier version.
func TestBrokenVersion(t *testing.T) {
	self := member.VM{Name: "vm1", Zone: "abbotsford"}
	m := New(Options{Self: self, Clock: clock.System()})
	set := func(version uint64) {
		m.step(func(_ heartbeat.State, now clock.Millis) (heartbeat.State, []heartbeat.Message) {
			return heartbeat.New(self, now).WithMemberSet(heartbeat.MemberSet{Version: version, Members: []member.VM{self}}, now)
		})
	}
	set(8)
	broken.ExpectViolation(t, invariant.ConfigForward, func() { set(7) })
}
