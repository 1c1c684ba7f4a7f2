// Package shell holds what the programs' command lines share: parsing, exit
// codes and output for people or scripts.
package shell

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes of every program.
const (
	ExitOK = 0
	// ExitFailed means that the command was understood and did not succeed.
	ExitFailed = 1
	// ExitUsage means that the command line was wrong.
	ExitUsage = 2
	// ExitConflict means that another has changed what was to be changed.
	ExitConflict = 3
	// ExitTimeout means that the wait was over before the thing waited for came.
	ExitTimeout = 4
)

// ExitError is an error with an exit code of its own.
type ExitError struct {
	Code  int
	Cause error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Cause }

// Version is set at build time.
var Version = "development"

// Run parses the arguments, runs the chosen subcommand and returns the exit code.
func Run(p *flags.Parser, arguments []string, out, errOut io.Writer) int {
	p.Options = flags.HelpFlag | flags.PassDoubleDash
	_, err := p.ParseArgs(arguments)
	var f *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &f) && f.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out, f.Message)
		return ExitOK
	case errors.As(err, &f):
		_, _ = fmt.Fprintln(errOut, f.Message)
		return ExitUsage
	}
	_, _ = fmt.Fprintf(errOut, "%s: %v\n", p.Name, err)
	var c *ExitError
	if errors.As(err, &c) {
		return c.Code
	}
	return ExitFailed
}

// WriteJSON writes v as one indented JSON object.
func WriteJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
