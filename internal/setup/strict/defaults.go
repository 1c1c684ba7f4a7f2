package strict

import (
	"reflect"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml/ast"
)

// fillDefaults sets the fields whose key is not written to their `default` tag.
func (t *Text) fillDefaults(target any) error {
	return fill(t.root, reflect.ValueOf(target).Elem())
}

func fill(n ast.Node, v reflect.Value) error {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return nil
		}
		return fill(n, v.Elem())
	case reflect.Slice:
		for i := range v.Len() {
			if err := fill(child(n, step{index: i}), v.Index(i)); err != nil {
				return err
			}
		}
	case reflect.Struct:
		return fillStruct(n, v)
	}
	return nil
}

func fillStruct(n ast.Node, v reflect.Value) error {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name := yamlName(f)
		if name == "" {
			continue
		}
		written := child(n, step{key: name})
		if text, ok := f.Tag.Lookup("default"); ok && written == nil && v.Field(i).IsZero() {
			if err := set(v.Field(i), text); err != nil {
				return errors.Wrapf(err, "default of %s", name)
			}
		}
		if err := fill(written, v.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

func set(v reflect.Value, text string) error {
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

// Defaults sets the fields of the struct that target points to from their
// `default` tags.
func Defaults(target any) error { return fill(nil, reflect.ValueOf(target).Elem()) }
