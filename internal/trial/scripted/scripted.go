// Package scripted reads the YAML files that hold the cases of table-driven tests.
package scripted

import (
	"os"
	"testing"

	"github.com/goccy/go-yaml"
)

// Read decodes a YAML file into the value that target points to. The test fails at
// once if the file cannot be read or has an unknown key.
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
