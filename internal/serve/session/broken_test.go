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

// brokenRun is a write of account acme on its way.
func brokenRun() *run {
	s := &session{
		options: Options{Clock: clock.System(), BackFunc: func(catalog.Account) {}},
		account: catalog.Account{Name: "acme"},
	}
	return s.newRun(statement.Statement{ID: "w", Kind: statement.Write, Text: "WRITE x 1"})
}

// TestBrokenAccount runs a statement on a connection that was opened for another account.
func TestBrokenAccount(t *testing.T) {
	broken.Variant(t, invariant.OwnAccount, func() {
		_, _ = brokenRun().send(&database.Held{}, floor.ReplicationPosition{})
	})
}

// TestBrokenRefusal says of a write that may be running that it did not run.
func TestBrokenRefusal(t *testing.T) {
	broken.Variant(t, invariant.NotRun, func() {
		r := brokenRun()
		r.sent = true
		r.notRun()
	})
}

// TestBrokenRepeat sends a write again that may be running.
func TestBrokenRepeat(t *testing.T) {
	broken.Variant(t, invariant.AtMostOnce, func() {
		r := brokenRun()
		r.session.account = catalog.Account{}
		r.sent = true
		_, _ = r.send(&database.Held{}, floor.ReplicationPosition{})
	})
}
