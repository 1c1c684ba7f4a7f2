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

// operatorToken is the operator's.
const operatorToken = "medlar-operator-token"

const routesSection = `routes:
  - {name: box, database: orders, kind: write}
  - {name: list, database: orders, kind: read}
`

const operatorsSection = `operators:
  - {name: shop, sections: [databases, accounts, routes, operators], verifier: %q}
`

// The client accounts of a trial, beside those of the crowd.
var (
	// sessionAccount is the account of the sessions.
	sessionAccount = system.Account{Name: "counter", Key: "medlar-jelly", Rate: 10_000, Burst: 10_000, Weight: 1}
	// withdrawnAccount is the account whose key is withdrawn.
	withdrawnAccount = system.Account{Name: "visitor", Key: "quince-jelly", Rate: 10_000, Burst: 10_000, Weight: 1}
)

// StartSystem starts the installation that a trial runs on.
func StartSystem(ctx context.Context, o Options) (*system.System, error) {
	return system.New(ctx, system.Options{
		Places: []system.Place{
			{Zone: "abbotsford", Region: "mainland"},
			{Zone: "chilliwack", Region: "mainland"},
			{Zone: "kelowna", Region: "okanagan"},
		},
		Databases:        []string{database},
		Servers:          backend.Options{Slots: 3, Connections: 20, ConnectTime: 12, StatementTime: 5 * time.Millisecond, ApplyDelay: 100},
		Accounts:         append([]system.Account{sessionAccount, withdrawnAccount}, accounts(competitors)...),
		RoutesSection:    routesSection,
		OperatorsSection: fmt.Sprintf(operatorsSection, verifier.HashToken(operatorToken)),
		ExchangeFunc:     o.ExchangeFunc,
	})
}

// trial is a running load.
type trial struct {
	options          Options
	clock            clock.Clock
	system           *system.System
	reads            atomic.Int64
	writes           atomic.Int64
	wrongAnswers     atomic.Int64
	wrongfulRefusals atomic.Int64
	unknownOutcomes  atomic.Int64
	failoverGap      oracle.FailoverGap
	mu               sync.Mutex
	lags             editLags
	worstServedShare float64
	errors           []string
}

func newTrial(ctx context.Context, o Options) (*trial, error) {
	s, err := StartSystem(ctx, o)
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
	t.runLoad(ctx)
	r := t.report()
	r.Violations = invariant.Violations() - before
	cancel()
	return r, t.system.Wait(system.Timeout.Duration())
}

// The parts of the load's length, in tenths, at which its events begin.
const (
	failoverTenth    = 2
	contentionTenth  = 6
	contentionTenths = 3
	editTenth        = 7
)

// waitForTenth waits for a part of the load's length and reports whether it has come.
func (t *trial) waitForTenth(ctx context.Context, tenth clock.Millis) bool {
	return t.clock.Sleep(ctx, t.options.Length*tenth/10) == nil
}

func (t *trial) runLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, t.options.Length.Duration())
	defer cancel()
	var running sync.WaitGroup
	for _, part := range []func(context.Context){t.forceFailover, t.runCompetitors, t.editConfiguration} {
		running.Go(func() { part(ctx) })
	}
	for i := range t.options.Sessions {
		running.Go(func() { t.runSession(ctx, i) })
	}
	running.Wait()
}

// recordRefusal counts an error, unless the trial is over.
func (t *trial) recordRefusal(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	t.wrongfulRefusals.Add(1)
	t.addError(err.Error())
}

// maxErrors is the number of failures kept for the report.
const maxErrors = 5

func (t *trial) addError(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.errors) < maxErrors {
		t.errors = append(t.errors, text)
	}
}
