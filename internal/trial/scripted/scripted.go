// Package scripted reads the scripts of tests from their data files.
package scripted

import (
	"os"
	"testing"

	"github.com/goccy/go-yaml"
)

// Read decodes a YAML file into what target points to. An unknown key or a file
// that cannot be read ends the test.
func Read(t testing.TB, file string, target any) {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := yaml.UnmarshalWithOptions(data, target, yaml.Strict()); err != nil {
		t.Fatalf("%s: %v", file, err)
	}
}
