package choice

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// script is a test case of choice.yaml.
type script struct {
	Name    string         `yaml:"name"`
	Write   bool           `yaml:"write"`
	Floor   floor.Position `yaml:"floor"`
	Servers []struct {
		Name       string         `yaml:"name"`
		Zone       member.Zone    `yaml:"zone"`
		Region     string         `yaml:"region"`
		Primary    bool           `yaml:"primary"`
		Leaving    bool           `yaml:"leaving"`
		Tried      bool           `yaml:"tried"`
		Term       floor.Term     `yaml:"term"`
		Applied    floor.Position `yaml:"applied"`
		AppliedAt  clock.Millis   `yaml:"seen"`
		ApplyRate  float64        `yaml:"rate"`
		AvoidUntil clock.Millis   `yaml:"avoid"`
		InFlight   int            `yaml:"waiting"`
	} `yaml:"servers"`
	Want string `yaml:"want"`
}

// term is the term of the floor, and of servers that give none.
const term = 2

func (p script) choose() string {
	servers, tried := []Server{}, map[string]bool{}
	for _, s := range p.Servers {
		if s.Term == 0 {
			s.Term = term
		}
		servers = append(servers, Server{
			Name: s.Name, Zone: s.Zone, Region: s.Region, Primary: s.Primary, Leaving: s.Leaving,
			Applied: floor.ReplicationPosition{Term: s.Term, Position: s.Applied}, AppliedAt: s.AppliedAt, ApplyRate: s.ApplyRate, AvoidUntil: s.AvoidUntil, InFlight: s.InFlight, Slots: 2,
		})
		tried[s.Name] = s.Tried
	}
	if p.Write {
		return ForWrite(servers, tried)
	}
	return ForRead(servers, ReadRequest{Floor: floor.ReplicationPosition{Term: term, Position: p.Floor}, Zone: "a", Region: "r", Now: 1000, MaxWait: 50, Tried: tried})
}

// TestScripts checks which server is selected for reads and writes.
func TestScripts(t *testing.T) {
	var scripts []script
	scripted.Read(t, "testdata/choice.yaml", &scripts)
	for _, p := range scripts {
		t.Run(p.Name, func(t *testing.T) {
			if diff := cmp.Diff(p.Want, p.choose()); diff != "" {
				t.Errorf("choice (-want +got):\n%s", diff)
			}
		})
	}
}

// TestEqualServersShareLoad checks that requests spread over servers that are equal.
func TestEqualServersShareLoad(t *testing.T) {
	const requests = 4000
	servers := []Server{{Name: "w"}, {Name: "x"}, {Name: "y"}, {Name: "z"}}
	chosen := map[string]int{}
	for salt := range uint64(requests) {
		chosen[ForRead(servers, ReadRequest{Salt: salt})]++
	}
	for _, s := range servers {
		if n := chosen[s.Name]; n < requests/5 || n > requests/3 {
			t.Errorf("server %s got %d of %d requests", s.Name, n, requests)
		}
	}
}
