// Package shell holds what the command lines of all programs share: parsing, exit codes
// and JSON output.
package shell

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// The exit codes of all programs.
const (
	ExitOK = 0
	// ExitFailed means that the command was valid but failed.
	ExitFailed = 1
	// ExitUsage means that the command line was invalid.
	ExitUsage = 2
	// ExitConflict means that the edit conflicts with an edit by someone else.
	ExitConflict = 3
	// ExitTimeout means that a wait timed out.
	ExitTimeout = 4
)

// ExitError is an error that sets the program's exit code.
type ExitError struct {
	Code  int
	Cause error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Cause }

// Version is the version of the programs. It is set at build time.
var Version = "development"

// Run parses the arguments, runs the chosen subcommand and returns the exit code: that of
// an *ExitError, ExitUsage for an invalid command line, ExitFailed for any other error.
// Help goes to out, errors go to errOut.
func Run(p *flags.Parser, arguments []string, out, errOut io.Writer) int {
	p.Options = flags.HelpFlag | flags.PassDoubleDash
	_, err := p.ParseArgs(arguments)
	var flagsError *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out, flagsError.Message)
		return ExitOK
	case errors.As(err, &flagsError):
		_, _ = fmt.Fprintln(errOut, flagsError.Message)
		return ExitUsage
	}
	_, _ = fmt.Fprintf(errOut, "%s: %v\n", p.Name, err)
	var exitError *ExitError
	if errors.As(err, &exitError) {
		return exitError.Code
	}
	return ExitFailed
}

// WriteJSON writes v as one indented JSON object.
func WriteJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
