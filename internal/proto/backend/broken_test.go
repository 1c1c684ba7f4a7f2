package backend

import (
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/broken"
)

// TestBrokenOwners shares a connection between two transactions.
func TestBrokenOwners(t *testing.T) {
	owned := func() *Conn {
		c := &Conn{}
		c.Acquire(1)
		return c
	}
	broken.ExpectViolation(t, invariant.OneTransaction, func() { owned().Acquire(2) })
	broken.ExpectViolation(t, invariant.OneTransaction, func() { owned().Release(2) })
	broken.ExpectViolation(t, invariant.OneTransaction, func() { _ = owned().Write(2, nil) })
	broken.ExpectViolation(t, invariant.OneTransaction, func() { (&Conn{}).Release(0) })
}

// TestBrokenParameters has a startup parameter that is not on the list.
func TestBrokenParameters(t *testing.T) {
	saved := allowedParameters
	defer func() { allowedParameters = saved }()
	allowedParameters = []string{"user", "database"}
	broken.ExpectViolation(t, invariant.NoKeys, func() { _, _ = connConfig(Options{Address: "127.0.0.1:5432"}) })
}
