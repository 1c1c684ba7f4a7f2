package evacuation

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// TestReports guards against a VM that takes a zone for evacuated, or for cancelled, by an older
// report or a restored store, and against one that gives itself time which is over.
func TestReports(t *testing.T) {
	var scripts []struct {
		Name  string `yaml:"name"`
		Steps []struct {
			At       clock.Millis                 `yaml:"at"`
			Revision uint64                       `yaml:"revision"`
			Era      uint64                       `yaml:"era"`
			Report   []member.Zone                `yaml:"report"`
			Since    map[member.Zone]clock.Millis `yaml:"since"`
			Zones    map[member.Zone]clock.Millis `yaml:"zones"`
		} `yaml:"steps"`
	}
	scripted.Read(t, "testdata/evacuation.yaml", &scripts)
	for _, script := range scripts {
		t.Run(script.Name, func(t *testing.T) {
			var s State
			for i, step := range script.Steps {
				if step.Revision > 0 {
					s = s.WithSet(Set{Revision: step.Revision, Era: step.Era, Zones: step.Report}, step.Since, step.At)
				}
				got := map[member.Zone]clock.Millis{}
				for _, z := range s.Zones(step.At) {
					if got[z], _ = s.Since(z, step.At); got[z] == clock.DistantPast {
						got[z] = -1
					}
				}
				if diff := cmp.Diff(step.Zones, got, cmpopts.EquateEmpty()); diff != "" {
					t.Errorf("zones after step %d (-want +got):\n%s", i+1, diff)
				}
			}
		})
	}
}

// TestAnyOrderOfReports guards against VMs that disagree for good because they got the reports of one store in different orders, some of them twice or never.
func TestAnyOrderOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []member.Zone{"a", "b", "c"}
		sets := []Set{{}}
		for i := range rapid.IntRange(1, 12).Draw(t, "changes") {
			c := Change{Zone: rapid.SampledFrom(zones).Draw(t, "zone"), Evacuated: rapid.Bool().Draw(t, "evacuated")}
			sets = append(sets, sets[i].With([]Change{c}, uint64(i+1), 1))
		}
		var s State
		for range rapid.IntRange(0, 20).Draw(t, "reports") {
			s = s.WithSet(rapid.SampledFrom(sets).Draw(t, "set"), nil, 1000)
		}
		s = s.WithSet(sets[len(sets)-1], nil, 2000)
		if diff := cmp.Diff(sets[len(sets)-1].Zones, s.Zones(2000), cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("zones (-want +got):\n%s", diff)
		}
	})
}
