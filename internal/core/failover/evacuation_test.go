package failover

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// TestEvacuationLosesNothing guards against the loss of commits because a server that stays, or is outside the
// evacuated zones, is promoted over a longer log, and against a server of such a zone that is
// promoted without need.
func TestEvacuationLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := []Server{{ID: "p", FormerPrimary: true}, {ID: "q"}, {ID: "r"}}
		var committed floor.ReplicationPosition
		var a Acknowledged
		for now := range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "server")
			switch rapid.SampledFrom([]string{"commit", "commit", "commit", "end", "sample", "seal", "release", "evacuate", "leave"}).Draw(t, "step") {
			case "commit":
				if !servers[0].Sealed && !a.Complete {
					position := commit(t, servers, 1, floor.ReplicationPosition{})
					committed, a.Position = committed.Max(position), a.Position.Max(position)
				}
			case "end":
				a.Position, a.Departed, a.DepartedUnknown = floor.ReplicationPosition{}, floor.ReplicationPosition{}, true
			case "sample":
				if a.DepartedUnknown && !servers[0].Sealed {
					a.Departed, a.DepartedUnknown = servers[0].LogEnd, false
				}
			case "seal":
				servers[i].Sealed = true
			case "release":
				a.Complete = true
			case "leave":
				servers[i].Leaving, servers[i].LeavingSince = true, clock.Millis(now)
			case "evacuate":
				servers[i].Evacuated = !servers[i].Evacuated
			}
			target := PromotionTarget(servers, 1, a)
			if !SafeToPromote(servers, 1) {
				continue
			}
			outside := false
			for _, s := range servers {
				outside = outside || s.Sealed && !s.Evacuated
			}
			for _, s := range servers {
				if s.ID == target && !s.LogEnd.Covers(committed) {
					t.Fatalf("%s at %s would be promoted, but %s was acknowledged; the servers are %v", s.ID, s.LogEnd, committed, servers)
				}
				if s.ID == target && s.Evacuated && !outside {
					t.Fatalf("%s of an evacuated zone would be promoted, and none can follow; the servers are %v", s.ID, servers)
				}
				if target != "" && s.ID == target && s.Evacuated && a.Complete && !a.DepartedUnknown {
					for _, o := range servers {
						if o.Sealed && !o.Evacuated && !o.FormerPrimary && o.LogEnd.Covers(committed) && o.LogEnd.Covers(a.Departed) {
							t.Fatalf("%s of an evacuated zone would be promoted, and not %s; the servers are %v", s.ID, o.ID, servers)
						}
					}
				}
			}
		}
	})
}
