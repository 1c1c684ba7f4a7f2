package choice

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/regions"
)

// drawServers draws the servers of a group, with few different values, so that costs are often
// equal, and what a read requires of them.
func drawServers(t *rapid.T) ([]Candidate, Requirements) {
	pick := rapid.IntRange(0, 2)
	zones, names := []member.Zone{"a", "b", "c"}, []string{"x", "y", "y"}
	r := Requirements{
		Floor: floor.ReplicationPosition{Term: 2, Position: 1}, Zone: zones[pick.Draw(t, "zone")], Region: names[pick.Draw(t, "region")],
		Tried: map[string]bool{},
	}
	if rapid.Bool().Draw(t, "constrained") {
		r.Allowed = regions.Only([]string{names[pick.Draw(t, "allowed")]})
	}
	var servers []Candidate
	for i := range rapid.IntRange(0, 4).Draw(t, "servers") {
		s := Candidate{
			Name: fmt.Sprintf("s%d", i), Zone: zones[pick.Draw(t, "zone")], Region: names[pick.Draw(t, "region")],
			Primary: pick.Draw(t, "primary") == 0, Leaving: pick.Draw(t, "leaving") == 0, Avoided: pick.Draw(t, "avoided") == 0,
			Applied:    floor.ReplicationPosition{Term: 2, Position: floor.Position(pick.Draw(t, "applied"))},
			AppliedAge: clock.Millis(pick.Draw(t, "age")) * knownBehindFor, Latency: float64(pick.Draw(t, "latency")) * 6,
			InFlight: pick.Draw(t, "in flight"), Slots: pick.Draw(t, "slots"),
		}
		r.Tried[s.Name] = pick.Draw(t, "tried") == 0
		servers = append(servers, s)
	}
	return servers, r
}

// TestExplainedChoice guards against an explanation that names another server than the one that
// reads go to, and against costs or exclusions that do not lead to that server.
func TestExplainedChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers, r := drawServers(t)
		chosen, cheapest := "", -1
		verdicts := ExplainCheapest(servers, r)
		for i, v := range verdicts {
			if v.Chosen {
				chosen += servers[i].Name
			}
			// The names are in order, so the first of several equal ones is chosen.
			if v.Exclusion == "" && (cheapest < 0 || v.Cost.Total() < verdicts[cheapest].Cost.Total()) {
				cheapest = i
			}
		}
		want := ""
		if cheapest >= 0 {
			want = servers[cheapest].Name
		}
		if d := cmp.Diff(CheapestServer(servers, r), chosen); d != "" {
			t.Fatalf("chosen (-real +explained):\n%s", d)
		}
		if d := cmp.Diff(want, chosen); d != "" {
			t.Fatalf("chosen (-by costs +explained):\n%s", d)
		}
	})
}

// TestCostParts guards against a part of the cost that is shown under another name, or lost.
func TestCostParts(t *testing.T) {
	r := Requirements{Floor: floor.ReplicationPosition{Term: 2, Position: 5}, Zone: "a", Region: "x"}
	s := Candidate{Name: "s", Zone: "b", Region: "x", Latency: 4, InFlight: 1, Slots: 2, AppliedAge: knownBehindFor, Avoided: true}
	want := Cost{Latency: 6, Distance: costZone, Role: costMaybeBehind, Failure: costAvoided}
	got := ExplainCheapest([]Candidate{s}, r)[0]
	if d := cmp.Diff(want, got.Cost); d != "" {
		t.Errorf("cost (-want +got):\n%s", d)
	}
	if d := cmp.Diff(6+costZone+costMaybeBehind+costAvoided, got.Cost.Total()); d != "" {
		t.Errorf("total (-want +got):\n%s", d)
	}
}
