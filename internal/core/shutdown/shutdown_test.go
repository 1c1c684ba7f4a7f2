package shutdown

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// TestScripts guards against a planned stop that takes statements which it would cut.
func TestScripts(t *testing.T) {
	var scripts []struct {
		Name  string       `yaml:"name"`
		Stop  clock.Millis `yaml:"stop"`
		Takes []struct {
			At      clock.Millis `yaml:"at"`
			Timeout clock.Millis `yaml:"timeout"`
			Taken   bool         `yaml:"taken"`
		} `yaml:"takes"`
		Idle clock.Millis `yaml:"idle"`
		End  clock.Millis `yaml:"end"`
	}
	scripted.Read(t, "testdata/stops.yaml", &scripts)
	for _, script := range scripts {
		t.Run(script.Name, func(t *testing.T) {
			const start = 100_000
			s := New(start, script.Stop)
			if diff := cmp.Diff([]clock.Millis{script.Idle, script.End}, []clock.Millis{s.IdleEnd() - start, s.End() - start}); diff != "" {
				t.Errorf("end of idle sessions, end (-want +got):\n%s", diff)
			}
			for _, c := range script.Takes {
				if diff := cmp.Diff(c.Taken, s.Takes(start+c.At, c.Timeout)); diff != "" {
					t.Errorf("at %d, timeout %d: taken (-want +got):\n%s", c.At, c.Timeout, diff)
				}
			}
		})
	}
}
