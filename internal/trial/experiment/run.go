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

// token is the operator's.
const token = "medlar-operator-token"

const operators = "operators:\n  - {name: shop, sections: [databases, accounts, routes, operators], verifier: %q}\n"

// Options says how a file is run.
type Options struct {
	// Seed makes the load.
	Seed uint64
	// Length is how long the load runs, in milliseconds.
	Length clock.Millis
	// ProgressFunc gets lines for a person while it runs; nil drops them.
	ProgressFunc func(line string)
}

// run is a running experiment.
type run struct {
	file     File
	seed     uint64
	length   clock.Millis
	progress func(format string, args ...any)
	// context lasts until the installation is to stop.
	context context.Context
	clock   clock.Clock
	system  *system.System
	fleet   *fleet
	loads   []*load
	gaps    map[string]*oracle.Gap
	counts  counts
	notes   notes
	// gap is written when the load ends.
	gap clock.Millis
	// lags and spares belong to the goroutine of the faults.
	lags   lags
	spares int
}

type counts struct {
	reads, writes, charges, repeats, unknown, wrongful, wrong, cuts, moves, limited atomic.Int64
}

type lags struct{ config, key clock.Millis }

// Run runs an experiment and reports.
func Run(ctx context.Context, f File, o Options) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := invariant.Violations()
	r, err := start(ctx, f, o)
	if err != nil {
		return Report{}, err
	}
	r.work(ctx)
	report := r.report()
	report.Violations = invariant.Violations() - before
	cancel()
	return report, r.system.Wait(system.Timeout.Duration())
}

func start(ctx context.Context, f File, o Options) (*run, error) {
	r := &run{file: f, seed: o.Seed, length: o.Length, context: ctx, clock: clock.System(), gaps: map[string]*oracle.Gap{}}
	r.progress = func(format string, args ...any) {
		if o.ProgressFunc != nil {
			o.ProgressFunc(fmt.Sprintf(format, args...))
		}
	}
	var err error
	r.system, err = system.New(ctx, system.Options{
		Places: f.places(), Databases: f.Databases, Routes: f.routes(), Servers: f.Servers.options(),
		Accounts:  append(f.accounts(), visitor.configured()),
		Operators: fmt.Sprintf(operators, verifier.HashToken(token)),
	})
	if err != nil {
		return nil, err
	}
	r.fleet = newFleet(r.system.VMs)
	for _, name := range f.Databases {
		r.gaps[name] = &oracle.Gap{}
	}
	for _, a := range f.Accounts {
		r.loads = append(r.loads, newLoad(r, a))
	}
	return r, nil
}

// places puts the VMs into the zones in turn.
func (f File) places() []system.Place {
	var out []system.Place
	for i := range f.VMs * len(f.Zones) {
		z := f.Zones[i%len(f.Zones)]
		out = append(out, system.Place{Zone: z.Name, Region: z.Region})
	}
	return out
}

func (s Servers) options() backend.Options {
	return backend.Options{Slots: s.Slots, Connections: s.Connections, ConnectTime: s.Connect, ApplyDelay: s.Lag, StatementTime: time.Duration(s.Work) * time.Microsecond}
}

func (f File) accounts() []system.Account {
	var out []system.Account
	for _, a := range f.Accounts {
		out = append(out, a.configured())
	}
	return out
}

// routes is the section of that name.
func (f File) routes() string {
	var b strings.Builder
	b.WriteString("routes:\n")
	for _, name := range f.Databases {
		fmt.Fprintf(&b, "  - {name: put-%s, database: %s, kind: write}\n", name, name)
		fmt.Fprintf(&b, "  - {name: get-%s, database: %s, kind: read}\n", name, name)
		fmt.Fprintf(&b, "  - {name: charge-%s, database: %s, kind: write, once: true}\n", name, name)
	}
	return b.String()
}

// work runs the load and the faults until the last answer has come.
func (r *run) work(ctx context.Context) {
	loading, cancel := context.WithTimeout(ctx, r.length.Duration())
	defer cancel()
	var running, watching sync.WaitGroup
	number := 0
	for i, l := range r.loads {
		random := rand.New(rand.NewPCG(r.seed, uint64(1_000_000+i)))
		running.Go(func() { l.offer(loading, random) })
		for range l.account.Sessions {
			number++
			n := number
			running.Go(func() { l.serve(ctx, n) })
		}
	}
	running.Go(func() { r.happen(loading) })
	running.Go(func() { <-loading.Done(); r.gap = r.longestGap() })
	watching.Go(func() { r.watch(loading) })
	running.Wait()
	cancel()
	watching.Wait()
}

// longestGap is the longest over the databases that lost their primary.
func (r *run) longestGap() clock.Millis {
	longest := clock.Millis(0)
	for _, g := range r.gaps {
		longest = max(longest, g.Length())
	}
	return longest
}

// lookPause is the time between two lines of progress in milliseconds.
const lookPause = 2 * clock.Second

// watch says how far the run is.
func (r *run) watch(ctx context.Context) {
	begin := r.clock.Now()
	for r.clock.Sleep(ctx, lookPause) == nil {
		r.progress("%d s of %d: %d reads, %d writes, %d wrongful refusals, %d wrong answers; highest latencies in ms: %s",
			(r.clock.Now()-begin)/clock.Second, r.length/clock.Second, r.counts.reads.Load(), r.counts.writes.Load(),
			r.counts.wrongful.Load(), r.counts.wrong.Load(), r.latencies())
	}
}

// latencies returns the highest latency of each database since the last look.
func (r *run) latencies() string {
	highest := map[string]clock.Millis{}
	for _, l := range r.loads {
		highest[l.account.Database] = max(highest[l.account.Database], clock.FromDuration(l.look()))
	}
	var out []string
	for _, name := range r.file.Databases {
		out = append(out, fmt.Sprintf("%s %d", name, highest[name]))
	}
	return strings.Join(out, ", ")
}
