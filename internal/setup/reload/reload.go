// Package reload takes up certificates again when their files change or a
// signal asks for it, so that no restart is needed.
package reload

import (
	"context"
	"fmt"
	"os"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// Interval is the pause between two looks at the files in milliseconds.
const Interval = 5 * clock.Second

// Part is a set of files that are taken up together.
type Part struct {
	// Name stands in the log and in the counters.
	Name string
	// Files are watched.
	Files []string
	// LoadFunc reads the files. On an error it leaves the earlier content in force.
	LoadFunc func() error
}

// Watcher follows parts.
type Watcher struct {
	parts  []Part
	stamps [][]stamp
	log    *log.Logger
	done   chan struct{}
}

// stamp tells whether a file is still the one that was loaded.
type stamp struct {
	modified int64
	size     int64
}

// New loads every part for the first time and returns their watcher.
func New(parts []Part, logger *log.Logger) (*Watcher, error) {
	w := &Watcher{parts: parts, log: logger, done: make(chan struct{})}
	for _, p := range parts {
		w.stamps = append(w.stamps, stampsOf(p.Files))
		if err := p.LoadFunc(); err != nil {
			return nil, errors.Wrap(err, p.Name)
		}
	}
	return w, nil
}

// Done is closed once Run has returned.
func (w *Watcher) Done() <-chan struct{} { return w.done }

// Run looks at the files at each tick and loads everything at each signal, until
// the context ends.
func (w *Watcher) Run(ctx context.Context, signals <-chan os.Signal, c clock.Clock) {
	defer close(w.done)
	ticks := make(chan struct{})
	go tick(ctx, c, ticks)
	for {
		select {
		case <-signals:
			w.Reload()
		case _, more := <-ticks:
			if !more {
				return
			}
			w.Poll()
		}
	}
}

// tick sends at each interval and closes the channel when the context ends.
func tick(ctx context.Context, c clock.Clock, ticks chan<- struct{}) {
	defer close(ticks)
	for c.Sleep(ctx, Interval) == nil {
		select {
		case ticks <- struct{}{}:
		case <-ctx.Done():
		}
	}
}

// Poll loads the parts whose files have changed since they were last loaded. A
// part that fails is tried again only after its files have changed once more.
func (w *Watcher) Poll() {
	for i, p := range w.parts {
		now := stampsOf(p.Files)
		if equal(now, w.stamps[i]) {
			continue
		}
		w.load(i, now)
	}
}

// Reload loads every part.
func (w *Watcher) Reload() {
	for i, p := range w.parts {
		w.load(i, stampsOf(p.Files))
	}
}

func (w *Watcher) load(i int, now []stamp) {
	p := w.parts[i]
	w.stamps[i] = now
	if err := p.LoadFunc(); err != nil {
		count(p.Name, "failed")
		w.log.Error("reload failed; the earlier keys stay in force", "part", p.Name, "err", err)
		return
	}
	count(p.Name, "good")
	w.log.Info("keys reloaded", "part", p.Name)
}

func count(part, result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("sycamoredoor_reloads_total{part=%q,result=%q}", part, result)).Inc()
}

func stampsOf(files []string) []stamp {
	out := make([]stamp, len(files))
	for i, f := range files {
		if info, err := os.Stat(f); err == nil {
			out[i] = stamp{modified: info.ModTime().UnixNano(), size: info.Size()}
		}
	}
	return out
}

func equal(a, b []stamp) bool {
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
