package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/verifier"
	"github.com/sycamoredoor/sycamoredoor/internal/standin/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/oracle"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/system"
)

// operatorToken is the token of the operator who owns every section.
const operatorToken = "medlar-operator-token"

const operatorsSection = "operators:\n  - {name: shop, sections: [databases, accounts, routes, operators], verifier: %q}\n"

// Options sets how an experiment is run. Seed and Length replace those of the Spec.
type Options struct {
	// Seed seeds the random load.
	Seed uint64
	// Length is how long the load runs, in milliseconds.
	Length clock.Millis
	// ProgressFunc receives lines of progress for a person to read; nil drops them.
	ProgressFunc func(line string)
}

// run is the state of a running experiment.
type run struct {
	spec         Spec
	seed         uint64
	length       clock.Millis
	progressFunc func(format string, args ...any)
	// context ends when the installation is to stop. VMs that a fault starts run on it,
	// since the context of a fault ends with the fault.
	context      context.Context
	clock        clock.Clock
	system       *system.System
	balancer     *balancer
	loads        []*load
	failoverGaps map[string]*oracle.FailoverGap
	counts       counts
	errors       errorTexts
	// longestFailoverGap is set when the load ends, since the gap of a database grows
	// when there are no more writes.
	longestFailoverGap clock.Millis
	// Only the goroutine of injectFaults accesses lags and spareRoutes until it has ended.
	lags        editLags
	spareRoutes int
}

// counts holds the counters of the report.
type counts struct {
	reads, writes, charges, retries, unknownOutcomes, wrongfulRefusals, failures, killedRequests, reconnects, rateLimited atomic.Int64
}

// editLags holds the longest times until an edit took effect, in milliseconds.
type editLags struct{ config, key clock.Millis }

// Run runs an experiment and returns its measurements. It stops the installation
// before it returns. An error means that the installation did not start or stop;
// requirements that were not met are in Report.FailedChecks.
func Run(ctx context.Context, s Spec, o Options) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	violationsBefore := invariant.Violations()
	r, err := start(ctx, s, o)
	if err != nil {
		return Report{}, err
	}
	r.runLoad(ctx)
	report := r.report()
	report.Violations = invariant.Violations() - violationsBefore
	cancel()
	return report, r.system.Wait(system.Timeout.Duration())
}

func start(ctx context.Context, s Spec, o Options) (*run, error) {
	r := &run{spec: s, seed: o.Seed, length: o.Length, context: ctx, clock: clock.System(), failoverGaps: map[string]*oracle.FailoverGap{}}
	r.progressFunc = func(format string, args ...any) {
		if o.ProgressFunc != nil {
			o.ProgressFunc(fmt.Sprintf(format, args...))
		}
	}
	var err error
	r.system, err = system.New(ctx, system.Options{
		Places: s.places(), Databases: s.Databases, RoutesSection: s.routesSection(), Servers: s.Servers.options(),
		Accounts:         append(s.systemAccounts(), withdrawnAccount.systemAccount()),
		OperatorsSection: fmt.Sprintf(operatorsSection, verifier.HashToken(operatorToken)),
	})
	if err != nil {
		return nil, err
	}
	r.balancer = newBalancer(r.system.VMs)
	for _, name := range s.Databases {
		r.failoverGaps[name] = &oracle.FailoverGap{}
	}
	for _, a := range s.Accounts {
		r.loads = append(r.loads, newLoad(r, a))
	}
	return r, nil
}

// places returns the place of each VM, with the zones in turn.
func (s Spec) places() []system.Place {
	var out []system.Place
	for i := range s.VMsPerZone * len(s.Zones) {
		z := s.Zones[i%len(s.Zones)]
		out = append(out, system.Place{Zone: z.Name, Region: z.Region})
	}
	return out
}

func (s Servers) options() backend.Options {
	return backend.Options{Slots: s.Slots, Connections: s.Connections, ConnectTime: s.ConnectTime, ApplyDelay: s.ApplyDelay, StatementTime: time.Duration(s.StatementTime) * time.Microsecond}
}

func (s Spec) systemAccounts() []system.Account {
	var out []system.Account
	for _, a := range s.Accounts {
		out = append(out, a.systemAccount())
	}
	return out
}

// routesSection returns the configuration's section of the routes: for each database
// one for writes, one for reads and one for charges.
func (s Spec) routesSection() string {
	var b strings.Builder
	b.WriteString("routes:\n")
	for _, name := range s.Databases {
		fmt.Fprintf(&b, "  - {name: put-%s, database: %s, kind: write}\n", name, name)
		fmt.Fprintf(&b, "  - {name: get-%s, database: %s, kind: read}\n", name, name)
		fmt.Fprintf(&b, "  - {name: charge-%s, database: %s, kind: write, once: true}\n", name, name)
	}
	return b.String()
}

// runLoad runs the load and the faults, and returns when every request has been
// answered.
func (r *run) runLoad(ctx context.Context) {
	loadCtx, cancel := context.WithTimeout(ctx, r.length.Duration())
	defer cancel()
	var running, watching sync.WaitGroup
	number := 0
	for i, l := range r.loads {
		// The second seed of a session is its number, counted from 1, so the second seeds
		// of the arrivals start far above.
		random := rand.New(rand.NewPCG(r.seed, uint64(1_000_000+i)))
		running.Go(func() { l.generateArrivals(loadCtx, random) })
		for range l.account.Sessions {
			number++
			n := number
			running.Go(func() { l.runSession(ctx, n) })
		}
	}
	running.Go(func() { r.injectFaults(loadCtx) })
	running.Go(func() { <-loadCtx.Done(); r.longestFailoverGap = r.maxFailoverGap() })
	watching.Go(func() { r.reportProgress(loadCtx) })
	running.Wait()
	cancel()
	watching.Wait()
}

// maxFailoverGap returns the longest failover gap over the databases.
func (r *run) maxFailoverGap() clock.Millis {
	longest := clock.Millis(0)
	for _, g := range r.failoverGaps {
		longest = max(longest, g.Length())
	}
	return longest
}

// progressInterval is the time between two lines of progress, in milliseconds.
const progressInterval = 2 * clock.Second

// reportProgress sends a line of progress at each interval until the context ends.
func (r *run) reportProgress(ctx context.Context) {
	begin := r.clock.Now()
	for r.clock.Sleep(ctx, progressInterval) == nil {
		r.progressFunc("%d s of %d: %d reads, %d writes, %d wrongful refusals, %d wrong answers; highest latencies in ms: %s",
			(r.clock.Now()-begin)/clock.Second, r.length/clock.Second, r.counts.reads.Load(), r.counts.writes.Load(),
			r.counts.wrongfulRefusals.Load(), r.counts.failures.Load(), r.maxLatencies())
	}
}

// maxLatencies lists the highest latency of each database since the previous call, in
// milliseconds.
func (r *run) maxLatencies() string {
	highest := map[string]clock.Millis{}
	for _, l := range r.loads {
		highest[l.account.Database] = max(highest[l.account.Database], clock.FromDuration(l.takeMaxLatency()))
	}
	var out []string
	for _, name := range r.spec.Databases {
		out = append(out, fmt.Sprintf("%s %d", name, highest[name]))
	}
	return strings.Join(out, ", ")
}
