package document

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/setup/strict"
)

// keyEditor edits the keys of one account in the text of section accounts. It keeps
// every other byte, comments included. It handles only common forms of YAML; finish
// refuses a result that is not the intended one.
type keyEditor struct {
	text *strict.Text
	// lines are the lines of the edited text, with their line ends.
	lines []string
	// section is the decoded text before the edit.
	section      Accounts
	accountIndex int
}

// keysField is the name of the field that holds the keys, as it stands in the text.
const keysField = "keys:"

// newKeyEditor returns an editor of the keys of one account in source.
func newKeyEditor(source, account string) (*keyEditor, error) {
	t, err := strict.Parse(SectionAccounts, []byte(source))
	if err != nil {
		return nil, err
	}
	e := &keyEditor{text: t, lines: strings.SplitAfter(source, "\n")}
	if err := t.Decode(&e.section); err != nil {
		return nil, err
	}
	e.accountIndex = slices.IndexFunc(e.section.Accounts, func(a Account) bool { return a.Name == account })
	if e.accountIndex < 0 {
		return nil, errors.Errorf("section %s has no client account %q", SectionAccounts, account)
	}
	return e, nil
}

// AddKey returns the text of section accounts with key k added to an account. It
// fails if the account does not exist, already has a key with that ID, or is written
// in a form that keyEditor cannot edit.
func AddKey(source, account string, k Key) (string, error) {
	e, err := newKeyEditor(source, account)
	if err != nil {
		return "", err
	}
	keys := e.section.Accounts[e.accountIndex].Keys
	if slices.ContainsFunc(keys, func(old Key) bool { return old.ID == k.ID }) {
		return "", errors.Errorf("client account %q already has a key %q", account, k.ID)
	}
	e.insert(fmt.Sprintf("{id: %q, verifier: %q}", k.ID, k.Verifier))
	return e.finish(append(slices.Clone(keys), k))
}

// RemoveKey returns the text of section accounts with one key of an account removed.
// It fails if the account or the key does not exist, or is written in a form that
// keyEditor cannot edit.
func RemoveKey(source, account, id string) (string, error) {
	e, err := newKeyEditor(source, account)
	if err != nil {
		return "", err
	}
	keys := e.section.Accounts[e.accountIndex].Keys
	i := slices.IndexFunc(keys, func(k Key) bool { return k.ID == id })
	if i < 0 {
		return "", errors.Errorf("client account %q has no key %q", account, id)
	}
	e.remove(i)
	return e.finish(slices.Delete(slices.Clone(keys), i, i+1))
}

// path returns the path of the account in the text, followed by suffix.
func (e *keyEditor) path(suffix string) string {
	return fmt.Sprintf("accounts[%d]%s", e.accountIndex, suffix)
}

// insert adds a key after the others, in the YAML style of the surrounding text. The
// first key must stay first: callers who name no key use it.
func (e *keyEditor) insert(key string) {
	// An account without keys gets a list of keys before its other fields. If the field
	// exists but is neither a list nor empty, as with an alias, the text then has it twice,
	// and finish refuses it.
	line, column, ok := e.text.Position(e.path(".keys"))
	switch {
	case ok && (e.byteAt(line, column) == '[' || e.byteAt(line, column) == '-'):
		e.appendToList(line, column, key)
		return
	case ok && e.isEmptyField(line):
		e.setEmptyField(line, "["+key+"]")
		return
	}
	line, column, _ = e.text.Position(e.path(""))
	if e.byteAt(line, column) == '{' {
		e.insertText(line, column+1, "keys: ["+key+"], ")
		return
	}
	e.insertText(line, column, "keys: ["+key+"]\n"+strings.Repeat(" ", column-1))
}

// appendToList adds a key at the end of the list that begins at the given position.
func (e *keyEditor) appendToList(line, column int, key string) {
	last := len(e.section.Accounts[e.accountIndex].Keys) - 1
	if last < 0 {
		e.insertText(line, column+1, key)
		return
	}
	if e.byteAt(line, column) == '-' {
		end := e.lastLineOfKey(last)
		text := strings.TrimSuffix(e.lines[end-1], "\n")
		e.lines[end-1] = text + "\n" + strings.Repeat(" ", column-1) + "- " + key + "\n"
		return
	}
	line, column, _ = e.text.Position(e.path(fmt.Sprintf(".keys[%d]", last)))
	if end := strings.IndexByte(e.lines[line-1][column-1:], '}'); end >= 0 {
		e.insertText(line, column+end+1, ", "+key)
	}
}

// lastLineOfKey returns the number of the last line of key i, counted from 1.
func (e *keyEditor) lastLineOfKey(i int) int {
	last := 0
	for _, name := range []string{"", ".id", ".verifier"} {
		if n, _, ok := e.text.Position(e.path(fmt.Sprintf(".keys[%d]%s", i, name))); ok {
			last = max(last, n)
		}
	}
	return last
}

// remove deletes key i from its list.
func (e *keyEditor) remove(i int) {
	line, column, _ := e.text.Position(e.path(fmt.Sprintf(".keys[%d]", i)))
	// A key in a block list follows a dash in the column at which the list begins.
	if _, start, _ := e.text.Position(e.path(".keys")); e.byteAt(line, start) != '-' || start > column {
		e.removeFlowItem(line, column, i)
		return
	}
	e.lines = slices.Delete(e.lines, line-1, e.lastLineOfKey(i))
	if len(e.section.Accounts[e.accountIndex].Keys) == 1 {
		e.writeEmptyList(line - 1)
	}
}

// writeEmptyList writes an empty list into the field that ends at the given line, or at one
// above it with only comments between. Without the list the field would be null.
func (e *keyEditor) writeEmptyList(line int) {
	for line > 1 && strings.HasPrefix(strings.TrimSpace(e.lines[line-1]), "#") {
		line--
	}
	if e.isEmptyField(line) {
		e.setEmptyField(line, "[]")
	}
}

// isEmptyField reports whether a line has the field of the keys and no value.
func (e *keyEditor) isEmptyField(line int) bool {
	_, after, found := strings.Cut(e.lines[line-1], keysField)
	after = strings.TrimSpace(after)
	return found && (after == "" || after[0] == '#')
}

// setEmptyField writes a value into the field of the keys at a line.
func (e *keyEditor) setEmptyField(line int, value string) {
	before, after, _ := strings.Cut(e.lines[line-1], keysField)
	e.lines[line-1] = before + keysField + " " + value + after
}

// removeFlowItem deletes key i, written as {…} on one line, and the comma after it or,
// for the last item, before it.
func (e *keyEditor) removeFlowItem(line, column, i int) {
	text := e.lines[line-1]
	brace := strings.IndexByte(text[column-1:], '}')
	if brace < 0 {
		return
	}
	start, end := column-1, column+brace
	after := strings.TrimLeft(text[end:], " ")
	switch before := strings.TrimRight(text[:start], " "); {
	case strings.HasPrefix(after, ","):
		end = len(text) - len(strings.TrimLeft(after[1:], " "))
	case i > 0 && strings.HasSuffix(before, ","):
		start = len(before) - 1
	}
	e.lines[line-1] = text[:start] + text[end:]
}

// byteAt returns the byte at a position, or 0 outside the text.
func (e *keyEditor) byteAt(line, column int) byte {
	if line < 1 || line > len(e.lines) || column < 1 || column > len(e.lines[line-1]) {
		return 0
	}
	return e.lines[line-1][column-1]
}

// insertText inserts text at a position.
func (e *keyEditor) insertText(line, column int, text string) {
	old := e.lines[line-1]
	e.lines[line-1] = old[:column-1] + text + old[column-1:]
}

// finish returns the edited text. It first decodes it and checks that the account's keys
// equal want and that nothing else has changed, because YAML has more forms than the
// edits handle.
func (e *keyEditor) finish(want []Key) (string, error) {
	out := strings.Join(e.lines, "")
	var got Accounts
	err := strict.Decode(SectionAccounts, []byte(out), &got)
	if err == nil && len(got.Accounts) == len(e.section.Accounts) {
		// reflect.DeepEqual distinguishes a nil slice from an empty one.
		if len(want)+len(got.Accounts[e.accountIndex].Keys) == 0 {
			want = got.Accounts[e.accountIndex].Keys
		}
		e.section.Accounts[e.accountIndex].Keys = want
		if reflect.DeepEqual(e.section, got) {
			return out, nil
		}
	}
	return "", errors.Errorf("the keys of client account %q are written in a way that cannot be edited by machine; use section edit", e.section.Accounts[e.accountIndex].Name)
}
