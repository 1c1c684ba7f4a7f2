// Package daemon implements the command line of sycamoredoor.
package daemon

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/sycamoredoor/sycamoredoor/internal/command/shell"
)

// Main runs the program with its own commands and the extra ones, and returns its exit
// code.
func Main(arguments []string, out, errOut io.Writer, extra ...shell.Command) int {
	p := flags.NewNamedParser("sycamoredoor", flags.None)
	p.LongDescription = "A database proxy with session consistency."
	add := func(name, short, long string, command any) {
		if _, err := p.AddCommand(name, short, long, command); err != nil {
			panic(err)
		}
	}
	add("serve", "Run the proxy", "Runs the proxy of one VM until it is told to stop.", &serveCommand{logOut: errOut})
	add("try", "Run a trial on stand-ins", "Runs a whole installation in this process on stand-ins, with a short load, and checks every answer.", &tryCommand{out: out})
	add("standin", "Run stand-ins for serve", "Runs stand-ins of the platform and of one database group, and writes settings and keys for VMs that are started by hand with serve.", &standinCommand{out: out})
	add("version", "Print the version", "Prints the version.", &versionCommand{out: out})
	for _, c := range extra {
		add(c.Name, c.Short, c.Long, c.Runner)
	}
	return shell.Run(p, arguments, out, errOut)
}

type versionCommand struct{ out io.Writer }

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	_, err := fmt.Fprintln(c.out, shell.Version)
	return err
}
