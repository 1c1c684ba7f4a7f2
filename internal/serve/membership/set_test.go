package membership

import (
	"os"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

func vmsOf(names string) []member.VM {
	var out []member.VM
	for _, name := range strings.Fields(names) {
		out = append(out, member.VM{Name: name})
	}
	return out
}

// TestNextMemberSet checks which members that are not on the platform's list are removed
// in the next member set and which have to stay.
func TestNextMemberSet(t *testing.T) {
	text, err := os.ReadFile("testdata/sets.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name    string `yaml:"name"`
		Members string `yaml:"members"`
		List    string `yaml:"list"`
		Ended   string `yaml:"ended"`
		Want    string `yaml:"want"`
	}
	if err := yaml.UnmarshalWithOptions(text, &cases, yaml.Strict()); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			ended := strings.Fields(c.Ended)
			next := nextMemberSet(vmsOf(c.Members), vmsOf(c.List), func(name string) bool {
				for _, e := range ended {
					if e == name {
						return true
					}
				}
				return false
			})
			var got []string
			for _, v := range next {
				got = append(got, v.Name)
			}
			if diff := cmp.Diff(c.Want, strings.Join(got, " ")); diff != "" {
				t.Errorf("next member set (-want +got):\n%s", diff)
			}
		})
	}
}
