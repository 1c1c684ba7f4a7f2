package daemon

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/sycamoredoor/sycamoredoor/internal/trial/stand"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/system"
)

type standinCommand struct {
	out    io.Writer
	Folder string `long:"folder" default:"standin" value-name:"FOLDER" description:"Folder that gets the settings and keys"`
	Port   int    `long:"port" default:"6432" value-name:"PORT" description:"First of three loopback ports for each VM: callers, inner, operators"`
	VMs    int    `long:"vms" default:"3" value-name:"N" description:"Number of VMs to write settings for"`
}

// Execute implements flags.Commander.
func (c *standinCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	folder, err := filepath.Abs(c.Folder)
	if err != nil {
		return err
	}
	s, err := stand.Start(ctx, stand.Options{Folder: folder, FirstPort: c.Port, VMs: c.VMs})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.out, "The platform and database %s are running. Start each VM in a terminal of its own:\n\n", stand.Database)
	for _, v := range s.VMs {
		_, _ = fmt.Fprintf(c.out, "    sycamoredoor serve --settings %s\n", filepath.Join(c.Folder, v.Name, "settings.yaml"))
	}
	_, _ = fmt.Fprintf(c.out, "\nCallers:   psql %q\nOperators: sycamorectl --address %s --tokenfile %s status\n\nInterrupt ends the stand-ins.\n",
		s.VMs[0].DSN(), s.VMs[0].OperatorURL, filepath.Join(c.Folder, "owner.token"))
	<-ctx.Done()
	return s.System.Wait(system.Timeout.Duration())
}
