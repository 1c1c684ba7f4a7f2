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

// newWriteOperation returns a write of account acme that has not been sent yet.
func newWriteOperation() *operation {
	s := &session{
		options: Options{Clock: clock.System(), RefundFunc: func(catalog.Account) {}, CatalogFunc: func() *catalog.Catalog { return nil }},
		account: catalog.Account{Name: "acme"},
	}
	return s.newOperation(statement.Statement{ID: "w", Kind: statement.Write, Text: "WRITE x 1"})
}

// TestBrokenAccount runs a statement on a connection opened for another account.
func TestBrokenAccount(t *testing.T) {
	broken.ExpectViolation(t, invariant.OwnAccount, func() {
		_, _ = newWriteOperation().send(&database.PooledConn{}, floor.ReplicationPosition{})
	})
}

// TestBrokenRefusal reports a write that may be running as not run.
func TestBrokenRefusal(t *testing.T) {
	broken.ExpectViolation(t, invariant.NotRun, func() {
		op := newWriteOperation()
		op.maybeRunning = true
		op.refuseNotRun()
	})
}

// TestBrokenRepeat sends a write again that may be running.
func TestBrokenRepeat(t *testing.T) {
	broken.ExpectViolation(t, invariant.AtMostOnce, func() {
		op := newWriteOperation()
		// The connection has no account either, so OwnAccount is not violated.
		op.session.account = catalog.Account{}
		op.maybeRunning = true
		_, _ = op.send(&database.PooledConn{}, floor.ReplicationPosition{})
	})
}
