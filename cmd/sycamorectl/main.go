// Command sycamorectl is the command-line client for operators.
package main

import (
	"os"

	"github.com/sycamoredoor/sycamoredoor/internal/command/control"
)

func main() { os.Exit(control.Main(os.Args[1:], os.Stdout, os.Stderr)) }
