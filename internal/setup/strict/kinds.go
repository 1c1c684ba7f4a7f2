package strict

import (
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// describeType names a Go type in words for error messages.
func describeType(t reflect.Type) string {
	if t == nil {
		return "nothing"
	}
	switch t.Kind() {
	case reflect.Pointer:
		return describeType(t.Elem())
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.String:
		return "a text"
	case reflect.Slice:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "a mapping of keys to values"
	}
	return t.String()
}

// describeNodeType names a type of YAML node in words for error messages.
func describeNodeType(n ast.NodeType) string {
	switch n {
	case ast.MappingType, ast.MappingValueType:
		return "a mapping of keys to values"
	case ast.SequenceType:
		return "a list"
	}
	return "a " + strings.ToLower(n.String())
}
