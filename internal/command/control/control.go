// Package control is the command line of sycamorectl.
package control

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/command/shell"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/operator"
)

// global holds the options of every subcommand.
type global struct {
	Address string `long:"address" short:"a" env:"SYCAMOREDOOR_ADDRESS" default:"http://127.0.0.1:7433" description:"Address of a VM for operators"`
	Timeout int64  `long:"timeout" default:"10000" description:"Longest wait for an answer in milliseconds"`
	JSON    bool   `long:"json" description:"Print one JSON object"`

	out io.Writer
}

func (g *global) client() *operator.Client {
	return operator.NewClient(operator.Options{Base: g.Address, Timeout: clock.Millis(g.Timeout)})
}

// Main runs the program and returns its exit code.
func Main(arguments []string, out, fault io.Writer) int {
	g := &global{out: out}
	p := flags.NewNamedParser("sycamorectl", flags.None)
	p.LongDescription = "The operators' client of sycamoredoor."
	if _, err := p.AddGroup("Options", "", g); err != nil {
		panic(err)
	}
	if _, err := p.AddCommand("status", "Show a VM's view", "Shows the VMs, who holds what, terms, positions and lag.", &statusCommand{global: g}); err != nil {
		panic(err)
	}
	return shell.Run(p, arguments, out, fault)
}

type statusCommand struct{ global *global }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	s, err := c.global.client().Status(context.Background())
	if err != nil {
		return err
	}
	if c.global.JSON {
		return shell.JSON(c.global.out, s)
	}
	return printStatus(c.global.out, s)
}

func printStatus(out io.Writer, s operator.Status) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "VM\t%s\tzone %s\tversion %d\tviolations %d\n", s.VM.Name, s.VM.Zone, s.Version, s.Violations)
	for _, m := range s.Members {
		_, _ = fmt.Fprintf(w, "member\t%s\tzone %s\t%s\t\n", m.Name, m.Zone, m.Address)
	}
	for _, h := range s.Holdings {
		_, _ = fmt.Fprintf(w, "holds\t%s/%s\theld %t\tterm %d\tapplied %s\tlag %d ms\n", h.Database, h.State.Server, h.Held, h.State.Term, h.State.Applied, h.State.Lag)
	}
	return w.Flush()
}
