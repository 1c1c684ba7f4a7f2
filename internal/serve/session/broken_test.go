package session

import (
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/broken"
)

// brokenOperation is a write of account acme on its way.
func brokenOperation() *operation {
	s := &session{
		options: Options{Clock: clock.System(), RefundFunc: func(catalog.Account) {}},
		account: catalog.Account{Name: "acme"},
	}
	return s.newOperation(statement.Statement{ID: "w", Kind: statement.Write, Text: "WRITE x 1"})
}

// TestBrokenAccount runs a statement on a connection that was opened for another account.
func TestBrokenAccount(t *testing.T) {
	broken.ExpectViolation(t, invariant.OwnAccount, func() {
		_, _ = brokenOperation().send(&database.PooledConn{}, floor.ReplicationPosition{})
	})
}

// TestBrokenRefusal says of a write that may be running that it did not run.
func TestBrokenRefusal(t *testing.T) {
	broken.ExpectViolation(t, invariant.NotRun, func() {
		r := brokenOperation()
		r.maybeRunning = true
		r.refuseNotRun()
	})
}

// TestBrokenRepeat sends a write again that may be running.
func TestBrokenRepeat(t *testing.T) {
	broken.ExpectViolation(t, invariant.AtMostOnce, func() {
		r := brokenOperation()
		r.session.account = catalog.Account{}
		r.maybeRunning = true
		_, _ = r.send(&database.PooledConn{}, floor.ReplicationPosition{})
	})
}
