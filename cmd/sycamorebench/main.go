// Command sycamorebench measures and tests the proxy on one machine.
package main

import (
	"os"

	"github.com/sycamoredoor/sycamoredoor/internal/command/bench"
	"github.com/sycamoredoor/sycamoredoor/internal/command/shell"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/explore"
	"github.com/sycamoredoor/sycamoredoor/platform/soak"
)

func main() {
	os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr, shell.Command{
		Name: "soak", Short: "Run the programs under faults",
		Long:   "Runs the proxy of several VMs as processes against a stand-in of the users' platform, injects faults from outside, and checks what callers and backend servers see.",
		Runner: &soak.Command{Out: os.Stdout},
	}, shell.Command{
		Name: "explore", Short: "Search the orders of events around a change of primary",
		Long:   "Searches a model of a database group for an order of events that loses an acknowledged commit, and prints the shortest one. All orders within the bounds are searched, or random ones if a seed is given.",
		Runner: &explore.Command{Out: os.Stdout},
	}))
}
