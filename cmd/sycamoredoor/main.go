// Command sycamoredoor is the daemon of the database proxy; it is the same on
// every VM.
package main

import (
	"os"

	"github.com/sycamoredoor/sycamoredoor/internal/command/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
