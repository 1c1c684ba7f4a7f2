package freshness

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// copyCase is a case of copies.yaml: reports about a record, and the expected Copy after them.
type copyCase struct {
	Name    string   `yaml:"name"`
	Reports []report `yaml:"reports"`
	// Version, Age and By are the version, its age at Now and ConfirmedBy; By is empty for a copy
	// that was never confirmed.
	Now     clock.Millis `yaml:"now"`
	Version uint64       `yaml:"version"`
	Age     clock.Millis `yaml:"age"`
	By      string       `yaml:"by"`
}

// report is a version that a VM got from a source, or one that the store had nothing later than
// at the time at.
type report struct {
	Adopt   uint64       `yaml:"adopt"`
	Confirm uint64       `yaml:"confirm"`
	At      clock.Millis `yaml:"at"`
	By      string       `yaml:"by"`
}

// result is the version of a Copy, its age at some time, and its ConfirmedBy.
type result struct {
	Version uint64
	Age     clock.Millis
	By      string
}

// TestCopies plays the cases of copies.yaml.
func TestCopies(t *testing.T) {
	var cases []copyCase
	scripted.Read(t, "testdata/copies.yaml", &cases)
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			c := New()
			for _, r := range tc.Reports {
				if r.Adopt > 0 {
					c = c.WithVersion(r.Adopt, r.By, r.At)
					continue
				}
				c = c.WithConfirmation(r.Confirm, r.At, r.By)
			}
			got := result{Version: c.Version, By: c.ConfirmedBy}
			if c.IsConfirmed() {
				got.Age = c.Age(tc.Now)
			}
			if diff := cmp.Diff(result{Version: tc.Version, Age: tc.Age, By: tc.By}, got); diff != "" {
				t.Errorf("version, age and who confirmed it (-want +got):\n%s", diff)
			}
		})
	}
}
