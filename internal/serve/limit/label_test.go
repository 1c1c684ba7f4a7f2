package limit

import (
	"bytes"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

// TestAccountLabels guards against a scrape that fails for the name of an account.
func TestAccountLabels(t *testing.T) {
	c := newCounters("vm of the labels")
	accounts := []string{`plain`, `quote"brace}`, `back\`, "line\r\nend", "bell\a", "no\u00a0break", "zero\x00", "ä", `,reason="x`}
	for _, account := range accounts {
		c.countGranted(account)
	}
	var text bytes.Buffer
	metrics.WritePrometheus(&text, false)
	got := map[string]bool{}
	for line := range strings.SplitSeq(text.String(), "\n") {
		rest, ok := strings.CutPrefix(line, `granted{vm="vm of the labels",account="`)
		if !ok {
			continue
		}
		value, ok := strings.CutSuffix(rest, `"} 1`)
		if !ok {
			t.Errorf("the line %q does not end with its value", line)
		}
		got[unescape(t, value)] = true
	}
	for _, account := range accounts {
		if !got[account] {
			t.Errorf("no line has the account %q", account)
		}
	}
}

// unescape reads the value of a label as the text format of Prometheus defines it.
func unescape(t *testing.T, value string) string {
	t.Helper()
	var out strings.Builder
	for i := 0; i < len(value); i++ {
		switch {
		case value[i] == '"':
			t.Errorf("the value %q has a quote in it", value)
		case value[i] != '\\':
			out.WriteByte(value[i])
		default:
			i++
			switch value[i] {
			case '\\', '"':
				out.WriteByte(value[i])
			case 'n':
				out.WriteByte('\n')
			default:
				t.Errorf("the value %q has an escape %q", value, value[i])
			}
		}
	}
	return out.String()
}
