package strict

import (
	"reflect"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml/ast"
)

// fillDefaults sets each zero field whose key is not in the text to the value of its
// `default` tag. A field set through an alias or a merge key has no node of its own, but
// keeps its value because it is not zero.
func (t *Text) fillDefaults(target any) error {
	return applyDefaults(t.root, reflect.ValueOf(target).Elem())
}

// applyDefaults sets the defaults of v and of the structs within it. n is the node
// that v was decoded from, or nil if the text has none.
func applyDefaults(n ast.Node, v reflect.Value) error {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return nil
		}
		return applyDefaults(n, v.Elem())
	case reflect.Slice:
		for i := range v.Len() {
			if err := applyDefaults(child(n, pathElement{index: i}), v.Index(i)); err != nil {
				return err
			}
		}
	case reflect.Struct:
		return applyStructDefaults(n, v)
	}
	return nil
}

func applyStructDefaults(n ast.Node, v reflect.Value) error {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name := yamlName(f)
		if name == "" {
			continue
		}
		fieldNode := child(n, pathElement{key: name})
		if text, ok := f.Tag.Lookup("default"); ok && fieldNode == nil && v.Field(i).IsZero() {
			if err := setFromText(v.Field(i), text); err != nil {
				return errors.Wrapf(err, "default of %s", name)
			}
		}
		if err := applyDefaults(fieldNode, v.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

// setFromText parses text as the type of v and sets v to it. It supports strings,
// integers and float64.
func setFromText(v reflect.Value, text string) error {
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return err
		}
		v.SetInt(n)
	case reflect.Float64:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return err
		}
		v.SetFloat(n)
	default:
		return errors.Errorf("no default for %s", v.Type())
	}
	return nil
}

// SetDefaults sets the zero fields of the struct that target points to from their
// `default` tags.
func SetDefaults(target any) error { return applyDefaults(nil, reflect.ValueOf(target).Elem()) }
