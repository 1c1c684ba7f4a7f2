// Package logs makes the loggers of the programs.
package logs

import (
	"io"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
)

// Options says how log lines look.
type Options struct {
	// Level is debug, info, warn or error.
	Level string
	// JSON writes one JSON object a line.
	JSON bool
}

// New returns a logger that writes to w.
func New(w io.Writer, o Options) (*log.Logger, error) {
	level, err := log.ParseLevel(o.Level)
	if err != nil {
		return nil, errors.Errorf("unknown log level %q: use debug, info, warn or error", o.Level)
	}
	l := log.NewWithOptions(w, log.Options{Level: level, ReportTimestamp: true})
	if o.JSON {
		l.SetFormatter(log.JSONFormatter)
	}
	return l, nil
}
