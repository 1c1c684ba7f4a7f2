package try

import (
	"context"

	"github.com/jackc/pgx/v5"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/edit"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/system"
)

// editLags holds the times from an operator's edit to its effect, in milliseconds.
type editLags struct {
	config clock.Millis
	key    clock.Millis
}

const spareRoute = "  - {name: spare, database: orders, kind: read}\n"

// editConfiguration adds a route and then withdraws a key, under load, and records how
// long each took.
func (t *trial) editConfiguration(ctx context.Context) {
	if !t.waitForTenth(ctx, editTenth) {
		return
	}
	o := edit.Operator{Clock: t.clock, Token: operatorToken}
	config, err := o.MeasureChange(ctx, t.system.VMs, document.SectionRoutes, routesSection+spareRoute)
	if err != nil {
		t.recordRefusal(ctx, err)
		return
	}
	key, err := t.withdrawKey(ctx, o)
	if err != nil {
		t.recordRefusal(ctx, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lags = editLags{config: config, key: key}
}

// withdrawKey connects a caller of withdrawnAccount to every VM, withdraws the account's
// key and returns the time until every connection has received the error for a withdrawn
// key, in milliseconds.
func (t *trial) withdrawKey(ctx context.Context, o edit.Operator) (clock.Millis, error) {
	c := newCaller(t, withdrawnAccount, withdrawnAccount.Name)
	defer c.close()
	var conns []*pgx.Conn
	for _, v := range t.system.VMs {
		conn, err := c.connection(ctx, v)
		if err != nil {
			return 0, err
		}
		conns = append(conns, conn)
	}
	text, err := system.AccountsSection(append([]system.Account{sessionAccount}, accounts(competitors)...))
	if err != nil {
		return 0, err
	}
	return o.MeasureWithdrawal(ctx, t.system.VMs[0], document.SectionAccounts, text, conns)
}
