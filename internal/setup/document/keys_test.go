package document

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// TestKeys adds and removes keys in texts of several YAML styles and compares the
// resulting text or error.
func TestKeys(t *testing.T) {
	var script struct {
		Verifier string `yaml:"verifier"`
		Cases    []struct {
			Name   string `yaml:"name"`
			Add    string `yaml:"add"`
			Remove string `yaml:"remove"`
			Text   string `yaml:"text"`
			Want   string `yaml:"want"`
			Error  string `yaml:"error"`
		} `yaml:"cases"`
	}
	scripted.Read(t, "testdata/keys.yaml", &script)
	for _, c := range script.Cases {
		t.Run(c.Name, func(t *testing.T) {
			got, err := RemoveKey(c.Text, "counter", c.Remove)
			if c.Add != "" {
				got, err = AddKey(c.Text, "counter", Key{ID: c.Add, Verifier: script.Verifier})
			}
			message := ""
			if err != nil {
				message = err.Error()
			}
			if diff := cmp.Diff(c.Error, message); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.Want, got); diff != "" {
				t.Errorf("text (-want +got):\n%s", diff)
			}
		})
	}
}
