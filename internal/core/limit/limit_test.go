package limit

import (
	"os"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// TestNeverMore lets VMs share an account on a network that delays and loses
// messages, with crashes, pauses and changes of owner, rate and burst. It checks
// that together they never serve more than one token bucket would, and that an owner
// never grants more than the limit.
func TestNeverMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.Bool().Draw(t, "rough"), 4,
			float64(rapid.SampledFrom([]int{2, 20, 200}).Draw(t, "rate")), float64(rapid.SampledFrom([]int{1, 7, 30}).Draw(t, "burst")))
		vm, length := rapid.IntRange(0, 3), rapid.SampledFrom([]int{40, 700, 6500})
		t.Repeat(map[string]func(*rapid.T){
			"pass":  func(t *rapid.T) { sim.advance(length.Draw(t, "ms"), [4]float64{0.3, 0.05, 0, 0.3}) },
			"flood": func(t *rapid.T) { sim.advance(length.Draw(t, "ms"), [4]float64{0.3, 0.3, 0.3, 0.3}) },
			"cut": func(t *rapid.T) {
				sim.vms[vm.Draw(t, "vm")].cutUntil = sim.now + clock.Millis(length.Draw(t, "ms"))
			},
			"quiet": func(t *rapid.T) { sim.advance(length.Draw(t, "ms"), [4]float64{}) },
			"move":  func(t *rapid.T) { sim.advance(length.Draw(t, "ms"), [4]float64{0, 0, 0.8, 0}) },
			"crash": func(t *rapid.T) { sim.restart(vm.Draw(t, "vm")) },
			"pause": func(t *rapid.T) {
				sim.vms[vm.Draw(t, "vm")].pausedUntil = sim.now + clock.Millis(length.Draw(t, "ms"))
			},
			"owner": func(t *rapid.T) { sim.owners = append(sim.owners, vm.Draw(t, "vm")) },
			"limit": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "seldom") == 0 {
					sim.setLimit(float64(rapid.IntRange(1, 200).Draw(t, "rate")), float64(rapid.IntRange(1, 30).Draw(t, "burst")))
				}
			},
			"": func(t *rapid.T) {
				if len(sim.faults) > 0 {
					t.Fatal(sim.faults[0])
				}
			},
		})
	})
}

// setLimit changes the limit. VMs may act on the old one for another 4*Expiry.
func (s *simulation) setLimit(rate, burst float64) {
	s.formerLimits = append(s.formerLimits, formerLimit{until: s.now + 4*Expiry, rate: s.rate, burst: s.burst})
	s.rate, s.burst = rate, burst
}

// advance steps by length milliseconds; in each, VM i gets a statement with
// probability chances[i], unless it is paused or 50 are waiting already.
func (s *simulation) advance(length int, chances [4]float64) {
	for range length {
		for i, v := range s.vms {
			if s.random.Float64() < chances[i] && len(v.waiting) < 50 && !s.paused(v) {
				s.addStatement(i)
			}
		}
		s.step()
	}
}

// phase is one part of a script: an event at its start, and a constant demand.
type phase struct {
	Name string `yaml:"name"`
	// Length is in milliseconds.
	Length int `yaml:"for"`
	// Rate is the new rate in statements per second; 0 keeps the rate. It is ignored
	// in a phase with Owner or Crash.
	Rate float64 `yaml:"rate"`
	// Owner makes a VM the owner, Crash restarts one, and Lost stops one for good and
	// removes it from the members.
	Owner *int `yaml:"owner"`
	Crash *int `yaml:"crash"`
	Lost  *int `yaml:"lost"`
	// Demand is the number of statements per second at each VM, evenly spaced.
	Demand []float64 `yaml:"demand"`
	// AllowRefusals allows refusals. MinServed is the fewest statements that must be
	// served, and MaxWait the longest wait allowed in milliseconds; 0 allows any.
	AllowRefusals bool         `yaml:"any"`
	MinServed     int          `yaml:"least"`
	MaxWait       clock.Millis `yaml:"wait"`
}

// script is a test case. Rate is in statements per second, Burst in statements.
type script struct {
	Name   string  `yaml:"name"`
	VMs    int     `yaml:"vms"`
	Rate   float64 `yaml:"rate"`
	Burst  float64 `yaml:"burst"`
	Phases []phase `yaml:"phases"`
}

// TestNoRefusal plays scripts and checks the statements served and refused and the
// longest wait of each phase. No statement may be refused, except in a phase with
// AllowRefusals, such as one with a demand above the rate.
func TestNoRefusal(t *testing.T) {
	raw, err := os.ReadFile("testdata/scripts.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var scripts []script
	if err := yaml.UnmarshalWithOptions(raw, &scripts, yaml.Strict()); err != nil {
		t.Fatal(err)
	}
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) {
			sim := newSimulation(1, false, s.VMs, s.Rate, s.Burst)
			for _, p := range s.Phases {
				sim.playPhase(t, p)
			}
			if diff := cmp.Diff([]string(nil), sim.faults); diff != "" {
				t.Errorf("faults (-want +got):\n%s", diff)
			}
		})
	}
}

func (s *simulation) playPhase(t *testing.T, p phase) {
	t.Helper()
	if p.Lost != nil {
		s.vms[*p.Lost].pausedUntil, s.removed = 1<<40, s.removed+1
	}
	switch {
	case p.Owner != nil:
		s.owners = append(s.owners, *p.Owner)
	case p.Crash != nil:
		s.restart(*p.Crash)
	case p.Rate > 0:
		s.setLimit(p.Rate, s.burst)
	}
	refusedBefore, servedBefore := s.refused, s.served
	s.longestWait = 0
	// arrivals holds the number of statements due at each VM. The VMs start with
	// different fractions, so that their statements do not arrive at the same time.
	arrivals := make([]float64, len(p.Demand))
	for i := range arrivals {
		arrivals[i] = float64(i) / float64(len(arrivals))
	}
	for range p.Length {
		for i, d := range p.Demand {
			for arrivals[i] += d / 1000; arrivals[i] >= 1; arrivals[i]-- {
				s.addStatement(i)
			}
		}
		s.step()
	}
	if !p.AllowRefusals && s.refused > refusedBefore || s.served-servedBefore < p.MinServed || p.MaxWait > 0 && s.longestWait > p.MaxWait {
		t.Errorf("phase %q failed", p.Name)
	}
	t.Logf("phase %q: served %d, refused %d, longest wait %d ms", p.Name, s.served-servedBefore, s.refused-refusedBefore, s.longestWait)
}

// TestLate checks that the validity of a part is counted from the time its report was
// sent, not from that of the answer, and that an answer repeated after the part has
// expired does not renew it.
func TestLate(t *testing.T) {
	h, r := NewHolder(0).WithDemand(0).WithReport("a", 1, 0)
	h = h.WithGrant(Grant{Number: r.Number, Rate: 10, Burst: 5, Tokens: 5}, 900)
	for _, step := range []struct {
		at   clock.Millis
		want bool
	}{{4999, true}, {5000, false}} {
		if _, got := h.WithTake(step.at); got != step.want {
			t.Errorf("token taken at %d ms: %v", step.at, got)
		}
	}
	if late := h.WithGrant(Grant{Number: r.Number, Rate: 10, Burst: 5, Tokens: 5}, 5000); late.Part(5000) != (Part{}) {
		t.Error("a repeated answer gave a part")
	}
}
