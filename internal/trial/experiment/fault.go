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
	pollPause = 5 * clock.Millis(1)
	// maxFault bounds what a fault waits for, in milliseconds.
	maxFault = 30 * clock.Second
)

// happen brings about the faults of the file, one after the other where they
// would overlap.
func (r *run) happen(ctx context.Context) {
	begin := r.clock.Now()
	for _, f := range r.file.Faults {
		wait := begin + r.length*clock.Millis(f.At)/100 - r.clock.Now()
		if r.clock.Sleep(ctx, max(wait, 0)) != nil {
			r.wrong("the fault %s at %d %% did not come about: the run was over", f.Kind, f.At)
			continue
		}
		r.progress("fault: %s %s%s", f.Kind, f.Database, f.VM)
		bounded, cancel := context.WithTimeout(ctx, maxFault.Duration())
		if err := r.fault(bounded, f); err != nil {
			r.wrong("the fault %s at %d %% failed: %v", f.Kind, f.At, err)
		}
		cancel()
	}
}

func (r *run) fault(ctx context.Context, f Fault) error {
	switch f.Kind {
	case "isolate":
		return r.lose(ctx, f, func(g *backend.Group, s *backend.Server, lost bool) { edit.Isolate(g, s, lost) })
	case "down":
		return r.lose(ctx, f, func(_ *backend.Group, s *backend.Server, lost bool) { s.SetDown(lost) })
	case "storedown":
		r.system.Platform.SetDown(true)
		defer r.system.Platform.SetDown(false)
		return r.clock.Sleep(ctx, f.For)
	case "storelossy":
		r.system.Platform.LoseWriteAnswers(f.Answers)
		return nil
	case "stop", "kill", "replace":
		return r.removeVM(ctx, f)
	case "withdraw":
		return r.withdraw(ctx)
	}
	return r.edit(ctx)
}

// lose takes the primary of a database away until there is another, and a while
// longer.
func (r *run) lose(ctx context.Context, f Fault, set func(*backend.Group, *backend.Server, bool)) error {
	g := r.system.Groups[f.Database]
	old := g.Primary()
	r.gaps[f.Database].Begin()
	set(g, old, true)
	defer set(g, old, false)
	for g.Primary() == old {
		if err := r.clock.Sleep(ctx, pollPause); err != nil {
			return errors.Wrap(err, "no other primary was chosen")
		}
	}
	return r.clock.Sleep(ctx, f.For)
}

// removeVM stops a VM as planned, kills it, or replaces it by another.
func (r *run) removeVM(ctx context.Context, f Fault) error {
	v := r.fleet.find(f.VM)
	self := v.Self()
	if f.Kind == "replace" {
		place := system.Place{Zone: self.Zone, Region: self.Region}
		next, err := r.system.StartVM(r.context, "new"+f.VM, place)
		if err != nil {
			return err
		}
		if err := r.system.WaitReady(ctx); err != nil {
			return err
		}
		r.fleet.add(next)
	}
	r.fleet.remove(v, f.Kind == "kill")
	if f.Kind == "kill" {
		r.system.KillVM(self.Name)
		return nil
	}
	return r.system.LeaveVM(ctx, self.Name)
}

// edit adds a route and measures until every VM acts on it.
func (r *run) edit(ctx context.Context) error {
	r.spares++
	text := r.file.routes()
	for n := range r.spares {
		text += fmt.Sprintf("  - {name: spare-%d, database: %s, kind: read}\n", n, r.file.Databases[0])
	}
	lag, err := r.operator().Change(ctx, r.fleet.serving(), document.SectionRoutes, text)
	r.lags.config = max(r.lags.config, lag)
	return err
}

// visitor is an account without load, whose key is withdrawn.
var visitor = Account{Name: "visitor", Rate: 1000, Burst: 1000, Weight: 1}

// withdraw withdraws the visitor's key and measures until its callers at every
// VM are cut.
func (r *run) withdraw(ctx context.Context) error {
	a := visitor
	a.Database = r.file.Databases[0]
	c := r.newCaller(a, a.Name, nil)
	defer c.close()
	var conns []*pgx.Conn
	vms := r.fleet.serving()
	for _, v := range vms {
		conn, err := c.connection(ctx, v)
		if err != nil {
			return err
		}
		conns = append(conns, conn)
	}
	lag, err := r.withdrawFrom(ctx, vms[0], conns)
	r.lags.key = max(r.lags.key, lag)
	return err
}

func (r *run) withdrawFrom(ctx context.Context, v *vm.VM, conns []*pgx.Conn) (clock.Millis, error) {
	text, err := system.AccountsSection(r.file.accounts())
	if err != nil {
		return 0, err
	}
	return r.operator().Withdraw(ctx, v, document.SectionAccounts, text, conns)
}

func (r *run) operator() edit.Operator { return edit.Operator{Clock: r.clock, Token: token} }
