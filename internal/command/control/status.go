package control

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/command/shell"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/operator"
)

// vmStatus is the status that one VM reports, or the reason why it did not answer.
type vmStatus struct {
	VM      string           `json:"vm"`
	Leaving bool             `json:"leaving,omitempty"`
	Status  *operator.Status `json:"status,omitempty"`
	Error   string           `json:"error,omitempty"`
}

// maxConcurrentQueries is the number of VMs that are queried at once.
const maxConcurrentQueries = 64

// queryAll queries the VM at --address, which lists all VMs, and then each of the others.
// It fails only if the first query does. The timeout, in milliseconds, applies to each
// query.
func (g *globalOptions) queryAll(timeout clock.Millis) ([]vmStatus, error) {
	client, err := g.clientFor(g.Address, timeout)
	if err != nil {
		return nil, err
	}
	status, err := client.Status(context.Background())
	if err != nil {
		return nil, err
	}
	out := make([]vmStatus, len(status.Members))
	semaphore := make(chan struct{}, maxConcurrentQueries)
	var queries sync.WaitGroup
	for i, m := range status.Members {
		out[i] = vmStatus{VM: m.Name, Leaving: m.Leaving}
		if m.Name == status.VM.Name {
			out[i].Status = &status
			continue
		}
		queries.Add(1)
		go func() {
			defer queries.Done()
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			out[i].Status, out[i].Error = g.queryStatus(m.Operator, timeout)
		}()
	}
	queries.Wait()
	return out, nil
}

// queryStatus returns the status of the VM at url, or the reason why there is none.
func (g *globalOptions) queryStatus(url string, timeout clock.Millis) (*operator.Status, string) {
	if url == "" {
		return nil, "its address for operators is not known"
	}
	client, err := g.clientFor(url, timeout)
	if err != nil {
		return nil, err.Error()
	}
	s, err := client.Status(context.Background())
	if err != nil {
		return nil, err.Error()
	}
	return &s, ""
}

type statusCommand struct{ global *globalOptions }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	answers, err := c.global.queryAll(clock.Millis(c.global.Timeout))
	if err != nil {
		return err
	}
	err = c.global.printResult(struct {
		VMs []vmStatus `json:"vms"`
	}{answers}, func() { printStatus(c.global.out, answers) })
	if err != nil {
		return err
	}
	// No version is lower than 0, so only the VMs that did not answer are behind it.
	if unanswered := vmsBehind(answers, 0); len(unanswered) > 0 {
		return errors.Errorf("no answer from %s", strings.Join(unanswered, ", "))
	}
	return nil
}

func printStatus(out io.Writer, answers []vmStatus) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "VM\tZONE\tVERSION\tVIOLATIONS\tSTATE")
	for _, a := range answers {
		if a.Status == nil {
			_, _ = fmt.Fprintf(w, "%s\t\t\t\tno answer: %s\n", a.VM, a.Error)
			continue
		}
		state := "live"
		if a.Leaving {
			state = "leaving"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", a.VM, a.Status.VM.Zone, a.Status.Version, a.Status.Violations, state)
	}
	_, _ = fmt.Fprintln(w, "\nDATABASE\tSERVER\tHOLDER\tHELD\tTERM\tAPPLIED\tLAG")
	for _, a := range answers {
		if a.Status == nil {
			continue
		}
		for _, h := range a.Status.Holdings {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%d\t%s\t%d ms\n", h.Database, h.State.Server, a.VM, h.Held, h.State.Term, h.State.Applied, h.State.Lag)
		}
	}
	_ = w.Flush()
}

// vmsBehind returns the VMs that did not answer or whose version in force is lower than
// the given one, each with the reason.
func vmsBehind(answers []vmStatus, version uint64) []string {
	var out []string
	for _, a := range answers {
		switch {
		case a.Status == nil:
			out = append(out, a.VM+" (no answer)")
		case a.Status.Version < version:
			out = append(out, fmt.Sprintf("%s (version %d)", a.VM, a.Status.Version))
		}
	}
	return out
}

// highestAccepted returns the highest version that any VM reports as accepted. No VM
// acts on a lower version any more, not even one that does not answer.
func highestAccepted(answers []vmStatus) uint64 {
	var out uint64
	for _, a := range answers {
		if a.Status != nil {
			out = max(out, a.Status.AcceptedVersion)
		}
	}
	return out
}

// waitCommand waits until no VM acts on a version lower than the given one.
type waitCommand struct {
	Args struct {
		Version uint64 `positional-arg-name:"VERSION" required:"yes"`
	} `positional-args:"yes"`
	global *globalOptions
}

// pollInterval is the pause between two rounds of queries of waitCommand, in
// milliseconds.
const pollInterval = 100 * clock.Millis(1)

// queryTimeout bounds each query of waitCommand, in milliseconds.
const queryTimeout = 2 * clock.Second

// Execute implements flags.Commander.
func (c *waitCommand) Execute([]string) error {
	timeout := clock.Millis(c.global.Timeout)
	ctx, cancel := context.WithTimeout(context.Background(), timeout.Duration())
	defer cancel()
	for {
		answers, err := c.global.queryAll(min(timeout, queryTimeout))
		behind := vmsBehind(answers, c.Args.Version)
		if err == nil && (len(behind) == 0 || highestAccepted(answers) >= c.Args.Version) {
			return c.global.printResult(c.Args, func() { c.global.printf("version %d is in force at %d VMs", c.Args.Version, len(answers)-len(behind)) })
		}
		if clock.System().Sleep(ctx, pollInterval) == nil {
			continue
		}
		if err == nil {
			err = errors.Errorf("version %d is missing at %s", c.Args.Version, strings.Join(behind, ", "))
		}
		return &shell.ExitError{Code: shell.ExitTimeout, Cause: err}
	}
}

func printHistory(out io.Writer, h operator.History) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "VERSION\tWHEN\tWHO\tSECTIONS\tREQUEST")
	for _, e := range h.Entries {
		names := strings.Join(slices.Sorted(maps.Keys(e.Sections)), ", ")
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", e.Version, e.Time.UTC().Format(time.RFC3339), e.Operator, names, e.RequestID)
	}
	_ = w.Flush()
}
