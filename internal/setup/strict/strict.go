// Package strict decodes YAML that people write: unknown keys and values out of
// bounds are refused with their line and column.
package strict

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
)

// Error is a mistake in a text that a person wrote.
type Error struct {
	// File names the text.
	File string
	// Line and Column count from 1; 0 means that the place is not known.
	Line   int
	Column int
	// Detail says what is wrong.
	Detail string
}

// Error implements error in the form that editors understand.
func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Detail)
	}
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Detail)
}

var check = validator.New(validator.WithRequiredStructEnabled())

// Decode reads text into the struct that target points to. It returns an *Error
// for every mistake of the writer.
func Decode(file string, text []byte, target any) error {
	d := yaml.NewDecoder(bytes.NewReader(text), yaml.DisallowUnknownField(), yaml.Validator(check))
	err := d.Decode(target)
	if err == nil || err.Error() == "EOF" {
		return checkEmpty(file, text, target)
	}
	return turn(file, err)
}

// checkEmpty validates a text without content, which the decoder passes over.
func checkEmpty(file string, text []byte, target any) error {
	if len(bytes.TrimSpace(text)) > 0 {
		return nil
	}
	if err := check.Struct(target); err != nil {
		return &Error{File: file, Detail: firstLine(err.Error())}
	}
	return nil
}

func turn(file string, err error) error {
	var y yaml.Error
	if !errors.As(err, &y) {
		return &Error{File: file, Detail: firstLine(err.Error())}
	}
	out := &Error{File: file, Detail: y.GetMessage()}
	if t := y.GetToken(); t != nil && t.Position != nil {
		out.Line, out.Column = t.Position.Line, t.Position.Column
	}
	return out
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}
