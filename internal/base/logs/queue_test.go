package logs

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestQueueDrops floods a logger. Each line must be written, or counted in the notice
// before the next line that is written. Write must return the length of the line it
// was given: a logger panics on a higher count, and after a lower one it writes the rest
// of the line again.
func TestQueueDrops(t *testing.T) {
	var out bytes.Buffer
	q := NewQueue(&out)
	l, err := New(q, Options{Level: "info", JSON: true})
	if err != nil {
		t.Fatal(err)
	}
	const flood = 2 * (lineBurst + queueCapacity)
	logged := 0
	for ; logged < flood; logged++ {
		l.Info("flood")
	}
	for end := time.Now().Add(10 * time.Second); q.dropping() && time.Now().Before(end); time.Sleep(time.Second / lineRate) {
		l.Info("flood")
		logged++
	}
	if q.dropping() {
		t.Error("lines were still being dropped 10 s after the flood")
	}
	q.Close()
	// A line logged after Close must not reach the closed channel.
	l.Info("closed")
	written, dropped := 0, 0
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var entry struct {
			Msg   string `json:"msg"`
			Count int    `json:"count"`
		}
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			t.Fatalf("%v: %s", err, line)
		}
		dropped += entry.Count
		if entry.Msg == "flood" {
			written++
		}
	}
	if diff := cmp.Diff(logged, written+dropped); diff != "" {
		t.Errorf("sum of lines written and counted as dropped (-want +got):\n%s", diff)
	}
	if written < lineBurst || dropped == 0 {
		t.Errorf("%d lines were written and %d dropped, want at least %d and 1", written, dropped, lineBurst)
	}
}

// dropping reports whether lines were dropped since the last one that was queued.
func (q *Queue) dropping() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.unreportedDrops > 0
}
