package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

type readCase struct {
	Name  string `yaml:"name"`
	Text  string `yaml:"text"`
	Error string `yaml:"error"`
}

func cases(t *testing.T) []readCase {
	t.Helper()
	var out []readCase
	scripted.Read(t, "testdata/read.yaml", &out)
	return out
}

// TestRead reads valid and invalid settings files and compares the error.
func TestRead(t *testing.T) {
	folder := t.TempDir()
	file := filepath.Join(folder, "vm.yaml")
	for _, c := range cases(t) {
		t.Run(c.Name, func(t *testing.T) {
			if err := os.WriteFile(file, []byte(c.Text), 0o600); err != nil {
				t.Fatal(err)
			}
			got := ""
			if _, err := Read(file); err != nil {
				got = strings.ReplaceAll(err.Error(), folder+string(filepath.Separator), "")
			}
			if diff := cmp.Diff(c.Error, got); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSource reads a text from an environment variable; an empty variable is an error.
func TestSource(t *testing.T) {
	t.Setenv("VM_KEY", "text")
	got, err := Source{Env: "VM_KEY"}.Load()
	if diff := cmp.Diff("text", string(got)); err != nil || diff != "" {
		t.Errorf("environment: %v (-want +got):\n%s", err, diff)
	}
	t.Setenv("VM_KEY", "")
	if _, err := (Source{Env: "VM_KEY"}).Load(); err == nil {
		t.Error("an empty environment variable was accepted")
	}
}

// TestToken checks that white space around a bootstrap token is removed, and that a
// token short enough to be guessed is refused.
func TestToken(t *testing.T) {
	t.Setenv("BOOTSTRAP", " 0123456789abcdef0123456789abcdef\n")
	got, err := Operators{Bootstrap: &Source{Env: "BOOTSTRAP"}}.BootstrapToken()
	if diff := cmp.Diff("0123456789abcdef0123456789abcdef", got); err != nil || diff != "" {
		t.Errorf("token: %v (-want +got):\n%s", err, diff)
	}
	t.Setenv("BOOTSTRAP", "secret")
	if _, err := (Operators{Bootstrap: &Source{Env: "BOOTSTRAP"}}).BootstrapToken(); err == nil {
		t.Error("a short token was accepted")
	}
}
