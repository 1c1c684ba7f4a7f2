package memory

import (
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/allowance"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/broken"
)

// TestBrokenSum removes an owner without giving back its bytes.
func TestBrokenSum(t *testing.T) {
	p := NewPool(allowance.NewLimits(16<<20, 64), clock.NewFake(0).Clock())
	o, _ := p.NewOwner(ConnSize, nil)
	delete(p.owners, o)
	broken.ExpectViolation(t, invariant.MemorySum, func() { p.Sweep() })
}
