// Package strict decodes YAML that people write: unknown keys and values out of
// bounds are refused with their line and column.
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

// Text is a parsed text that remembers where each value stands.
type Text struct {
	file   string
	source []byte
	root   ast.Node
}

// Parse reads the syntax of a text. The file is its name in errors.
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

// Decode reads text into the struct that target points to. It returns an *Error
// for every mistake of the writer.
func Decode(file string, source []byte, target any) error {
	t, err := Parse(file, source)
	if err != nil {
		return err
	}
	return t.Decode(target)
}

// Decode reads the text into the struct that target points to, fills in the
// values of `default` tags for keys that are not written, and checks the bounds
// of `validate` tags. It returns an *Error for every mistake of the writer.
func (t *Text) Decode(target any) error {
	if err := t.checkKeys(target); err != nil {
		return err
	}
	d := yaml.NewDecoder(bytes.NewReader(t.source), yaml.DisallowUnknownField())
	if err := d.Decode(target); err != nil && !errors.Is(err, io.EOF) {
		return t.convertError(err)
	}
	if err := t.fillDefaults(target); err != nil {
		return err
	}
	return t.validate(target)
}

// ErrorAt returns an *Error at the value that path names, such as
// routes[2].database; a path that is not written stands for its parent.
func (t *Text) ErrorAt(path, format string, args ...any) error {
	return t.errorAtToken(locateToken(t.root, path), format, args...)
}

// Position returns the line and column at which the value that path names begins,
// and whether it is written.
func (t *Text) Position(path string) (line, column int, ok bool) {
	k := locateToken(t.root, path)
	if k == nil || k.Position == nil {
		return 0, 0, false
	}
	return k.Position.Line, k.Position.Column, exists(t.root, path)
}

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

// describeDecodeError says in a person's words what the decoder found.
func describeDecodeError(err yaml.Error) string {
	var kind *yaml.TypeError
	var node *yaml.UnexpectedNodeTypeError
	switch {
	case errors.As(err, &kind):
		return fmt.Sprintf("expected %s, found %s", describeType(kind.DstType), describeType(kind.SrcType))
	case errors.As(err, &node):
		return fmt.Sprintf("expected %s, found %s", describeNodeType(node.Expected), describeNodeType(node.Actual))
	}
	return firstLine(err.GetMessage())
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}
