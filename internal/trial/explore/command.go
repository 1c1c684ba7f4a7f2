package explore

import (
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
)

// Command searches a group of a given size. Its results go to Out.
type Command struct {
	Out               io.Writer
	VMs               int      `long:"vms" default:"2" description:"VMs, up to 3"`
	Servers           int      `long:"servers" default:"3" description:"Backend servers, up to 4"`
	Commits           uint8    `long:"commits" default:"2" description:"Commits, up to 3"`
	Faults            uint8    `long:"faults" default:"2" description:"Faults in one run"`
	Attempts          uint8    `long:"attempts" default:"2" description:"Attempts to change the primary in one run"`
	Promotions        uint8    `long:"promotions" default:"2" description:"Promotions in one run"`
	Depth             uint8    `long:"depth" default:"0" description:"Events in one run; 0 means without limit"`
	Seed              uint64   `long:"seed" description:"Make random runs from this seed instead of the full search"`
	Runs              int      `long:"runs" default:"1000000" description:"Random runs"`
	Length            int      `long:"length" default:"80" description:"Events in a random run"`
	Memory            uint64   `long:"memory" default:"3000" description:"Memory at which the search ends, in MB, up to 4000"`
	Without           []string `long:"without" choice:"across" choice:"restarts" choice:"target" choice:"start" choice:"releases" choice:"orders" choice:"commits" choice:"followers" choice:"answer" choice:"proof" choice:"earlier" choice:"stopping" description:"A rule to turn off; may be repeated"`
	Present           bool     `long:"present" description:"Turn off the rules that the code which runs does not have"`
	ServerTerms       bool     `long:"server-terms" description:"Positions have the term of the server, not of the last commit"`
	SlowSwitch        bool     `long:"slow-switch" description:"A replica that reaches a new primary may still receive from the former one"`
	PromoteEndsPauses bool     `long:"promote-ends-pauses" description:"A promotion ends the pauses of all replicas"`
}

// maxMemory is the largest memory of a search, in MB.
const maxMemory = 4000

// Execute implements flags.Commander. It returns an error if a promise is broken.
func (c *Command) Execute([]string) error {
	if c.VMs < 1 || c.VMs > maxVMs || c.Servers < 2 || c.Servers > maxServers || c.Commits > maxCommits || c.Memory > maxMemory {
		return errors.Errorf("at most %d VMs, %d servers, %d commits and %d MB, at least 1 VM and 2 servers", maxVMs, maxServers, maxCommits, maxMemory)
	}
	m := Model{
		Rules: c.rules(), Surroundings: Surroundings{ServerTerms: c.ServerTerms, PromoteEndsPauses: c.PromoteEndsPauses, SlowSwitch: c.SlowSwitch},
		Size:   Size{VMs: c.VMs, Servers: c.Servers},
		Bounds: Bounds{Commits: c.Commits, Faults: c.Faults, Attempts: c.Attempts, Promotions: c.Promotions, Depth: c.Depth},
	}
	r := c.run(&m)
	r.Write(c.Out)
	if r.Violation != "" {
		return errors.New("a promise is broken")
	}
	return nil
}

func (c *Command) run(m *Model) Result {
	if c.Seed != 0 {
		return m.Walk(c.Seed, c.Runs, c.Length)
	}
	const megabyte = 1 << 20
	return m.Search(Options{MaxMemory: c.Memory * megabyte, ProgressFunc: func(states, frontier, depth int, elapsed time.Duration) {
		_, _ = fmt.Fprintf(c.Out, "%d states, %d new at depth %d, %.0f states/s\n", states, frontier, depth, float64(states)/elapsed.Seconds())
	}})
}

// rules returns the rules that the flags ask for.
func (c *Command) rules() Rules {
	rules := AllRules()
	if c.Present {
		rules = PresentRules()
	}
	return rules.Without(c.Without...)
}
