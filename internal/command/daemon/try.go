package daemon

import (
	"context"
	"fmt"
	"io"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/command/shell"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/try"
)

type tryCommand struct {
	out    io.Writer
	JSON   bool   `long:"json" description:"Print one JSON object"`
	Seed   uint64 `long:"seed" default:"1" description:"Seed of the load"`
	Length int64  `long:"length" default:"5000" description:"Length of the load in milliseconds"`
}

// trySessions is the number of callers of a trial.
const trySessions = 12

// Execute implements flags.Commander.
func (c *tryCommand) Execute([]string) error {
	r, err := try.Run(context.Background(), try.Options{Seed: c.Seed, Length: clock.Millis(c.Length), Sessions: trySessions})
	if err != nil {
		return err
	}
	if c.JSON {
		err = shell.JSON(c.out, r)
	} else {
		err = c.print(r)
	}
	if err != nil {
		return err
	}
	if !r.Good() {
		return errors.New("the trial broke a promise")
	}
	return nil
}

func (c *tryCommand) print(r try.Report) error {
	_, err := fmt.Fprintf(c.out, "reads             %d, of which %.1f %% on replicas\nwrites            %d\nwrong answers     %d\nviolations        %d\nwrongful refusals %d\nunknown outcomes  %d\nfailover gap      %d ms\n",
		r.Reads, 100*r.ReplicaShare, r.Writes, r.Wrong, r.Violations, r.Wrongful, r.Unknown, r.FailoverGap)
	for _, e := range r.Errors {
		_, _ = fmt.Fprintln(c.out, "  ", e)
	}
	return err
}
