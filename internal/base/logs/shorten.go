package logs

import (
	"bytes"
	"encoding/json"
	"fmt"
)

const (
	// longLineSize is the size above which the texts of a line are cut, and maxLineSize that of
	// the longest line, in bytes. A line with all metrics has no long texts.
	longLineSize = 8 << 10
	maxLineSize  = 64 << 10
	// maxFieldSize is how much is kept of a text in a long line, in bytes.
	maxFieldSize = 512
)

// shorten returns a JSON line with its long texts cut. If it is still too long, or no JSON
// object, only its level, its message and its size are left.
func shorten(line []byte) []byte {
	fields := map[string]any{}
	d := json.NewDecoder(bytes.NewReader(line))
	d.UseNumber()
	_ = d.Decode(&fields)
	for name, value := range fields {
		if text, ok := value.(string); ok && len(text) > maxFieldSize {
			fields[name] = fmt.Sprintf("%s... (%d bytes)", text[:maxFieldSize], len(text))
		}
	}
	if out, err := json.Marshal(fields); err == nil && len(fields) > 0 && len(out) < maxLineSize {
		return append(out, '\n')
	}
	// Numbers and texts of a limited size can always be encoded.
	out, _ := json.Marshal(map[string]any{"level": fields["level"], "msg": fields["msg"], "size": len(line)})
	return append(out, '\n')
}
