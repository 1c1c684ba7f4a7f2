package daemon

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/command/shell"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/try"
)

type tryCommand struct {
	out    io.Writer
	JSON   bool   `long:"json" description:"Print one JSON object"`
	Seed   uint64 `long:"seed" default:"1" description:"Seed of the load"`
	Length int64  `long:"length" default:"10000" description:"Length of the load in milliseconds"`
}

// trySessions is the number of callers of a trial.
const trySessions = 24

// Execute implements flags.Commander.
func (c *tryCommand) Execute([]string) error {
	r, err := try.Run(context.Background(), try.Options{Seed: c.Seed, Length: clock.Millis(c.Length), Sessions: trySessions})
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
	if !r.Passed() {
		return errors.New("the trial broke a promise")
	}
	return nil
}

func (c *tryCommand) print(r try.Report) error {
	rows := []struct{ name, value, unit string }{
		{"reads", fmt.Sprint(r.Reads), "requests"},
		{"  of these on replicas", fmt.Sprintf("%.1f", 100*r.ReplicaShare), "%"},
		{"writes", fmt.Sprint(r.Writes), "requests"},
		{"wrong answers", fmt.Sprint(r.WrongAnswers), "answers"},
		{"broken invariants", fmt.Sprint(r.Violations), "checks"},
		{"wrongful refusals", fmt.Sprint(r.WrongfulRefusals), "requests"},
		{"unknown outcomes", fmt.Sprint(r.UnknownOutcomes), "writes"},
		{"worst served account", fmt.Sprintf("%.1f", 100*r.WorstServedShare), "% of its share"},
		{"failover gap", fmt.Sprint(r.FailoverGap), "ms"},
		{"change of configuration in force", fmt.Sprint(r.ConfigLag), "ms"},
		{"callers of a withdrawn key cut", fmt.Sprint(r.KeyWithdrawalLag), "ms"},
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", row.name, row.value, row.unit)
	}
	for _, e := range r.Errors {
		_, _ = fmt.Fprintln(w, " ", e)
	}
	return w.Flush()
}
