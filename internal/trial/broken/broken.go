// Package broken lets a test run a variant of the program that breaks a promise,
// to show that the program's own check catches it.
package broken

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
)

// violationPanic is what ends a variant at its first violation.
type violationPanic struct{}

// ExpectViolation runs f up to its first violation, which must be of the named promise.
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

func runUntilViolation(f func()) {
	defer func() {
		if v := recover(); v != nil && v != (violationPanic{}) {
			panic(v)
		}
	}()
	f()
}
