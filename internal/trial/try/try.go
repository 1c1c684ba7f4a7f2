// Package try runs the main job on embedded stand-ins: three VMs, one database
// group, the platform, and a short mixed load whose every answer is checked
// against an oracle.
package try

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/verifier"
	"github.com/sycamoredoor/sycamoredoor/internal/standin/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/oracle"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/system"
)

// Options sizes a trial.
type Options struct {
	// Seed makes the load.
	Seed uint64
	// Length is how long the load runs, in milliseconds.
	Length clock.Millis
	// Sessions is the number of callers, each in a named session of its own that
	// roams between the VMs.
	Sessions int
	// ExchangeFunc, unless nil, stands between the entry proxies and the holders,
	// so that tests can force a fault that the oracle has to see.
	ExchangeFunc func(inner.Exchange) inner.Exchange
}

// database is the only database of a trial.
const database = "orders"

// token is the operator's.
const token = "medlar-operator-token"

const routes = `routes:
  - {name: box, database: orders, kind: write}
  - {name: list, database: orders, kind: read}
`

const operators = `operators:
  - {name: shop, sections: [databases, accounts, routes, operators], verifier: %q}
`

// The client accounts of a trial, beside those of the crowd.
var (
	// counter is the account of the sessions.
	counter = system.Account{Name: "counter", Key: "medlar-jelly", Rate: 10_000, Burst: 10_000, Weight: 1}
	// visitor is the account whose key is withdrawn.
	visitor = system.Account{Name: "visitor", Key: "quince-jelly", Rate: 10_000, Burst: 10_000, Weight: 1}
)

// Start starts the installation that a trial runs on.
func Start(ctx context.Context, o Options) (*system.System, error) {
	return system.New(ctx, system.Options{
		Places: []system.Place{
			{Zone: "abbotsford", Region: "mainland"},
			{Zone: "chilliwack", Region: "mainland"},
			{Zone: "kelowna", Region: "okanagan"},
		},
		Databases:    []string{database},
		Servers:      backend.Options{Slots: 3, Connections: 20, ConnectTime: 12, StatementTime: 5 * time.Millisecond, ApplyDelay: 100},
		Accounts:     append([]system.Account{counter, visitor}, accountsOf(crowds)...),
		Routes:       routes,
		Operators:    fmt.Sprintf(operators, verifier.HashToken(token)),
		ExchangeFunc: o.ExchangeFunc,
	})
}

// trial is a running load.
type trial struct {
	options  Options
	clock    clock.Clock
	system   *system.System
	reads    atomic.Int64
	writes   atomic.Int64
	wrong    atomic.Int64
	refused  atomic.Int64
	unknown  atomic.Int64
	gap      oracle.Gap
	mu       sync.Mutex
	lags     lags
	worst    float64
	failures []string
}

func newTrial(ctx context.Context, o Options) (*trial, error) {
	s, err := Start(ctx, o)
	return &trial{options: o, clock: clock.System(), system: s}, err
}

// Run starts an installation, loads it and reports.
func Run(ctx context.Context, o Options) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t, err := newTrial(ctx, o)
	if err != nil {
		return Report{}, err
	}
	before := invariant.Violations()
	t.load(ctx)
	r := t.report()
	r.Violations = invariant.Violations() - before
	cancel()
	return r, t.system.Wait(system.Timeout.Duration())
}

// The parts of the load's length, in tenths, at which its events begin.
const (
	changeTenth = 2
	crowdTenth  = 6
	crowdTenths = 3
	editTenth   = 7
)

// at waits for a part of the load's length and reports whether it has come.
func (t *trial) at(ctx context.Context, tenth clock.Millis) bool {
	return t.clock.Sleep(ctx, t.options.Length*tenth/10) == nil
}

func (t *trial) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, t.options.Length.Duration())
	defer cancel()
	var running sync.WaitGroup
	for _, part := range []func(context.Context){t.changePrimary, t.crowd, t.edit} {
		running.Go(func() { part(ctx) })
	}
	for i := range t.options.Sessions {
		running.Go(func() { t.session(ctx, i) })
	}
	running.Wait()
}

// fail counts an error, unless the trial is over.
func (t *trial) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	t.refused.Add(1)
	t.note(err.Error())
}

// maxNotes is the number of failures kept for the report.
const maxNotes = 5

func (t *trial) note(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.failures) < maxNotes {
		t.failures = append(t.failures, text)
	}
}
