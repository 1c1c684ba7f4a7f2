// Package bench implements the command line of sycamorebench.
package bench

import (
	"context"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/sycamoredoor/sycamoredoor/internal/command/shell"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/capacity"
)

// Main runs the program with its own commands and the extra ones, and returns its exit
// code.
func Main(arguments []string, out, errOut io.Writer, extra ...shell.Command) int {
	p := flags.NewNamedParser("sycamorebench", flags.None)
	p.LongDescription = "Measures sycamoredoor on this machine."
	if _, err := p.AddCommand("capacity", "Measure how costs grow",
		"Measures what each role costs on this machine and writes the tables of the capacity page.", &capacityCommand{out: out}); err != nil {
		panic(err)
	}
	addRunCommand(p, out, errOut)
	for _, c := range extra {
		if _, err := p.AddCommand(c.Name, c.Short, c.Long, c.Runner); err != nil {
			panic(err)
		}
	}
	return shell.Run(p, arguments, out, errOut)
}

type capacityCommand struct {
	out  io.Writer
	JSON bool   `long:"json" description:"Print one JSON object and leave the page as it is"`
	Page string `long:"page" default:"docs/CAPACITY.md" value-name:"FILE" description:"Page whose tables are replaced"`
}

// Execute implements flags.Commander.
func (c *capacityCommand) Execute([]string) error {
	r, err := capacity.Measure(context.Background())
	if err != nil {
		return err
	}
	if c.JSON {
		return shell.WriteJSON(c.out, r)
	}
	page, err := os.ReadFile(c.Page)
	if err != nil {
		return err
	}
	text, err := capacity.ReplaceTables(string(page), r.Markdown())
	if err != nil {
		return err
	}
	return os.WriteFile(c.Page, []byte(text), pageMode)
}

// pageMode takes effect only if the page was removed after it was read: an existing page
// keeps its mode.
const pageMode = 0o644
