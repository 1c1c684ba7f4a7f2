package strict

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// at returns an error at the place of a token, which may be nil.
func (t *Text) at(k *token.Token, format string, args ...any) *Error {
	out := &Error{File: t.file, Detail: fmt.Sprintf(format, args...)}
	if k != nil && k.Position != nil {
		out.Line, out.Column = k.Position.Line, k.Position.Column
	}
	return out
}

// step is one part of a path: a key, or an index into a sequence.
type step struct {
	key   string
	index int
}

// steps reads a path such as databases[1].servers[0].zone.
func steps(path string) []step {
	var out []step
	for _, part := range strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		if n, err := strconv.Atoi(part); err == nil {
			out = append(out, step{index: n})
			continue
		}
		out = append(out, step{key: part})
	}
	return out
}

// locate returns the first token of the value that path names, or of its
// nearest parent that is written.
func locate(root ast.Node, path string) *token.Token {
	n := root
	for _, s := range steps(path) {
		next := child(n, s)
		if next == nil {
			break
		}
		n = next
	}
	return first(n)
}

// exists reports whether the value that path names is written.
func exists(root ast.Node, path string) bool {
	n := root
	for _, s := range steps(path) {
		if n = child(n, s); n == nil {
			return false
		}
	}
	return true
}

// first returns the token at which a node begins. A mapping begins at its first
// key, not at the colon that the parser names.
func first(n ast.Node) *token.Token {
	switch n := plain(n).(type) {
	case nil:
		return nil
	case *ast.MappingNode:
		if len(n.Values) > 0 && !n.IsFlowStyle {
			return first(n.Values[0].Key)
		}
		return n.GetToken()
	case *ast.MappingValueNode:
		return first(n.Key)
	default:
		return n.GetToken()
	}
}

// plain strips an anchor from the node that it names.
func plain(n ast.Node) ast.Node {
	if a, ok := n.(*ast.AnchorNode); ok {
		return a.Value
	}
	return n
}

func child(n ast.Node, s step) ast.Node {
	if q, ok := plain(n).(*ast.SequenceNode); ok {
		if s.key == "" && s.index < len(q.Values) {
			return q.Values[s.index]
		}
		return nil
	}
	for _, v := range pairs(n) {
		if keyOf(v) == s.key {
			return v.Value
		}
	}
	return nil
}

// pairs returns the keys and values of a mapping, and nil for other nodes.
func pairs(n ast.Node) []*ast.MappingValueNode {
	switch n := plain(n).(type) {
	case *ast.MappingNode:
		return n.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}
	}
	return nil
}

func keyOf(v *ast.MappingValueNode) string {
	if s, ok := v.Key.(*ast.StringNode); ok {
		return s.Value
	}
	return v.Key.String()
}
