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

// TestRun runs an experiment that cannot meet its required share of reads on replicas.
// It must fail and still print its results.
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
	var out, errOut bytes.Buffer
	code := Main([]string{"run", path, "--short", "--json", "--seed", "9"}, &out, &errOut)
	if code != shell.ExitFailed || !strings.Contains(errOut.String(), "broke a promise: replicas served") {
		t.Errorf("exit code %d, %s", code, errOut.String())
	}
	var r struct {
		Seed   uint64 `json:"seed"`
		Writes int    `json:"writes"`
	}
	if err := json.Unmarshal(out.Bytes(), &r); err != nil || r.Seed != 9 || r.Writes == 0 {
		t.Errorf("%v: %s", err, out.String())
	}
}

// TestRunMistakes checks the exit codes for an invalid command line and an invalid file.
func TestRunMistakes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "wrong.yaml")
	if err := os.WriteFile(path, []byte("vms: none\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for want, arguments := range map[int][]string{shell.ExitUsage: {"run"}, shell.ExitFailed: {"run", path}} {
		var out, errOut bytes.Buffer
		if got := Main(arguments, &out, &errOut); got != want {
			t.Errorf("%v: exit code %d, want %d: %s", arguments, got, want, errOut.String())
		}
	}
}
