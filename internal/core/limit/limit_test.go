package limit

import (
	"os"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// TestNeverMore lets VMs share an account on a rough network with crashes,
// pauses, changes of owner and of the rate, and compares what they serve with
// one bucket.
func TestNeverMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.Bool().Draw(t, "rough"), 4,
			float64(rapid.SampledFrom([]int{2, 20, 200}).Draw(t, "rate")), float64(rapid.SampledFrom([]int{1, 7, 30}).Draw(t, "burst")))
		vm, length := rapid.IntRange(0, 3), rapid.SampledFrom([]int{40, 700, 6500})
		t.Repeat(map[string]func(*rapid.T){
			"pass":  func(t *rapid.T) { w.advance(length.Draw(t, "ms"), [4]float64{0.3, 0.05, 0, 0.3}) },
			"flood": func(t *rapid.T) { w.advance(length.Draw(t, "ms"), [4]float64{0.3, 0.3, 0.3, 0.3}) },
			"cut": func(t *rapid.T) {
				w.vms[vm.Draw(t, "vm")].cutUntil = w.now + clock.Millis(length.Draw(t, "ms"))
			},
			"quiet": func(t *rapid.T) { w.advance(length.Draw(t, "ms"), [4]float64{}) },
			"move":  func(t *rapid.T) { w.advance(length.Draw(t, "ms"), [4]float64{0, 0, 0.8, 0}) },
			"crash": func(t *rapid.T) { w.restart(vm.Draw(t, "vm")) },
			"pause": func(t *rapid.T) {
				w.vms[vm.Draw(t, "vm")].pausedUntil = w.now + clock.Millis(length.Draw(t, "ms"))
			},
			"owner": func(t *rapid.T) { w.owners = append(w.owners, vm.Draw(t, "vm")) },
			"limit": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "seldom") == 0 {
					w.setLimit(float64(rapid.IntRange(1, 200).Draw(t, "rate")), float64(rapid.IntRange(1, 30).Draw(t, "burst")))
				}
			},
			"": func(t *rapid.T) {
				if len(w.faults) > 0 {
					t.Fatal(w.faults[0])
				}
			},
		})
	})
}

func (w *simulation) setLimit(rate, burst float64) {
	w.changes = append(w.changes, change{until: w.now + 4*Expiry, rate: w.rate, burst: w.burst})
	w.rate, w.burst = rate, burst
}

// advance lets time go by; each VM gets statements with the given chance in each
// millisecond.
func (w *simulation) advance(length int, chances [4]float64) {
	for range length {
		for i, n := range w.vms {
			if w.random.Float64() < chances[i] && len(n.waiting) < 50 && !w.paused(n) {
				w.demand(i)
			}
		}
		w.step()
	}
}

// phase is a stretch of time in a script.
type phase struct {
	Name   string  `yaml:"name"`
	Length int     `yaml:"for"`
	Rate   float64 `yaml:"rate"`
	// Owner makes a VM the owner; Crash restarts one, and Lost stops one for good.
	Owner *int `yaml:"owner"`
	Crash *int `yaml:"crash"`
	Lost  *int `yaml:"lost"`
	// Demand is statements per second at each VM, at even distances.
	Demand []float64 `yaml:"demand"`
	// AllowRefusals allows refusals. Least is the fewest statements served, Wait the longest
	// wait in milliseconds; 0 is any.
	AllowRefusals bool         `yaml:"any"`
	MinServed     int          `yaml:"least"`
	MaxWait       clock.Millis `yaml:"wait"`
}

type script struct {
	Name   string  `yaml:"name"`
	VMs    int     `yaml:"vms"`
	Rate   float64 `yaml:"rate"`
	Burst  float64 `yaml:"burst"`
	Phases []phase `yaml:"phases"`
}

// TestNoRefusal plays scripts in which demand is within the rate, and counts
// the refusals of each phase.
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
			w := newSimulation(1, false, s.VMs, s.Rate, s.Burst)
			for _, p := range s.Phases {
				w.playPhase(t, p)
			}
			if diff := cmp.Diff([]string(nil), w.faults); diff != "" {
				t.Errorf("faults (-want +got):\n%s", diff)
			}
		})
	}
}

func (w *simulation) playPhase(t *testing.T, p phase) {
	t.Helper()
	if p.Lost != nil {
		w.vms[*p.Lost].pausedUntil, w.removed = 1<<40, w.removed+1
	}
	switch {
	case p.Owner != nil:
		w.owners = append(w.owners, *p.Owner)
	case p.Crash != nil:
		w.restart(*p.Crash)
	case p.Rate > 0:
		w.setLimit(p.Rate, w.burst)
	}
	refused, served := w.refused, w.served
	w.longestWait = 0
	due := make([]float64, len(p.Demand))
	for i := range due {
		due[i] = float64(i) / float64(len(due))
	}
	for range p.Length {
		for i, d := range p.Demand {
			for due[i] += d / 1000; due[i] >= 1; due[i]-- {
				w.demand(i)
			}
		}
		w.step()
	}
	if !p.AllowRefusals && w.refused > refused || w.served-served < p.MinServed || p.MaxWait > 0 && w.longestWait > p.MaxWait {
		t.Errorf("phase %q failed", p.Name)
	}
	t.Logf("phase %q: served %d, refused %d, longest wait %d ms", p.Name, w.served-served, w.refused-refused, w.longestWait)
}

// TestLate checks that a part counts from before its report was sent, however
// late the answer, and is gone after a pause.
func TestLate(t *testing.T) {
	h, r := NewHolder(0).WithDemand(0).WithReport("a", 1, 0)
	h = h.WithGrant(Grant{Number: r.Number, Rate: 10, Burst: 5, Tokens: 5}, 900)
	for _, step := range []struct {
		at   clock.Millis
		want bool
	}{{4999, true}, {5000, false}} {
		if _, got := h.WithTake(step.at); got != step.want {
			t.Errorf("a token at %d ms: %v", step.at, got)
		}
	}
	if late := h.WithGrant(Grant{Number: r.Number, Rate: 10, Burst: 5, Tokens: 5}, 5000); late.Part(5000) != (Part{}) {
		t.Error("an answer that came twice gave a part")
	}
}
