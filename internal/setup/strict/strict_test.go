package strict

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

type innerStruct struct {
	Name        string   `yaml:"name" validate:"required"`
	Connections int      `yaml:"connections" default:"20" validate:"min=2,max=100" unit:"connections"`
	Share       float64  `yaml:"share" default:"0.5" validate:"gt=0,max=1"`
	Mode        string   `yaml:"mode" default:"fast" validate:"oneof=fast safe"`
	Address     string   `yaml:"address" default:"127.0.0.1:1" validate:"ipport"`
	Open        bool     `yaml:"open"`
	Tags        []string `yaml:"tags" validate:"max=2"`
}

type outerStruct struct {
	List []innerStruct `yaml:"list" validate:"min=1,dive"`
	One  innerStruct   `yaml:"one"`
}

// TestDecode decodes valid texts and compares the values, and invalid ones and compares
// the error.
func TestDecode(t *testing.T) {
	var cases []struct {
		Name  string      `yaml:"name"`
		Text  string      `yaml:"text"`
		Error string      `yaml:"error"`
		Want  outerStruct `yaml:"want"`
	}
	scripted.Read(t, "testdata/decode.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			var got outerStruct
			message := ""
			if err := Decode("file", []byte(c.Text), &got); err != nil {
				message = err.Error()
			}
			if diff := cmp.Diff(c.Error, message); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
			if c.Error != "" {
				return
			}
			if diff := cmp.Diff(c.Want, got); diff != "" {
				t.Errorf("values (-want +got):\n%s", diff)
			}
		})
	}
}

// FuzzDecode checks that Decode does not panic on any text.
func FuzzDecode(f *testing.F) {
	f.Add("list:\n  - {name: a}\none: &x {name: b}\n")
	f.Add("list: [*x, <<: {a: b}]\n--- x\n? [a]\n: b")
	f.Fuzz(func(_ *testing.T, text string) {
		var got outerStruct
		_ = Decode("file", []byte(text), &got)
	})
}
