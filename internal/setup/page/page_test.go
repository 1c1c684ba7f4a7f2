// Package page checks that docs/CONFIG.md matches the structs of the settings and of
// the configuration, docs/ARCHITECTURE.md the packages, and that links in pages have
// targets.
package page

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write docs/CONFIG.md instead of comparing it")

const configPage = "../../../docs/CONFIG.md"

// pageHead is the text above the tables.
const pageHead = `# Settings and configuration

This page is written by ` + "`go test ./internal/setup/page -update`" + ` from the structs that
are decoded; a test fails when it differs from them. Lengths of time are in
milliseconds. An unknown key, a value out of its bounds or a name that nothing
has is refused with its file, line and column.

`

// tables describes each table of the page: its title, the folder and name of the
// struct that it is generated from, and the text above it.
var tables = []struct{ title, folder, root, text string }{
	{"Settings of one VM", "../settings", "Settings", "The file of `sycamoredoor serve --settings FILE`. Certificates and keys are read from files\nor environment variables; files are read again at SIGHUP and within 5 s of a change, without\na restart. A reload that fails leaves the earlier keys in force, writes one log line and\ncounts in `sycamoredoor_reloads_total{result=\"failed\"}`."},
	{"Section databases", "../document", "Databases", "The backend servers, owned by operations."},
	{"Section accounts", "../document", "Accounts", "The client accounts and their keys, owned by finance."},
	{"Section routes", "../document", "Routes", "What requests may name, owned by the storefront team."},
	{"Section operators", "../document", "Operators", "Who may edit which section. Once it is written, somebody must own it."},
}

// TestPage compares docs/CONFIG.md with the structs, or writes it with -update.
func TestPage(t *testing.T) {
	var b strings.Builder
	b.WriteString(pageHead)
	for _, p := range tables {
		structs := structsOf(t, p.folder)
		fmt.Fprintf(&b, "## %s\n\n%s\n\n| key | meaning | unit | default | bounds |\n|---|---|---|---|---|\n", p.title, p.text)
		writeRows(t, &b, structs, p.root, "")
		b.WriteString("\n")
	}
	want := strings.TrimRight(b.String(), "\n") + "\n"
	if *update {
		if err := os.WriteFile(configPage, []byte(want), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(configPage)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, string(got)); diff != "" {
		t.Errorf("docs/CONFIG.md differs; run with -update (-want +got):\n%s", diff)
	}
}

// structsOf returns the structs declared in a folder by name.
func structsOf(t *testing.T, folder string) map[string]*ast.StructType {
	t.Helper()
	out := map[string]*ast.StructType{}
	files, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), f, nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(parsed, func(n ast.Node) bool {
			if s, ok := n.(*ast.TypeSpec); ok {
				if body, ok := s.Type.(*ast.StructType); ok {
					out[s.Name.Name] = body
				}
			}
			return true
		})
	}
	return out
}

// writeRows writes one row for each tagged field of a struct and, below it, the rows of
// the struct that the field holds. prefix is the key of the struct, with a dot at its end.
func writeRows(t *testing.T, b *strings.Builder, structs map[string]*ast.StructType, name, prefix string) {
	t.Helper()
	for _, f := range structs[name].Fields.List {
		if f.Tag == nil {
			continue
		}
		text, err := strconv.Unquote(f.Tag.Value)
		if err != nil {
			t.Fatal(err)
		}
		tag := reflect.StructTag(text)
		if f.Doc == nil {
			t.Errorf("%s.%s has no comment", name, f.Names[0].Name)
			continue
		}
		typeName, brackets := elementType(f.Type)
		key := prefix + tag.Get("yaml") + brackets
		meaning := strings.ReplaceAll(strings.Join(strings.Fields(f.Doc.Text()), " "), "|", "\\|")
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", key, meaning, tag.Get("unit"), tag.Get("default"), describeBounds(tag.Get("validate")))
		if structs[typeName] != nil {
			writeRows(t, b, structs, typeName, key+".")
		}
	}
}

// elementType returns the name of the type inside pointers and lists, and "[]" for each
// list around it. The name is "" for any other type, such as one of another package.
func elementType(e ast.Expr) (typeName, brackets string) {
	switch e := e.(type) {
	case *ast.StarExpr:
		return elementType(e.X)
	case *ast.ArrayType:
		typeName, brackets = elementType(e.Elt)
		return typeName, "[]" + brackets
	case *ast.Ident:
		return e.Name, ""
	}
	return "", ""
}

// describeBounds describes the rules of a `validate` tag in words.
func describeBounds(tag string) string {
	var out []string
	for _, rule := range strings.Split(tag, ",") {
		name, value, _ := strings.Cut(rule, "=")
		words := map[string]string{
			"required": "needed", "min": "at least " + value, "max": "at most " + value, "gt": "more than " + value,
			"oneof": "one of " + strings.ReplaceAll(value, " ", ", "), "excludes": "without " + value, "ipport": "IP:port", "url": "URL", "verifier": "SCRAM-SHA-256 verifier", "token": "SHA-256$ and 64 hexadecimal digits",
			"required_if": "needed if " + strings.ToLower(value), "required_without": "needed without " + strings.ToLower(value),
			"excluded_with": "not with " + strings.ToLower(value), "dive": "", "": "",
		}[name]
		if words != "" {
			out = append(out, words)
		}
	}
	return strings.Join(out, ", ")
}
