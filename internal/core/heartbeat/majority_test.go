package heartbeat

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// majorityCase is a case of majority.yaml, which describes the fields.
type majorityCase struct {
	Name      string       `yaml:"name"`
	Members   []string     `yaml:"members"`
	Old       []string     `yaml:"old"`
	Acting    []string     `yaml:"acting"`
	Restarted bool         `yaml:"restarted"`
	At        clock.Millis `yaml:"at"`
	Confirmed bool         `yaml:"confirmed"`
	Accepted  bool         `yaml:"accepted"`
}

// vmsNamed returns VMs, each the only one of its zone.
func vmsNamed(names []string) []member.VM {
	var out []member.VM
	for _, name := range names {
		out = append(out, member.VM{Name: name, Zone: member.Zone(name)})
	}
	return out
}

// state returns the state of VM a with the summaries of the other VMs.
func (c majorityCase) state() State {
	const version = 2
	s := New(vmsNamed([]string{"a"})[0], 0)
	if !c.Restarted {
		s, _ = s.WithMemberSet(MemberSet{Version: version - 1, Members: vmsNamed([]string{"x"})}, 0)
	}
	s, _ = s.WithMemberSet(MemberSet{Version: version, Members: vmsNamed(c.Members), OldMembers: vmsNamed(c.Old)}, 0)
	for _, name := range slices.DeleteFunc(slices.Clone(c.Acting), func(name string) bool { return name == "a" }) {
		summary := Summary{Version: version, Members: newBitset(vmsNamed(c.Members), name), OldMembers: newBitset(vmsNamed(c.Old), name)}
		s = s.withRoot(name, neighbour{lastReceived: c.At, summary: summary, summaryTime: c.At, summarySentAfter: c.At})
	}
	return s.withMajority(c.At)
}

// TestMajority plays majority.yaml: which VMs must act on a version before it is confirmed
// and accepted.
func TestMajority(t *testing.T) {
	var cases []majorityCase
	scripted.Read(t, "testdata/majority.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			s := c.state()
			got := []bool{s.CanAct(c.At), s.AcceptedVersion() == s.Version()}
			if diff := cmp.Diff([]bool{c.Confirmed, c.Accepted}, got); diff != "" {
				t.Errorf("confirmed and accepted (-want +got):\n%s", diff)
			}
		})
	}
}
