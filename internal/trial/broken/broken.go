// Package broken helps tests show that an invariant check detects a violation: they
// run code that breaks the invariant on purpose.
package broken

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
)

// violationPanic is the panic value that ends the code under test at its first violation.
type violationPanic struct{}

// ExpectViolation runs f up to its first violation and fails the test unless that is
// a violation of the named invariant. f must violate it on the calling goroutine, since
// a panic on another would end the test program.
func ExpectViolation(t testing.TB, name invariant.Name, f func()) {
	t.Helper()
	got := invariant.Name("none")
	restore := invariant.SetHandler(func(n invariant.Name, _ string) {
		got = n
		panic(violationPanic{})
	})
	defer restore()
	runUntilViolation(f)
	if diff := cmp.Diff(name, got); diff != "" {
		t.Errorf("violation (-want +got):\n%s", diff)
	}
}

// runUntilViolation runs f and recovers from violationPanic only.
func runUntilViolation(f func()) {
	defer func() {
		if v := recover(); v != nil && v != (violationPanic{}) {
			panic(v)
		}
	}()
	f()
}
