// Package try runs a short trial of the proxy on embedded stand-ins: three VMs, one
// database group, the platform, and a mixed load whose every answer is checked against
// an oracle.
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
	// Seed seeds the random load.
	Seed uint64
	// Length is how long the load runs, in milliseconds.
	Length clock.Millis
	// Sessions is the number of callers, each in a named session of its own and with
	// requests to random VMs.
	Sessions int
	// ExchangeFunc, unless nil, wraps each exchange between an entry proxy and a holder,
	// so that tests can force faults that the oracle must detect.
	ExchangeFunc func(inner.Exchange) inner.Exchange
}

// database is the only database of a trial.
const database = "orders"

// operatorToken is the token of the operator who owns every section.
const operatorToken = "medlar-operator-token"

const routesSection = `routes:
  - {name: box, database: orders, kind: write}
  - {name: list, database: orders, kind: read}
`

const operatorsSection = `operators:
  - {name: shop, sections: [databases, accounts, routes, operators], verifier: %q}
`

// The client accounts of a trial, besides those of the competitors.
var (
	// sessionAccount is the account of the sessions.
	sessionAccount = system.Account{Name: "counter", Key: "medlar-jelly", Rate: 10_000, Burst: 10_000, Weight: 1}
	// withdrawnAccount is the account whose key is withdrawn.
	withdrawnAccount = system.Account{Name: "visitor", Key: "quince-jelly", Rate: 10_000, Burst: 10_000, Weight: 1}
)

// StartSystem starts the installation that a trial runs on. It runs until ctx ends.
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

// trial is the state of a running trial.
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
	// mu guards the fields below while the load runs.
	mu               sync.Mutex
	lags             editLags
	worstServedShare float64
	errors           []string
}

func newTrial(ctx context.Context, o Options) (*trial, error) {
	s, err := StartSystem(ctx, o)
	return &trial{options: o, clock: clock.System(), system: s}, err
}

// Run starts an installation, puts it under load with a failover, competing accounts
// and edits, and returns the measurements. It stops the installation before it returns.
func Run(ctx context.Context, o Options) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t, err := newTrial(ctx, o)
	if err != nil {
		return Report{}, err
	}
	violationsBefore := invariant.Violations()
	t.runLoad(ctx)
	r := t.report()
	r.Violations = invariant.Violations() - violationsBefore
	cancel()
	return r, t.system.Wait(system.Timeout.Duration())
}

// The times at which the events of a trial begin, and the length of the contention, in
// tenths of the load's length.
const (
	failoverTenth          = 2
	contentionTenth        = 6
	contentionLengthTenths = 3
	editTenth              = 7
)

// waitForTenth waits for a number of tenths of the load's length and reports whether
// they passed before the context ended.
func (t *trial) waitForTenth(ctx context.Context, tenth clock.Millis) bool {
	return t.clock.Sleep(ctx, t.options.Length*tenth/10) == nil
}

// runLoad runs the sessions and the events for the load's length.
func (t *trial) runLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, t.options.Length.Duration())
	defer cancel()
	var running sync.WaitGroup
	for _, eventFunc := range []func(context.Context){t.forceFailover, t.runCompetitors, t.editConfiguration} {
		running.Go(func() { eventFunc(ctx) })
	}
	for i := range t.options.Sessions {
		running.Go(func() { t.runSession(ctx, i) })
	}
	running.Wait()
}

// recordRefusal counts an error as a wrongful refusal, unless ctx has ended.
func (t *trial) recordRefusal(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	t.wrongfulRefusals.Add(1)
	t.addError(err.Error())
}

// maxErrors is the number of error texts kept for the report; later ones are dropped.
const maxErrors = 5

func (t *trial) addError(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.errors) < maxErrors {
		t.errors = append(t.errors, text)
	}
}
