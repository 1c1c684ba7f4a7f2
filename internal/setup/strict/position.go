package strict

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// errorAtToken returns an error at the position of a token. A nil token gives an error
// without a position.
func (t *Text) errorAtToken(k *token.Token, format string, args ...any) *Error {
	out := &Error{File: t.file, Detail: fmt.Sprintf(format, args...)}
	if k != nil && k.Position != nil {
		out.Line, out.Column = k.Position.Line, k.Position.Column
	}
	return out
}

// pathElement is one element of a path: a key or, if the key is empty, an index into a
// sequence.
type pathElement struct {
	key   string
	index int
}

// parsePath splits a path such as databases[1].servers[0].zone into its elements.
func parsePath(path string) []pathElement {
	var out []pathElement
	for _, part := range strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		if n, err := strconv.Atoi(part); err == nil {
			out = append(out, pathElement{index: n})
			continue
		}
		out = append(out, pathElement{key: part})
	}
	return out
}

// locateToken returns the first token of the value at a path. If the text does not have
// that value, it returns the first token of the nearest parent that it does have.
func locateToken(root ast.Node, path string) *token.Token {
	n := root
	for _, s := range parsePath(path) {
		next := child(n, s)
		if next == nil {
			break
		}
		n = next
	}
	return firstToken(n)
}

// exists reports whether the text has a value at a path.
func exists(root ast.Node, path string) bool {
	n := root
	for _, s := range parsePath(path) {
		if n = child(n, s); n == nil {
			return false
		}
	}
	return true
}

// firstToken returns the token at which a node begins. A block mapping begins at its first
// key; the parser's own token for it is a colon.
func firstToken(n ast.Node) *token.Token {
	switch n := stripAnchor(n).(type) {
	case nil:
		return nil
	case *ast.MappingNode:
		if len(n.Values) > 0 && !n.IsFlowStyle {
			return firstToken(n.Values[0].Key)
		}
		return n.GetToken()
	case *ast.MappingValueNode:
		return firstToken(n.Key)
	default:
		return n.GetToken()
	}
}

// stripAnchor returns the value of an anchor node, and any other node unchanged.
func stripAnchor(n ast.Node) ast.Node {
	if a, ok := n.(*ast.AnchorNode); ok {
		return a.Value
	}
	return n
}

// child returns the value that the path element s selects in n. It returns nil if n has
// no such element or is neither a sequence nor a mapping.
func child(n ast.Node, s pathElement) ast.Node {
	if q, ok := stripAnchor(n).(*ast.SequenceNode); ok {
		if s.key == "" && s.index < len(q.Values) {
			return q.Values[s.index]
		}
		return nil
	}
	for _, v := range mappingEntries(n) {
		if keyName(v) == s.key {
			return v.Value
		}
	}
	return nil
}

// mappingEntries returns the entries of a mapping, and nil for any other node.
func mappingEntries(n ast.Node) []*ast.MappingValueNode {
	switch n := stripAnchor(n).(type) {
	case *ast.MappingNode:
		return n.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}
	}
	return nil
}

// keyName returns the key of a mapping entry as text, without the quotes that String
// keeps around a quoted key.
func keyName(v *ast.MappingValueNode) string {
	if s, ok := v.Key.(*ast.StringNode); ok {
		return s.Value
	}
	return v.Key.String()
}
