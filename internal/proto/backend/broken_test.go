package backend

import (
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/broken"
)

// TestBrokenOwners checks that the use of a connection by two transactions, or without
// an owner, is reported as a violation.
func TestBrokenOwners(t *testing.T) {
	ownedConn := func() *Conn {
		c := &Conn{}
		c.Acquire(1)
		return c
	}
	broken.ExpectViolation(t, invariant.OneTransaction, func() { ownedConn().Acquire(2) })
	broken.ExpectViolation(t, invariant.OneTransaction, func() { ownedConn().Release(2) })
	broken.ExpectViolation(t, invariant.OneTransaction, func() { _ = ownedConn().Write(2, nil) })
	broken.ExpectViolation(t, invariant.OneTransaction, func() { (&Conn{}).Release(0) })
}

// TestBrokenParameters checks that a startup parameter that is not in allowedParameters
// is reported as a violation.
func TestBrokenParameters(t *testing.T) {
	saved := allowedParameters
	defer func() { allowedParameters = saved }()
	allowedParameters = []string{"user", "database"}
	broken.ExpectViolation(t, invariant.NoKeys, func() { _, _ = connConfig(Options{Address: "127.0.0.1:5432"}) })
}
