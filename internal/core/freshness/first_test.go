package freshness

import (
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// TestFirst guards against VMs that start together and all read a large configuration from the store at once, and against VMs that wait for a copy for ever.
func TestFirst(t *testing.T) {
	var cases []struct {
		Name    string       `yaml:"name"`
		VMs     int          `yaml:"vms"`
		EarlyAt clock.Millis `yaml:"earlyAt"`
		Early   int          `yaml:"early"`
		All     clock.Millis `yaml:"all"`
	}
	scripted.Read(t, "testdata/first.yaml", &cases)
	for _, c := range cases {
		reading := func(now clock.Millis) int {
			n := 0
			for i := range c.VMs {
				if NewFirst(float64(i)/float64(c.VMs), 0).Reads(c.VMs, now) {
					n++
				}
			}
			return n
		}
		if got := reading(c.EarlyAt); got > c.Early {
			t.Errorf("%s: %d VMs read the store after %d ms, want at most %d", c.Name, got, c.EarlyAt, c.Early)
		}
		if got := reading(c.All); got != c.VMs {
			t.Errorf("%s: %d of %d VMs read the store after %d ms", c.Name, got, c.VMs, c.All)
		}
	}
}
