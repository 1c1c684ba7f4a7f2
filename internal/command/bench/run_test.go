package bench

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/command/shell"
)

// TestRun runs an experiment whose bound on reads cannot be kept, which must fail
// and still print what was measured.
func TestRun(t *testing.T) {
	source, err := os.ReadFile("../../trial/experiment/testdata/tiny.yaml")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "strict.yaml")
	text := strings.NewReplacer("replicas: 0.2", "replicas: 1", "lag: 20", "lag: 900").Replace(string(source))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, fault bytes.Buffer
	code := Main([]string{"run", path, "--short", "--json", "--seed", "9"}, &out, &fault)
	if code != shell.ExitFailed || !strings.Contains(fault.String(), "broke a promise: replicas served") {
		t.Errorf("exit code %d, %s", code, fault.String())
	}
	var r struct {
		Seed   uint64 `json:"seed"`
		Writes int    `json:"writes"`
	}
	if err := json.Unmarshal(out.Bytes(), &r); err != nil || r.Seed != 9 || r.Writes == 0 {
		t.Errorf("%v: %s", err, out.String())
	}
}

// TestRunMistakes checks the exit codes of a wrong command line and a wrong file.
func TestRunMistakes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "wrong.yaml")
	if err := os.WriteFile(path, []byte("vms: none\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for want, arguments := range map[int][]string{shell.ExitUsage: {"run"}, shell.ExitFailed: {"run", path}} {
		var out, fault bytes.Buffer
		if got := Main(arguments, &out, &fault); got != want {
			t.Errorf("%v: exit code %d, want %d: %s", arguments, got, want, fault.String())
		}
	}
}
