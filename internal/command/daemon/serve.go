package daemon

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/logs"
	"github.com/sycamoredoor/sycamoredoor/internal/base/trace"
	"github.com/sycamoredoor/sycamoredoor/internal/core/pace"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/caller"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/platform"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/vm"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/reload"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/settings"
)

// platformTimeout bounds a request to the platform in milliseconds.
const platformTimeout = 2 * clock.Second

// drainTimeout bounds the drain of a planned stop in milliseconds. Requests that are
// still running after it are interrupted.
const drainTimeout = 30 * clock.Second

// traceTimeout bounds the export of the last spans in milliseconds.
const traceTimeout = 2 * clock.Second

type serveCommand struct {
	logOut   io.Writer
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"Settings file of this VM"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	s, err := settings.Read(c.Settings)
	if err != nil {
		return err
	}
	logger, err := logs.New(c.logOut, logs.Options{Level: s.Log.Level, JSON: s.Log.JSON})
	if err != nil {
		return err
	}
	bootstrap, err := s.Operators.BootstrapToken()
	if err != nil {
		return err
	}
	k := newTLSKeys(s)
	w, err := reload.New(k.fileSets, logger)
	if err != nil {
		return err
	}
	signaled, stopSignals := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stopSignals()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	o := vmOptions(s, k, logger)
	o.BootstrapToken = bootstrap
	o.Peers = s.Peers
	o.Trace, err = trace.New(ctx, trace.Options{VM: s.Name, Exporter: s.Trace.To, URL: s.Trace.URL, SampleRatio: s.Trace.SampleRatio}, os.Stdout)
	if err != nil {
		return err
	}
	v, err := vm.Start(ctx, o)
	if err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	go w.Run(ctx, hangups, clock.System())
	logger.Info("serving", "vm", s.Name, "callers", v.Address(), "operators", v.OperatorURL())
	<-signaled.Done()
	stopSignals()
	drain(v, logger)
	stop()
	<-v.Done()
	<-w.Done()
	closeTrace(o)
	logger.Info("stopped", "vm", s.Name)
	return nil
}

// drain takes the VM out of service within drainTimeout. The caller must stop catching
// signals before, so that a second signal ends the process at once.
func drain(v *vm.VM, logger *log.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout.Duration())
	defer cancel()
	if err := v.Drain(ctx); err != nil {
		logger.Warn("the planned stop was not complete", "err", err)
	}
}

// closeTrace exports the last spans.
func closeTrace(o vm.Options) {
	ctx, cancel := context.WithTimeout(context.Background(), traceTimeout.Duration())
	defer cancel()
	if err := o.Trace.Close(ctx); err != nil {
		o.Log.Warn("the last spans were not sent", "err", err)
	}
}

func vmOptions(s settings.Settings, k *tlsKeys, logger *log.Logger) vm.Options {
	return vm.Options{
		Name: s.Name, Zone: s.Zone, Region: s.Region, Listen: s.ListenAddress, Inner: s.InnerAddress, Operator: s.OperatorAddress,
		User: s.Backend.User, Password: s.Backend.Password, Keyring: k.keyring, TLS: k.callers, OperatorTLS: k.operators,
		Store: platform.NewStore(s.PlatformURL, platformTimeout), Clock: clock.System(), Log: logger,
		MaxCallers: s.Callers.MaxConnections, IdleTimeout: s.Callers.IdleInTransactionTimeout,
		Limits: caller.Limits{MaxMessage: s.Callers.MaxMessageSize, StartupTimeout: s.Callers.StartupTimeout, WriteTimeout: s.Callers.WriteTimeout},
		Link:   pace.Link{Rate: float64(s.Link.Rate), Burst: float64(s.Link.Burst)},
	}
}
