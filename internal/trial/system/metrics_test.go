package system

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var (
	documentedMetric = regexp.MustCompile("(?m)^\\| `([a-z]+)` \\|(?:[^|]*\\|){3} (always|later) \\|")
	servedMetric     = regexp.MustCompile(`(?m)^([a-z][a-z0-9_]*)(?:\{[^}]*\})? `)
	histogramSuffix  = regexp.MustCompile(`_(bucket|sum|count)$`)
)

// TestMetricsAreListed compares docs/METRICS.md with the metrics of a VM after a write,
// a read and a refusal. Every metric must be listed, and every metric that is listed
// with "always" must be served.
func TestMetricsAreListed(t *testing.T) {
	documented, err := os.ReadFile("../../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	s := startSystem(t)
	for i := range s.VMs {
		c := connect(t, s, i, nil)
		for _, sql := range []string{
			"INSERT INTO box (id, v) VALUES ('7', 'plum') ON CONFLICT (id) DO UPDATE SET v = EXCLUDED.v /*route='box'*/",
			"SELECT v FROM box WHERE id = '7' /*route='list'*/",
		} {
			if _, err := c.Exec(t.Context(), sql); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := c.Exec(t.Context(), "SELECT 1 /*route='none'*/"); err == nil {
			t.Error("an unknown route was served")
		}
	}
	got := scrape(t, s.VMs[0].OperatorURL()+"/metrics")
	if !got["refused"] || !got["latency"] {
		t.Error("the refusal or the latency was not counted")
	}
	want := map[string]bool{}
	for _, m := range documentedMetric.FindAllStringSubmatch(string(documented), -1) {
		if m[2] == "always" || got[m[1]] {
			want[m[1]] = true
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("metrics (-docs/METRICS.md +served):\n%s", diff)
	}
}

// scrape returns the names of the metrics at a URL, without those of the Go runtime
// and the process.
func scrape(t *testing.T, url string) map[string]bool {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]bool{}
	for _, m := range servedMetric.FindAllStringSubmatch(string(text), -1) {
		name := histogramSuffix.ReplaceAllString(m[1], "")
		if !strings.HasPrefix(name, "go_") && !strings.HasPrefix(name, "process_") {
			out[name] = true
		}
	}
	return out
}
