// Package reload reloads certificates when their files change or a signal arrives, so
// that no restart is needed.
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

// PollInterval is the interval at which the files are checked for changes, in
// milliseconds.
const PollInterval = 5 * clock.Second

// FileSet is a set of files that are loaded together.
type FileSet struct {
	// Name identifies the set in log lines and metrics.
	Name string
	// Files are the paths that are watched for changes.
	Files []string
	// LoadFunc loads the files. On an error it must leave the previous content in force.
	LoadFunc func() error
}

// Watcher reloads file sets when their files change.
type Watcher struct {
	fileSets []FileSet
	// stamps holds, for each file set, the stamps of its files at the last attempt to
	// load them.
	stamps [][]fileStamp
	log    *log.Logger
	done   chan struct{}
}

// fileStamp identifies the content of a file by its modification time in nanoseconds
// and its size in bytes. It is zero if os.Stat fails, as for a file that does not exist.
type fileStamp struct {
	modified int64
	size     int64
}

// New loads every file set and returns their watcher. It fails if any of them cannot
// be loaded.
func New(fileSets []FileSet, logger *log.Logger) (*Watcher, error) {
	w := &Watcher{fileSets: fileSets, log: logger, done: make(chan struct{})}
	for _, set := range fileSets {
		w.stamps = append(w.stamps, statFiles(set.Files))
		if err := set.LoadFunc(); err != nil {
			return nil, errors.Wrap(err, set.Name)
		}
	}
	return w, nil
}

// Done is closed once Run has returned.
func (w *Watcher) Done() <-chan struct{} { return w.done }

// Run checks the files at each PollInterval and reloads every file set at each signal,
// until the context ends. It must be called once.
func (w *Watcher) Run(ctx context.Context, signals <-chan os.Signal, c clock.Clock) {
	defer close(w.done)
	ticks := make(chan struct{})
	go sendTicks(ctx, c, ticks)
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

// sendTicks sends a tick at each PollInterval and closes the channel when the context
// ends.
func sendTicks(ctx context.Context, c clock.Clock, ticks chan<- struct{}) {
	defer close(ticks)
	for c.Sleep(ctx, PollInterval) == nil {
		select {
		case ticks <- struct{}{}:
		case <-ctx.Done():
		}
	}
}

// Poll loads the file sets whose files have changed since the last attempt to load them.
// A failed attempt counts too, so that a failure is logged once and not at each poll.
func (w *Watcher) Poll() {
	for i, set := range w.fileSets {
		newStamps := statFiles(set.Files)
		if equalStamps(newStamps, w.stamps[i]) {
			continue
		}
		w.load(i, newStamps)
	}
}

// Reload loads every file set, whether or not its files have changed.
func (w *Watcher) Reload() {
	for i, set := range w.fileSets {
		w.load(i, statFiles(set.Files))
	}
}

// load loads file set i, and logs and counts the result. The stamps of its files must be
// from before the load, so that the next poll sees a change made during it.
func (w *Watcher) load(i int, stamps []fileStamp) {
	set := w.fileSets[i]
	w.stamps[i] = stamps
	if err := set.LoadFunc(); err != nil {
		countReload(set.Name, "failed")
		w.log.Error("reload failed; the earlier keys stay in force", "part", set.Name, "err", err)
		return
	}
	countReload(set.Name, "good")
	w.log.Info("keys reloaded", "part", set.Name)
}

func countReload(part, result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("sycamoredoor_reloads_total{part=%q,result=%q}", part, result)).Inc()
}

func statFiles(files []string) []fileStamp {
	out := make([]fileStamp, len(files))
	for i, f := range files {
		if info, err := os.Stat(f); err == nil {
			out[i] = fileStamp{modified: info.ModTime().UnixNano(), size: info.Size()}
		}
	}
	return out
}

// equalStamps compares the stamps of the same files; a and b have equal length.
func equalStamps(a, b []fileStamp) bool {
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
