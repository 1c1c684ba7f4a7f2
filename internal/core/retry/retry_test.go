package retry

import (
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// script is a test case of retry.yaml: the attempts of one request.
type script struct {
	Name  string `yaml:"name"`
	Steps []struct {
		Reason       string       `yaml:"reason"`
		Remaining    clock.Millis `yaml:"left"`
		MoreServers  bool         `yaml:"others"`
		WithinBudget bool         `yaml:"paid"`
		Charged      bool         `yaml:"charged"`
		Want         Action       `yaml:"want"`
		MinPause     clock.Millis `yaml:"least"`
		MaxPause     clock.Millis `yaml:"most"`
	} `yaml:"steps"`
}

// errorOf returns the error that stands for a reason of a script.
func errorOf(reason string) error {
	switch reason {
	case "unknown":
		return &outcome.Unknown{}
	case "failed":
		return &outcome.Failed{}
	case "caller":
		return io.EOF
	}
	return &outcome.NotRun{Reason: outcome.Reason(reason)}
}

// TestScripts plays attempts with many seeds and checks the actions and pauses.
func TestScripts(t *testing.T) {
	var scripts []script
	scripted.Read(t, "testdata/retry.yaml", &scripts)
	for _, p := range scripts {
		t.Run(p.Name, func(t *testing.T) {
			for seed := range uint64(100) {
				r := New(seed)
				for i, s := range p.Steps {
					var got Action
					var pause clock.Millis
					a := Attempt{Err: errorOf(s.Reason), Remaining: s.Remaining, MoreServers: s.MoreServers, WithinBudget: s.WithinBudget}
					if diff := cmp.Diff(s.Charged, a.ChargesBudget()); diff != "" {
						t.Errorf("step %d, charged to the budget (-want +got):\n%s", i, diff)
					}
					r, got, pause = r.WithAttempt(a)
					if diff := cmp.Diff(s.Want, got); diff != "" {
						t.Fatalf("seed %d, step %d (-want +got):\n%s", seed, i, diff)
					}
					if pause < s.MinPause || pause > s.MaxPause {
						t.Fatalf("seed %d, step %d: a pause of %d ms is not within %d to %d", seed, i, pause, s.MinPause, s.MaxPause)
					}
				}
			}
		})
	}
}

// TestSpread checks that requests that fail at the same time do not all retry at the
// same time. The retry budget does not cover them, so their pauses are between
// half of MaxBackoff and MaxBackoff.
func TestSpread(t *testing.T) {
	counts := map[clock.Millis]int{}
	for seed := range uint64(1000) {
		_, _, pause := New(seed).WithAttempt(Attempt{Err: errorOf("server"), Remaining: clock.Second})
		counts[pause]++
	}
	for pause, n := range counts {
		if n > 60 {
			t.Errorf("%d of 1000 requests wait %d ms, want at most 60", n, pause)
		}
	}
}
