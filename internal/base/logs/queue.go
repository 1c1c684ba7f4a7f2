package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// queueCapacity is the number of lines that may wait to be written.
	queueCapacity = 512
	// lineRate and lineBurst configure the token bucket of lines: the rate in lines
	// per second, and the number of lines that may come at once.
	lineRate  = 100
	lineBurst = 400
)

// Queue is a writer for a JSON logger that never blocks. A goroutine writes the queued
// lines. Lines beyond the capacity or the rate are dropped and counted; a JSON line with
// their number precedes the next line that is queued.
type Queue struct {
	lines   chan []byte
	done    chan struct{}
	dropped *metrics.Counter

	mu         sync.Mutex
	closed     bool
	tokens     float64
	refilledAt time.Time
	// unreportedDrops counts the lines dropped since the last one that was queued.
	unreportedDrops int
}

// NewQueue returns a queue that writes to out. The caller must call Close.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{
		lines: make(chan []byte, queueCapacity), done: make(chan struct{}), tokens: lineBurst, refilledAt: time.Now(),
		dropped: metrics.GetOrCreateCounter("sycamoredoor_log_lines_dropped_total"),
	}
	go func() {
		defer close(q.done)
		for l := range q.lines {
			// A failure to write the log cannot be logged.
			_, _ = out.Write(l)
		}
	}()
	return q
}

// Write queues or drops a line; one over longLineSize is shortened. It always returns the
// length of the line: a logger treats any other count as a failed write.
func (q *Queue) Write(line []byte) (int, error) {
	size := len(line)
	if size > longLineSize {
		line = shorten(line)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return size, nil
	}
	now := time.Now()
	q.tokens = min(q.tokens+now.Sub(q.refilledAt).Seconds()*lineRate, lineBurst)
	q.refilledAt = now
	if q.tokens < 1 {
		q.countDrop()
		return size, nil
	}
	if q.unreportedDrops > 0 {
		notice := fmt.Sprintf("{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", q.unreportedDrops)
		line = append([]byte(notice), line...)
	}
	select {
	case q.lines <- bytes.Clone(line):
		q.tokens--
		q.unreportedDrops = 0
	default:
		q.countDrop()
	}
	return size, nil
}

// countDrop counts a dropped line. The caller must hold q.mu.
func (q *Queue) countDrop() {
	q.unreportedDrops++
	q.dropped.Inc()
}

// Close writes the queued lines and stops the goroutine. Lines written later are
// dropped without being counted.
func (q *Queue) Close() {
	q.mu.Lock()
	alreadyClosed := q.closed
	q.closed = true
	q.mu.Unlock()
	if !alreadyClosed {
		close(q.lines)
	}
	<-q.done
}
