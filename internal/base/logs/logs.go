// Package logs creates the loggers of the programs.
package logs

import (
	"io"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
)

// Options configures a logger.
type Options struct {
	// Level is the lowest level that is written: debug, info, warn or error.
	Level string
	// JSON writes each line as a JSON object.
	JSON bool
}

// New returns a logger that writes to w. It fails if the level is unknown.
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
