package try

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/edit"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/system"
)

// TestWithdrawalWithoutEffect edits the accounts without withdrawing the key of a connected
// caller. The trial must not report a time for a withdrawal that took no effect.
func TestWithdrawalWithoutEffect(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	tr, err := newTrial(ctx, Options{Seed: 1, Length: clock.Second, Sessions: 1})
	if err != nil {
		t.Fatal(err)
	}
	c := newCaller(tr, withdrawnAccount, withdrawnAccount.Name)
	defer c.close()
	conn, err := c.connection(ctx, tr.system.VMs[0])
	if err != nil {
		t.Fatal(err)
	}
	text, err := system.AccountsSection(append([]system.Account{sessionAccount, withdrawnAccount}, accounts(competitors)...))
	if err != nil {
		t.Fatal(err)
	}
	waitCtx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	o := edit.Operator{Clock: tr.clock, Token: operatorToken}
	lag, err := o.MeasureWithdrawal(waitCtx, tr.system.VMs[0], document.SectionAccounts, text+"# edited\n", []*pgx.Conn{conn})
	if err == nil {
		t.Error("no error although the key was not withdrawn")
	}
	if diff := cmp.Diff(clock.Millis(0), lag); diff != "" {
		t.Errorf("time of the withdrawal (-want +got):\n%s", diff)
	}
	cancel()
	if err := tr.system.Wait(30 * time.Second); err != nil {
		t.Error(err)
	}
}
