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
	// queueCapacity is the number of lines that wait to be written.
	queueCapacity = 512
	// lineRate is the lines a second that are written for long, and lineBurst those
	// that may come at once.
	lineRate  = 100
	lineBurst = 400
)

// Queue is a writer that never blocks: lines wait for a goroutine that writes
// them, and what exceeds the room or the rate is dropped and counted.
type Queue struct {
	lines   chan []byte
	done    chan struct{}
	dropped *metrics.Counter

	mu         sync.Mutex
	closed     bool
	tokens     float64
	refilledAt time.Time
	// unreportedDrops counts the lines that were dropped since the last that was not.
	unreportedDrops int
}

// NewQueue returns a queue in front of a writer. Close must be called.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{
		lines: make(chan []byte, queueCapacity), done: make(chan struct{}), tokens: lineBurst, refilledAt: time.Now(),
		dropped: metrics.GetOrCreateCounter("sycamoredoor_log_lines_dropped_total"),
	}
	go func() {
		defer close(q.done)
		for l := range q.lines {
			// There is nowhere to report a log that cannot be written.
			_, _ = out.Write(l)
		}
	}()
	return q
}

// Write takes a line. It always returns the length of the line, since a logger
// takes anything else for a broken writer.
func (q *Queue) Write(line []byte) (int, error) {
	size := len(line)
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

func (q *Queue) countDrop() {
	q.unreportedDrops++
	q.dropped.Inc()
}

// Close writes the lines that wait; later ones are dropped.
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
