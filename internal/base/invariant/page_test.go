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
	root    = "../../.."
	noEntry = "none yet"
)

// pageRow reports, for one invariant, whether the program checks it and whether a test
// breaks it on purpose. The page and the code each give one.
type pageRow struct{ HasCheck, HasBrokenTest bool }

// TestPage compares docs/INVARIANTS.md with the code: each invariant, whether the
// program checks it, whether a test in a broken_test.go names it, and whether the
// tests named on the page exist.
func TestPage(t *testing.T) {
	page, err := os.ReadFile(root + "/docs/INVARIANTS.md")
	if err != nil {
		t.Fatal(err)
	}
	program, brokenTests := sources(t)
	want := map[string]pageRow{}
	for constant, name := range invariantNames(t) {
		checkCall := regexp.MustCompile(`invariant\.Check\([^\n]*\binvariant\.` + constant + `\b`)
		mention := regexp.MustCompile(`\binvariant\.` + constant + `\b`)
		want[name] = pageRow{HasCheck: checkCall.MatchString(program), HasBrokenTest: mention.MatchString(brokenTests)}
	}
	got := map[string]pageRow{}
	// Columns 2 and 5 of the page's table name the check and the test that breaks the
	// invariant.
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(line, "|")
		if len(cells) == 7 && strings.HasPrefix(cells[1], " `") {
			got[strings.Split(cells[1], "`")[1]] = pageRow{HasCheck: strings.TrimSpace(cells[2]) != noEntry, HasBrokenTest: strings.TrimSpace(cells[5]) != noEntry}
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("rows (-code +page):\n%s", diff)
	}
	for _, m := range regexp.MustCompile("`([a-z/]+)\\.((?:Test|Fuzz)[A-Za-z]+)`").FindAllStringSubmatch(string(page), -1) {
		if !hasTest(t, m[1], m[2]) {
			t.Errorf("the page names test %s of %s, which does not exist", m[2], m[1])
		}
	}
}

// invariantNames maps the identifier of each constant of type Name to its value.
func invariantNames(t *testing.T) map[string]string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "invariant.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]string{}
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if kind, named := typeName(v); ok && named && kind == "Name" {
			text, _ := strconv.Unquote(v.Values[0].(*ast.BasicLit).Value)
			out[v.Names[0].Name] = text
		}
		return true
	})
	return out
}

// typeName returns the name of the declared type of v, and false if v is nil, has no
// declared type, or has one of another package.
func typeName(v *ast.ValueSpec) (string, bool) {
	if v == nil {
		return "", false
	}
	i, ok := v.Type.(*ast.Ident)
	if !ok {
		return "", false
	}
	return i.Name, true
}

// sources returns the source of the program under internal, without tests, and that of
// every broken_test.go there, the tests that break invariants on purpose.
func sources(t *testing.T) (program, brokenTests string) {
	t.Helper()
	err := filepath.WalkDir(root+"/internal", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		text, err := os.ReadFile(path)
		switch {
		case filepath.Base(path) == "broken_test.go":
			brokenTests += string(text)
		case !strings.HasSuffix(path, "_test.go"):
			program += string(text)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return program, brokenTests
}

// hasTest reports whether a test or fuzz test of that name exists in the folder, whose
// path is relative to internal or to the root of the repository.
func hasTest(t *testing.T, folder, name string) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, "internal", folder, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	// The platform adapter is outside internal, at the root of the repository.
	rootFiles, err := filepath.Glob(filepath.Join(root, folder, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range append(files, rootFiles...) {
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
