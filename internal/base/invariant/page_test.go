package invariant

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const (
	root = "../../.."
	none = "none yet"
)

// row is a promise of the page: whether it says that there is a check, and a
// test that breaks the promise on purpose.
type row struct{ Check, Broken bool }

// TestPage compares docs/INVARIANTS.md with the code.
func TestPage(t *testing.T) {
	page, err := os.ReadFile(root + "/docs/INVARIANTS.md")
	if err != nil {
		t.Fatal(err)
	}
	program, tests := sources(t)
	want := map[string]row{}
	for constant, name := range promises(t) {
		use := regexp.MustCompile(`invariant\.Check\([^\n]*\binvariant\.` + constant + `\b`)
		variant := regexp.MustCompile(`\binvariant\.` + constant + `\b`)
		want[name] = row{Check: use.MatchString(program), Broken: variant.MatchString(tests)}
	}
	got := map[string]row{}
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(line, "|")
		if len(cells) == 7 && strings.HasPrefix(cells[1], " `") {
			got[strings.Split(cells[1], "`")[1]] = row{Check: strings.TrimSpace(cells[2]) != none, Broken: strings.TrimSpace(cells[5]) != none}
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("rows (-code +page):\n%s", diff)
	}
	for _, m := range regexp.MustCompile("`([a-z/]+)\\.((?:Test|Fuzz)[A-Za-z]+)`").FindAllStringSubmatch(string(page), -1) {
		if !hasTest(t, m[1], m[2]) {
			t.Errorf("the page names %s in %s, and there is no such test", m[2], m[1])
		}
	}
}

// promises reads the constants of Name.
func promises(t *testing.T) map[string]string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "invariant.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]string{}
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if kind, named := identOf(v); ok && named && kind == "Name" {
			text, _ := strconv.Unquote(v.Values[0].(*ast.BasicLit).Value)
			out[v.Names[0].Name] = text
		}
		return true
	})
	return out
}

func identOf(v *ast.ValueSpec) (string, bool) {
	if v == nil {
		return "", false
	}
	i, ok := v.Type.(*ast.Ident)
	if !ok {
		return "", false
	}
	return i.Name, true
}

// sources returns the code of the program and that of the tests that break it.
func sources(t *testing.T) (program, tests string) {
	t.Helper()
	err := filepath.WalkDir(root+"/internal", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		text, err := os.ReadFile(path)
		switch {
		case filepath.Base(path) == "broken_test.go":
			tests += string(text)
		case !strings.HasSuffix(path, "_test.go"):
			program += string(text)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return program, tests
}

func hasTest(t *testing.T, folder, name string) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, "internal", folder, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	// The adapter of the users' platform stands at the root.
	outside, err := filepath.Glob(filepath.Join(root, folder, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range append(files, outside...) {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(text), "\nfunc "+name+"(") {
			return true
		}
	}
	return false
}
