package logs

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// logLines returns what a logger writes for calls of Info with one message and these fields.
func logLines(t *testing.T, calls ...[]any) []string {
	t.Helper()
	var out bytes.Buffer
	q := NewQueue(&out)
	logger, err := New(q, Options{Level: "info", JSON: true})
	if err != nil {
		t.Fatal(err)
	}
	for _, fields := range calls {
		logger.Info("statement refused", fields...)
	}
	q.Close()
	return strings.SplitAfter(strings.TrimSuffix(out.String(), "\n"), "\n")
}

// TestLongFields guards against log lines of a MiB, of which the queue would hold hundreds.
func TestLongFields(t *testing.T) {
	const size = 1 << 20
	lines := logLines(t,
		[]any{"id", strings.Repeat("\x01", size), "code", "busy", "version", uint64(1<<63 + 1)},
		[]any{"id", strings.Repeat("x", maxFieldSize), "code", "busy"},
		[]any{"texts", []string{strings.Repeat("x", size)}, "code", "busy"},
	)
	if len(lines) != 3 {
		t.Fatalf("%d lines, want 3", len(lines))
	}
	for i, line := range lines {
		if len(line) > maxLineSize {
			t.Errorf("line %d has %d bytes", i, len(line))
		}
	}
	for i, want := range []map[string]any{
		{"level": "info", "msg": "statement refused", "id": strings.Repeat("\x01", maxFieldSize) + "... (1048576 bytes)", "code": "busy", "version": json.Number("9223372036854775809")},
		{"level": "info", "msg": "statement refused", "id": strings.Repeat("x", maxFieldSize), "code": "busy"},
		{"level": "info", "msg": "statement refused", "size": json.Number("1048675")},
	} {
		var got map[string]any
		d := json.NewDecoder(strings.NewReader(lines[i]))
		d.UseNumber()
		if err := d.Decode(&got); err != nil {
			t.Fatalf("line %d is no JSON: %v", i, err)
		}
		delete(got, "time")
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("line %d (-want +got):\n%s", i, diff)
		}
	}
}

// TestOddCharacters checks that a text of a caller cannot begin a line or a field of its own.
func TestOddCharacters(t *testing.T) {
	text := "a\r\nb\x00\x1b[2J\u2028\",\"code\":\"none\"}\xff"
	lines := logLines(t, []any{"id", text, "code", "busy"})
	if len(lines) != 1 {
		t.Fatalf("%d lines, want 1: %q", len(lines), lines)
	}
	var got map[string]any
	if err := json.Unmarshal([]byte(lines[0]), &got); err != nil {
		t.Fatal(err)
	}
	delete(got, "time")
	want := map[string]any{"level": "info", "msg": "statement refused", "id": strings.ToValidUTF8(text, "\ufffd"), "code": "busy"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("line (-want +got):\n%s", diff)
	}
}
