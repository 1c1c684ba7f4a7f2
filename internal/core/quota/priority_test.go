package quota

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// TestPriorities guards against an account's urgent operations that are refused since its own less
// urgent ones have used its rate, and against a rate that is not used up because of that.
func TestPriorities(t *testing.T) {
	var cases []struct {
		Name   string    `yaml:"name"`
		VMs    int       `yaml:"vms"`
		Hint   float64   `yaml:"hint"`
		Demand []float64 `yaml:"demand"`
		Urgent float64   `yaml:"urgent"`
		All    []float64 `yaml:"all"`
	}
	scripted.Read(t, "testdata/priorities.yaml", &cases)
	const rate, burst, length = 50.0, 20.0, 20 * clock.Second
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			b := New(rate, burst, 0).WithVMs(c.VMs, 0).WithSeed(1)
			asked, served := make([]float64, len(c.Demand)), make([]float64, len(c.Demand))
			for now := clock.Millis(0); now < length; now++ {
				if now%roundInterval == 0 {
					b, _ = b.WithRound(now)
				}
				if c.Hint > 0 && now%roundInterval == 0 {
					// The relay counts the account as near its limit.
					b = b.WithHint(Hint{Demand: c.Hint}, now)
				}
				for priority, demand := range c.Demand {
					if random.Float64()*1000 >= demand {
						continue
					}
					asked[priority]++
					var ok bool
					if b, ok = b.WithTake(priority, now); ok {
						served[priority]++
					}
				}
			}
			sum := 0.0
			for _, n := range served {
				sum += n
			}
			if got := served[0] / math.Max(asked[0], 1); got < c.Urgent {
				t.Errorf("%.2f of the most urgent operations were served, want at least %.2f", got, c.Urgent)
			}
			if got := sum / length.Duration().Seconds(); got < c.All[0] || got > c.All[1] {
				t.Errorf("%.1f operations a second were served, want %.1f to %.1f", got, c.All[0], c.All[1])
			}
		})
	}
}
