package strict

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"

	"github.com/sycamoredoor/sycamoredoor/internal/setup/verifier"
)

var structValidator = newStructValidator()

// newStructValidator returns a validator with the additional rules ipport (IP:port),
// verifier (a SCRAM verifier) and token (the hash of a token). It names fields by their
// keys.
func newStructValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	register := func(tag string, isValid func(text string) bool) {
		err := v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return isValid(f.Field().String()) })
		if err != nil {
			panic(err)
		}
	}
	register("ipport", func(s string) bool { _, err := netip.ParseAddrPort(s); return err == nil })
	register("verifier", func(s string) bool { _, err := verifier.Parse(s); return err == nil })
	register("token", verifier.IsTokenHash)
	return v
}

// validate checks the `validate` tags of target and returns an *Error for the first
// value that breaks its rule.
func (t *Text) validate(target any) error {
	err := structValidator.Struct(target)
	if err == nil {
		return nil
	}
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) || len(violations) == 0 {
		return &Error{File: t.file, Detail: firstLine(err.Error())}
	}
	e := violations[0]
	// The namespace begins with the name of the struct type.
	_, path, _ := strings.Cut(e.Namespace(), ".")
	return t.ErrorAt(path, "%s", describeViolation(e, t.keyInMessage(path), unitOf(reflect.TypeOf(target), path)))
}

// keyInMessage returns the name of a path in error messages: its last key, or the
// whole path if the text lacks the mapping that would contain that key.
func (t *Text) keyInMessage(path string) string {
	i := strings.LastIndex(path, ".")
	if i < 0 || exists(t.root, path[:i]) {
		return path[i+1:]
	}
	return path
}

// unitOf returns the `unit` tag of the field that path names in the type t, or "".
func unitOf(t reflect.Type, path string) string {
	unit := ""
	for _, s := range parsePath(path) {
		for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice && s.key != "" {
			t = t.Elem()
		}
		if s.key == "" { // s is an index
			t = t.Elem()
			continue
		}
		f, ok := fieldByName(t, s.key)
		if !ok {
			return ""
		}
		t, unit = f.Type, f.Tag.Get("unit")
	}
	return unit
}

// describeViolation returns the error message for a broken rule: the key, the bound
// with its unit, and the value. The rules required_without and excluded_with name a Go
// field, whose key must be the field's name in lower case.
func describeViolation(e validator.FieldError, key, unit string) string {
	limit := e.Param()
	if unit != "" {
		limit += " " + unit
	}
	name := fmt.Sprintf("%q", key)
	isList := e.Kind() == reflect.Slice
	switch e.Tag() {
	case "required", "required_if":
		return name + " is missing"
	case "required_without":
		return fmt.Sprintf("%s is missing; it or %q is needed", name, strings.ToLower(e.Param()))
	case "excluded_with":
		return fmt.Sprintf("only one of %s and %q may be written", name, strings.ToLower(e.Param()))
	case "min", "max", "gt":
		if isList {
			return fmt.Sprintf("%s must have %s %s entries, has %d", name, comparison(e.Tag()), e.Param(), reflect.ValueOf(e.Value()).Len())
		}
		return fmt.Sprintf("%s must be %s %s, is %v", name, comparison(e.Tag()), limit, e.Value())
	case "excludes":
		return fmt.Sprintf("%s must not contain %q, is %q", name, e.Param(), e.Value())
	case "oneof":
		return fmt.Sprintf("%s must be one of %s, is %q", name, strings.ReplaceAll(limit, " ", ", "), e.Value())
	case "ipport":
		return fmt.Sprintf("%s must be IP:port such as 10.0.0.1:5432, is %q", name, e.Value())
	case "url":
		return fmt.Sprintf("%s must be a URL such as http://10.0.0.1:8080, is %q", name, e.Value())
	case "token":
		return fmt.Sprintf("%s must be SHA-256$ and 64 hexadecimal digits", name)
	case "verifier":
		_, err := verifier.Parse(fmt.Sprint(e.Value()))
		return fmt.Sprintf("%s is wrong: %v", name, err)
	}
	return fmt.Sprintf("%s breaks the rule %s %s", name, e.Tag(), e.Param())
}

// comparison returns the words for the rules min, max and gt.
func comparison(tag string) string {
	return map[string]string{"min": "at least", "max": "at most", "gt": "more than"}[tag]
}
