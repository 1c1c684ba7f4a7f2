// Package bench implements the command line of sycamorebench.
package bench

import (
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/sycamoredoor/sycamoredoor/internal/command/shell"
)

// Main runs the program with its own commands and the extra ones, and returns its exit
// code.
func Main(arguments []string, out, errOut io.Writer, extra ...shell.Command) int {
	p := flags.NewNamedParser("sycamorebench", flags.None)
	p.LongDescription = "Measures sycamoredoor on this machine."
	addRunCommand(p, out, errOut)
	for _, c := range extra {
		if _, err := p.AddCommand(c.Name, c.Short, c.Long, c.Runner); err != nil {
			panic(err)
		}
	}
	return shell.Run(p, arguments, out, errOut)
}
