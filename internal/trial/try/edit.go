package try

import (
	"context"

	"github.com/jackc/pgx/v5"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/edit"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/system"
)

// lags are the times from an operator's edit to its effect, in milliseconds.
type lags struct {
	config clock.Millis
	key    clock.Millis
}

const spareRoute = "  - {name: spare, database: orders, kind: read}\n"

// edit changes the configuration and then withdraws a key, under the load.
func (t *trial) edit(ctx context.Context) {
	if !t.at(ctx, editTenth) {
		return
	}
	o := edit.Operator{Clock: t.clock, Token: token}
	config, err := o.Change(ctx, t.system.VMs, document.SectionRoutes, routes+spareRoute)
	if err != nil {
		t.fail(ctx, err)
		return
	}
	key, err := t.withdraw(ctx, o)
	if err != nil {
		t.fail(ctx, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lags = lags{config: config, key: key}
}

// withdraw withdraws the key of callers that are connected to every VM and waits
// until the last of them is cut.
func (t *trial) withdraw(ctx context.Context, o edit.Operator) (clock.Millis, error) {
	k := newCaller(t, visitor, visitor.Name)
	defer k.close()
	var conns []*pgx.Conn
	for _, v := range t.system.VMs {
		conn, err := k.connection(ctx, v)
		if err != nil {
			return 0, err
		}
		conns = append(conns, conn)
	}
	text, err := system.AccountsSection(append([]system.Account{counter}, accountsOf(crowds)...))
	if err != nil {
		return 0, err
	}
	return o.Withdraw(ctx, t.system.VMs[0], document.SectionAccounts, text, conns)
}
