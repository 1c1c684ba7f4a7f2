package experiment

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/vm"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	"github.com/sycamoredoor/sycamoredoor/internal/standin/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/edit"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/system"
)

const (
	// pollInterval is the pause between two checks for a new primary, in milliseconds.
	pollInterval = 5 * clock.Millis(1)
	// faultTimeout bounds one fault, including the waits for its effect, in milliseconds.
	faultTimeout = 30 * clock.Second
)

// injectFaults injects the faults of the spec in their order. A fault that is due
// while another lasts starts after it.
func (r *run) injectFaults(ctx context.Context) {
	begin := r.clock.Now()
	for _, fault := range r.spec.Faults {
		wait := begin + r.length*clock.Millis(fault.AtPercent)/100 - r.clock.Now()
		if r.clock.Sleep(ctx, max(wait, 0)) != nil {
			r.recordFailure("the fault %s at %d %% did not come about: the run was over", fault.Kind, fault.AtPercent)
			continue
		}
		r.progressFunc("fault: %s %s%s", fault.Kind, fault.Database, fault.VM)
		faultCtx, cancel := context.WithTimeout(ctx, faultTimeout.Duration())
		if err := r.injectFault(faultCtx, fault); err != nil {
			r.recordFailure("the fault %s at %d %% failed: %v", fault.Kind, fault.AtPercent, err)
		}
		cancel()
	}
}

// injectFault injects one fault and returns when it has ended or, for a change of
// the configuration, when the change has taken effect. For "storelossy" it returns at
// once; the fault lasts until its answers are lost.
func (r *run) injectFault(ctx context.Context, fault Fault) error {
	switch fault.Kind {
	case "isolate":
		return r.losePrimary(ctx, fault, func(g *backend.Group, s *backend.Server, lost bool) { edit.SetIsolated(g, s, lost) })
	case "down":
		return r.losePrimary(ctx, fault, func(_ *backend.Group, s *backend.Server, lost bool) { s.SetDown(lost) })
	case "storedown":
		r.system.Platform.SetDown(true)
		defer r.system.Platform.SetDown(false)
		return r.clock.Sleep(ctx, fault.Duration)
	case "storelossy":
		r.system.Platform.LoseWriteAnswers(fault.LostAnswers)
		return nil
	case "stop", "kill", "replace":
		return r.removeVM(ctx, fault)
	case "withdraw":
		return r.withdrawKey(ctx)
	}
	return r.addRoute(ctx) // "edit"
}

// losePrimary keeps the primary of a database faulty until another server is primary,
// and for the fault's duration after that.
func (r *run) losePrimary(ctx context.Context, fault Fault, setFaultFunc func(*backend.Group, *backend.Server, bool)) error {
	g := r.system.Groups[fault.Database]
	formerPrimary := g.Primary()
	r.failoverGaps[fault.Database].RecordPrimaryLoss()
	setFaultFunc(g, formerPrimary, true)
	defer setFaultFunc(g, formerPrimary, false)
	for g.Primary() == formerPrimary {
		if err := r.clock.Sleep(ctx, pollInterval); err != nil {
			return errors.Wrap(err, "no other server became the primary")
		}
	}
	return r.clock.Sleep(ctx, fault.Duration)
}

// removeVM drains or kills a VM, or drains it after starting its replacement.
func (r *run) removeVM(ctx context.Context, fault Fault) error {
	v := r.balancer.find(fault.VM)
	self := v.Self()
	if fault.Kind == "replace" {
		place := system.Place{Zone: self.Zone, Region: self.Region}
		replacement, err := r.system.StartVM(r.context, "new"+fault.VM, place)
		if err != nil {
			return err
		}
		if err := r.system.WaitReady(ctx); err != nil {
			return err
		}
		r.balancer.add(replacement)
	}
	r.balancer.remove(v, fault.Kind == "kill")
	if fault.Kind == "kill" {
		r.system.KillVM(self.Name)
		return nil
	}
	return r.system.DrainVM(ctx, self.Name)
}

// addRoute adds a route and measures the time until every VM acts on it.
func (r *run) addRoute(ctx context.Context) error {
	r.spareRoutes++
	section := r.spec.routesSection()
	for n := range r.spareRoutes {
		section += fmt.Sprintf("  - {name: spare-%d, database: %s, kind: read}\n", n, r.spec.Databases[0])
	}
	lag, err := r.operator().MeasureChange(ctx, r.balancer.activeVMs(), document.SectionRoutes, section)
	r.lags.config = max(r.lags.config, lag)
	return err
}

// withdrawnAccount is the account whose key the fault "withdraw" withdraws. It has
// no load.
var withdrawnAccount = Account{Name: "visitor", Rate: 1000, Burst: 1000, Weight: 1}

// withdrawKey connects a caller of withdrawnAccount to every VM, withdraws the
// account's key and measures the time until every connection has received the error for
// a withdrawn key.
func (r *run) withdrawKey(ctx context.Context) error {
	a := withdrawnAccount
	a.Database = r.spec.Databases[0]
	c := r.newCaller(a, a.Name, nil)
	defer c.close()
	var conns []*pgx.Conn
	vms := r.balancer.activeVMs()
	for _, v := range vms {
		conn, err := c.connection(ctx, v)
		if err != nil {
			return err
		}
		conns = append(conns, conn)
	}
	lag, err := r.withdrawKeyThrough(ctx, vms[0], conns)
	r.lags.key = max(r.lags.key, lag)
	return err
}

// withdrawKeyThrough withdraws the key of withdrawnAccount through a VM: it replaces the
// accounts section by one without the account. It returns the time until every connection
// has received the error for a withdrawn key, in milliseconds.
func (r *run) withdrawKeyThrough(ctx context.Context, v *vm.VM, conns []*pgx.Conn) (clock.Millis, error) {
	text, err := system.AccountsSection(r.spec.systemAccounts())
	if err != nil {
		return 0, err
	}
	return r.operator().MeasureWithdrawal(ctx, v, document.SectionAccounts, text, conns)
}

func (r *run) operator() edit.Operator { return edit.Operator{Clock: r.clock, Token: operatorToken} }
