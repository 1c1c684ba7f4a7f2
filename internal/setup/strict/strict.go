// Package strict decodes YAML that people write. It refuses unknown keys and values out
// of bounds with errors that give the line and column.
package strict

import (
	"bytes"
	"fmt"
	"io"
	"strings"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Error is a mistake in a YAML text.
type Error struct {
	// File is the name of the text.
	File string
	// Line and Column count from 1; they are 0 if the position is not known.
	Line   int
	Column int
	// Detail describes the mistake.
	Detail string
}

// Error implements error in the form file:line:column: detail, which editors can parse.
func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Detail)
	}
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Detail)
}

// Text is a parsed YAML text that keeps the position of each value.
type Text struct {
	file   string
	source []byte
	root   ast.Node
}

// Parse parses a YAML text of at most one document. file is the name of the text in
// errors. It returns an *Error for a syntax error.
func Parse(file string, source []byte) (*Text, error) {
	t := &Text{file: file, source: source}
	parsed, err := parser.ParseBytes(source, 0)
	if err != nil {
		return nil, t.convertError(err)
	}
	if len(parsed.Docs) > 1 {
		return nil, t.errorAtToken(parsed.Docs[1].Start, "only one YAML document may stand in a file")
	}
	if len(parsed.Docs) == 1 && parsed.Docs[0].Body != nil && parsed.Docs[0].Body.Type() != ast.CommentType {
		t.root = parsed.Docs[0].Body
	}
	return t, nil
}

// Decode parses source and decodes it into the struct that target points to, as
// Text.Decode does.
func Decode(file string, source []byte, target any) error {
	t, err := Parse(file, source)
	if err != nil {
		return err
	}
	return t.Decode(target)
}

// Decode decodes the text into the struct that target points to, sets the values of
// `default` tags for keys that are not in the text, and checks the rules of `validate`
// tags. It returns an *Error for any mistake in the text.
func (t *Text) Decode(target any) error {
	if err := t.checkKeys(target); err != nil {
		return err
	}
	// checkKeys does not check what a merge key adds; the decoder does.
	d := yaml.NewDecoder(bytes.NewReader(t.source), yaml.DisallowUnknownField())
	if err := d.Decode(target); err != nil && !errors.Is(err, io.EOF) {
		return t.convertError(err)
	}
	if err := t.fillDefaults(target); err != nil {
		return err
	}
	return t.validate(target)
}

// ErrorAt returns an *Error at the position of the value at a path, such as
// routes[2].database, or of its nearest parent if the text does not have the value.
func (t *Text) ErrorAt(path, format string, args ...any) error {
	return t.errorAtToken(locateToken(t.root, path), format, args...)
}

// Position returns the line and column, counted from 1, at which the value at a path
// begins, and whether the text has that value. If it does not, the position is that of its
// nearest parent, or 0, 0 in an empty text.
func (t *Text) Position(path string) (line, column int, ok bool) {
	k := locateToken(t.root, path)
	if k == nil || k.Position == nil {
		return 0, 0, false
	}
	return k.Position.Line, k.Position.Column, exists(t.root, path)
}

// convertError converts an error of the YAML library to an *Error.
func (t *Text) convertError(err error) error {
	var y yaml.Error
	if !errors.As(err, &y) {
		return &Error{File: t.file, Detail: firstLine(err.Error())}
	}
	out := &Error{File: t.file, Detail: describeDecodeError(y)}
	if k := y.GetToken(); k != nil && k.Position != nil {
		out.Line, out.Column = k.Position.Line, k.Position.Column
	}
	return out
}

// describeDecodeError returns the error message for an error of the YAML decoder.
func describeDecodeError(err yaml.Error) string {
	var typeError *yaml.TypeError
	var nodeError *yaml.UnexpectedNodeTypeError
	switch {
	case errors.As(err, &typeError):
		return fmt.Sprintf("expected %s, found %s", describeType(typeError.DstType), describeType(typeError.SrcType))
	case errors.As(err, &nodeError):
		return fmt.Sprintf("expected %s, found %s", describeNodeType(nodeError.Expected), describeNodeType(nodeError.Actual))
	}
	return firstLine(err.GetMessage())
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}
