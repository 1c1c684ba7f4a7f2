package strict

import (
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// checkKeys returns an *Error for the first key that the struct does not have. The
// message proposes the key with the closest name, or lists all keys if none is close.
func (t *Text) checkKeys(target any) error {
	if e := t.checkNode(t.root, reflect.TypeOf(target)); e != nil {
		return e
	}
	return nil
}

// checkNode checks the keys in a node that is to be decoded into type want, and returns
// nil if all of them are known.
func (t *Text) checkNode(n ast.Node, want reflect.Type) *Error {
	for want.Kind() == reflect.Pointer {
		want = want.Elem()
	}
	switch want.Kind() {
	case reflect.Struct:
		return t.checkMapping(n, want)
	case reflect.Slice:
		q, ok := stripAnchor(n).(*ast.SequenceNode)
		if !ok {
			return nil
		}
		for _, v := range q.Values {
			if e := t.checkNode(v, want.Elem()); e != nil {
				return e
			}
		}
	}
	return nil
}

func (t *Text) checkMapping(n ast.Node, want reflect.Type) *Error {
	for _, v := range mappingEntries(n) {
		// A merge key (<<) is no key of the struct.
		if _, merge := v.Key.(*ast.MergeKeyNode); merge {
			continue
		}
		name := keyName(v)
		f, ok := fieldByName(want, name)
		if !ok {
			return t.unknownKeyError(v, name, want)
		}
		if e := t.checkNode(v.Value, f.Type); e != nil {
			return e
		}
	}
	return nil
}

func (t *Text) unknownKeyError(v *ast.MappingValueNode, name string, want reflect.Type) *Error {
	names := fieldNames(want)
	if best, ok := closestName(name, names); ok {
		return t.errorAtToken(firstToken(v.Key), "unknown key %q; did you mean %q?", name, best)
	}
	return t.errorAtToken(firstToken(v.Key), "unknown key %q; the keys here are %s", name, strings.Join(names, ", "))
}

// yamlName returns the key in the `yaml` tag of a struct field, or "".
func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

func fieldNames(s reflect.Type) []string {
	var out []string
	for i := range s.NumField() {
		if name := yamlName(s.Field(i)); name != "" {
			out = append(out, name)
		}
	}
	return out
}

func fieldByName(s reflect.Type, name string) (reflect.StructField, bool) {
	for i := range s.NumField() {
		if f := s.Field(i); yamlName(f) == name && name != "" {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

// closestName returns the name with the smallest edit distance to name, and false if even
// that is too large for a typing error: more than len(name)/3+1.
func closestName(name string, names []string) (string, bool) {
	best, bestDistance := "", len(name)/3+2
	for _, n := range names {
		if d := editDistance(strings.ToLower(name), n); d < bestDistance {
			best, bestDistance = n, d
		}
	}
	return best, best != ""
}

// editDistance returns the Levenshtein distance of two names in bytes.
func editDistance(a, b string) int {
	// row[j] is the distance between the bytes of a so far and b[:j].
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitution := diagonal
			if a[i] != b[j] {
				substitution++
			}
			diagonal = row[j+1]
			row[j+1] = min(substitution, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
