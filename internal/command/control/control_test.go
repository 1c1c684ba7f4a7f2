package control

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/verifier"
	"github.com/sycamoredoor/sycamoredoor/internal/standin/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/system"
)

// commandLine is one command line and its expected output.
type commandLine struct {
	Run string `yaml:"run"`
	// Token is the value of TokenVariable.
	Token string `yaml:"token"`
	// Files are written before the command runs, by path.
	Files map[string]string `yaml:"files"`
	// Editor is the value of $EDITOR.
	Editor string `yaml:"editor"`
	Code   int    `yaml:"code"`
	Out    string `yaml:"out"`
	ErrOut string `yaml:"fault"`
	// Stop, unless 0, is the number of a VM that is stopped before the command runs.
	Stop int `yaml:"stop"`
}

// variableParts match the parts of the output that differ from run to run.
var variableParts = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`), "TIME"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`SCRAM-SHA-256\$[^"]+`), "VERIFIER"},
	{regexp.MustCompile(`(?m)^token: [\w-]{43}$`), "token: TOKEN"},
	{regexp.MustCompile(`SHA-256\$[0-9a-f]{64}`), "HASH"},
	{regexp.MustCompile(`\b[A-Z2-7]{26}\b`), "RANDOM"},
	{regexp.MustCompile(`\S*sycamorectl-\w+-\d+\.yaml`), "KEPT"},
	{regexp.MustCompile(`(?m)[ \t]+$`), ""},
}

// normalize replaces the variable parts of an output.
func normalize(text string) string {
	for _, v := range variableParts {
		text = v.pattern.ReplaceAllString(text, v.replacement)
	}
	return text
}

// startInstallation starts an installation of four VMs, which ends with the test. stop
// maps the number of a VM to the function that stops it alone; only VM 4 has one.
func startInstallation(t *testing.T) (s *system.System, stop map[int]func()) {
	t.Helper()
	t.Cleanup(invariant.SetHandler(func(n invariant.Name, detail string) { t.Errorf("invariant %s: %s", n, detail) }))
	ctx, cancel := context.WithCancel(context.Background())
	s, err := system.New(ctx, system.Options{
		Places:        []system.Place{{Zone: "abbotsford", Region: "mainland"}, {Zone: "chilliwack", Region: "mainland"}, {Zone: "kelowna", Region: "okanagan"}},
		Databases:     []string{"orders"},
		Servers:       backend.Options{Slots: 3, Connections: 20},
		Accounts:      []system.Account{{Name: "counter", Key: "jelly", Rate: 100, Burst: 10, Weight: 1}},
		RoutesSection: "routes:\n  - {name: box, database: orders, kind: write} # the box\n",
		OperatorsSection: "operators:\n  - {name: owner, sections: [operators, routes], verifier: " + verifier.HashToken("owner") + "}\n" +
			"  - {name: finance, sections: [accounts], verifier: " + verifier.HashToken("finance") + "}\n",
	})
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	// The fourth VM has its own context, so that it can be stopped alone.
	vm4Context, stopVM4 := context.WithCancel(ctx)
	if _, err := s.StartVM(vm4Context, "vm4", system.Place{Zone: "kelowna", Region: "okanagan"}); err != nil {
		t.Fatal(err)
	}
	if err := s.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stopVM4()
		cancel()
		if err := s.Wait(10 * time.Second); err != nil {
			t.Error(err)
		}
	})
	return s, map[int]func(){4: func() { stopVM4(); <-s.VMs[3].Done() }}
}

// TestCommandLines runs command lines against an installation and compares exit code,
// output and error output.
func TestCommandLines(t *testing.T) {
	var lines []commandLine
	scripted.Read(t, "testdata/lines.yaml", &lines)
	s, stop := startInstallation(t)
	t.Chdir(t.TempDir())
	t.Setenv("TMPDIR", t.TempDir())
	t.Setenv("SYCAMOREDOOR_ADDRESS", s.VMs[0].OperatorURL())
	for _, l := range lines {
		for name, text := range l.Files {
			if err := os.MkdirAll(filepath.Dir(name), 0o700); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if l.Stop > 0 {
			stop[l.Stop]()
		}
		t.Setenv(TokenVariable, l.Token)
		t.Setenv("EDITOR", l.Editor)
		var out, errOut bytes.Buffer
		code := Main(strings.Fields(l.Run), &out, &errOut)
		if diff := cmp.Diff(l.Code, code); diff != "" {
			t.Errorf("%s: exit code (-want +got):\n%s", l.Run, diff)
		}
		if diff := cmp.Diff(l.Out, normalize(out.String())); diff != "" {
			t.Errorf("%s: output (-want +got):\n%s", l.Run, diff)
		}
		if diff := cmp.Diff(l.ErrOut, normalize(errOut.String())); diff != "" {
			t.Errorf("%s: error output (-want +got):\n%s", l.Run, diff)
		}
	}
}
