package page

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const modulePrefix = "github.com/sycamoredoor/sycamoredoor/internal/"

// TestArchitecture checks that docs/ARCHITECTURE.md lists every package, and that each
// package imports only from the areas that the page allows.
func TestArchitecture(t *testing.T) {
	text, err := os.ReadFile("../../../docs/ARCHITECTURE.md")
	if err != nil {
		t.Fatal(err)
	}
	var listed []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z]+/[a-z]+)` \\|").FindAllStringSubmatch(string(text), -1) {
		listed = append(listed, m[1])
	}
	if diff := cmp.Diff(packages(t), listed); diff != "" {
		t.Errorf("packages (-code +page):\n%s", diff)
	}
	allowed := map[string][]string{}
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z]+)` \\| [^|]* \\|([^|]*)\\|$").FindAllStringSubmatch(string(text), -1) {
		allowed[m[1]] = strings.FieldsFunc(m[2], func(r rune) bool { return r == ',' || r == ' ' })
	}
	for _, p := range listed {
		checkImports(t, p, allowed)
	}
}

// packages returns every folder two levels below internal that has Go files.
func packages(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("../../*/*/*.go")
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, f := range files {
		out = append(out, filepath.ToSlash(strings.TrimPrefix(filepath.Dir(f), "../../")))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// checkImports checks that the imports of package name, tests excluded, are from its own
// area or from one that allowed lists for it. An area is a folder below internal.
func checkImports(t *testing.T, name string, allowed map[string][]string) {
	t.Helper()
	area, _, _ := strings.Cut(name, "/")
	files, err := filepath.Glob("../../" + name + "/*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), f, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, i := range parsed.Imports {
			path, isInternal := strings.CutPrefix(strings.Trim(i.Path.Value, `"`), modulePrefix)
			importedArea, _, _ := strings.Cut(path, "/")
			if isInternal && importedArea != area && !slices.Contains(allowed[area], importedArea) {
				t.Errorf("%s imports %s, which the page does not allow for area %s", f, path, area)
			}
		}
	}
}
