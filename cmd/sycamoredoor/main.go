// Command sycamoredoor is the daemon of the database proxy. Every VM runs the same
// program.
package main

import (
	"os"

	"github.com/sycamoredoor/sycamoredoor/internal/command/daemon"
	"github.com/sycamoredoor/sycamoredoor/internal/command/shell"
	"github.com/sycamoredoor/sycamoredoor/platform"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr, shell.Command{
		Name: "frontend", Short: "Run the proxy on the platform",
		Long:   "Runs the proxy of one VM of the users' platform, with the settings file that the environment names.",
		Runner: &platform.Command{Out: os.Stdout},
	}))
}
