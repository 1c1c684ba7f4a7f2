// Command sycamorebench measures the proxy on one machine.
package main

import (
	"os"

	"github.com/sycamoredoor/sycamoredoor/internal/command/bench"
)

func main() { os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr)) }
