package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/sycamoredoor/sycamoredoor/internal/command/shell"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/experiment"
)

// addRunCommand adds the subcommand that runs an experiment. The subcommand writes results
// to out and progress lines to progress.
func addRunCommand(p *flags.Parser, out, progress io.Writer) {
	if _, err := p.AddCommand("run", "Run an experiment",
		"Runs the installation, load and faults that a file describes, checks every answer and reports. There are no plots and no baselines yet.",
		&runCommand{out: out, progress: progress}); err != nil {
		panic(err)
	}
}

type runCommand struct {
	out       io.Writer
	progress  io.Writer
	JSON      bool    `long:"json" description:"Print one JSON object"`
	Seed      *uint64 `long:"seed" description:"Seed of the load instead of the file's"`
	Short     bool    `long:"short" description:"Run for the file's short length"`
	Arguments struct {
		File string `positional-arg-name:"FILE.yaml"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	source, err := os.ReadFile(c.Arguments.File)
	if err != nil {
		return err
	}
	spec, err := experiment.Parse(c.Arguments.File, source)
	if err != nil {
		return err
	}
	r, err := experiment.Run(context.Background(), spec, c.options(spec))
	if err != nil {
		return err
	}
	if c.JSON {
		err = shell.WriteJSON(c.out, r)
	} else {
		err = c.print(r)
	}
	if err != nil {
		return err
	}
	if failedChecks := r.FailedChecks(); len(failedChecks) > 0 {
		return errors.New("the experiment broke a promise: " + strings.Join(failedChecks, "; "))
	}
	return nil
}

// options returns the options of a run: those of the file, changed by the flags.
func (c *runCommand) options(spec experiment.Spec) experiment.Options {
	o := experiment.Options{Seed: spec.Seed, Length: spec.Length, ProgressFunc: func(line string) { _, _ = fmt.Fprintln(c.progress, line) }}
	if c.Seed != nil {
		o.Seed = *c.Seed
	}
	if c.Short {
		o.Length = spec.ShortLength
	}
	return o
}

// print prints the totals, a table of the client accounts, and the errors.
func (c *runCommand) print(r experiment.Report) error {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	for _, row := range []struct {
		name  string
		value any
		unit  string
	}{
		{"seed", r.Seed, ""},
		{"reads", r.Reads, "requests"},
		{"  of these on replicas", fmt.Sprintf("%.1f", 100*r.ReplicaShare), "%"},
		{"writes", r.Writes, "requests"},
		{"charges, which must not be repeated", r.Charges, "requests"},
		{"  repeated after an unknown outcome", r.Retries, "times"},
		{"wrong answers or faults", r.Failures, ""},
		{"broken invariants", r.Violations, "checks"},
		{"wrongful refusals", r.WrongfulRefusals, "requests"},
		{"unknown outcomes", r.UnknownOutcomes, "requests"},
		{"cut as their VM was killed", r.KilledRequests, "requests"},
		{"told to connect elsewhere", r.Reconnects, "times"},
		{"refused as over the rate", r.RateLimited, "requests"},
		{"arrivals without a free session", r.DroppedArrivals, "requests"},
		{"worst served account", fmt.Sprintf("%.1f", 100*r.WorstServedShare), "% of its share"},
		{"failover gap", r.FailoverGap, "ms"},
		{"change of configuration in force", r.ConfigLag, "ms"},
		{"callers of a withdrawn key cut", r.KeyWithdrawalLag, "ms"},
	} {
		_, _ = fmt.Fprintf(w, "%s\t%v\t%s\n", row.name, row.value, row.unit)
	}
	_, _ = fmt.Fprintln(w, "\naccount\tserved\tnot served\tmedian ms\t99 % ms\thighest ms")
	for _, a := range r.Accounts {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%.1f\t%.1f\t%.1f\n", a.Name, a.Served, a.NotServed, millis(a.MedianLatency), millis(a.P99Latency), millis(a.MaxLatency))
	}
	for _, e := range r.Errors {
		_, _ = fmt.Fprintln(w, " ", e)
	}
	return w.Flush()
}

// millis converts microseconds to milliseconds.
func millis(micros int64) float64 { return float64(micros) / 1000 }
