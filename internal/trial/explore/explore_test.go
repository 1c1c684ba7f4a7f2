package explore

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// bounds are the bounds of a case and the number of its VMs. There are three servers.
type bounds struct {
	VMs        int   `yaml:"vms"`
	Commits    uint8 `yaml:"commits"`
	Faults     uint8 `yaml:"faults"`
	Attempts   uint8 `yaml:"attempts"`
	Promotions uint8 `yaml:"promotions"`
}

func (b bounds) model(r Rules, s Surroundings) Model {
	return Model{
		Rules: r, Surroundings: s, Size: Size{VMs: b.VMs, Servers: 3},
		Bounds: Bounds{Commits: b.Commits, Faults: b.Faults, Attempts: b.Attempts, Promotions: b.Promotions},
	}
}

// outcome is what a search found.
type outcome struct {
	Broken, Complete bool
}

func (r Result) outcome() outcome {
	return outcome{Broken: r.Violation != "", Complete: r.Complete}
}

// TestMutants guards against a search that finds no lost commit although the named rules are off.
func TestMutants(t *testing.T) {
	var mutants []struct {
		Name        string   `yaml:"name"`
		Off         []string `yaml:"off"`
		ServerTerms bool     `yaml:"server-terms"`
		Bounds      bounds   `yaml:"bounds"`
	}
	scripted.Read(t, "testdata/mutants.yaml", &mutants)
	for _, c := range mutants {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			m := c.Bounds.model(AllRules().Without(c.Off...), Surroundings{ServerTerms: c.ServerTerms})
			r := m.Search(Options{})
			if diff := cmp.Diff(outcome{Broken: true}, r.outcome()); diff != "" {
				t.Errorf("outcome after %d states (-want +got):\n%s", r.States, diff)
			}
			if !strings.Contains(r.Violation, "LOST") {
				t.Errorf("violation %q, want LOST", r.Violation)
			}
		})
	}
}

// TestRulesHold guards against rules that together lose a commit, in each reading of the page and within small bounds.
func TestRulesHold(t *testing.T) {
	small := bounds{VMs: 1, Commits: 1, Faults: 1, Attempts: 2, Promotions: 2}
	pair := bounds{VMs: 2, Commits: 1, Faults: 1, Attempts: 1, Promotions: 1}
	cases := map[string]struct {
		bounds       bounds
		surroundings Surroundings
	}{
		"terms of commits":       {small, Surroundings{}},
		"terms of servers":       {small, Surroundings{ServerTerms: true}},
		"promotion ends pauses":  {small, Surroundings{ServerTerms: true, PromoteEndsPauses: true}},
		"replicas switch slowly": {small, Surroundings{SlowSwitch: true}},
		"two VMs":                {pair, Surroundings{ServerTerms: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := c.bounds.model(AllRules(), c.surroundings)
			r := m.Search(Options{})
			if diff := cmp.Diff(outcome{Complete: true}, r.outcome()); diff != "" {
				t.Errorf("outcome (-want +got):\n%s\n%v", diff, r.Steps)
			}
		})
	}
}

// TestWalkRepeats guards against random runs that a seed does not repeat.
func TestWalkRepeats(t *testing.T) {
	b := bounds{VMs: 2, Commits: 2, Faults: 2, Attempts: 3, Promotions: 3}
	m := b.model(Rules{}, Surroundings{})
	first, second := m.Walk(7, 20000, 60), m.Walk(7, 20000, 60)
	first.Elapsed, second.Elapsed = 0, 0
	if diff := cmp.Diff(first, second); diff != "" {
		t.Errorf("second walk (-first +second):\n%s", diff)
	}
	if first.Violation == "" {
		t.Error("the walk found nothing with all rules off")
	}
}
