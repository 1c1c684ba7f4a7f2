package database

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/tenure"
)

// TestFewRenewWithRelays guards against proofs that all holders of a group renew, since none learns of the others' in time.
func TestFewRenewWithRelays(t *testing.T) {
	relays := false
	g := (&fakeGroup{}).group(t, 4)
	g.options.UsesRelaysFunc = func() bool { return relays }
	ages := func() (out []clock.Millis) {
		for rank := range 6 {
			out = append(out, g.renewAge(rank))
		}
		return out
	}
	if diff := cmp.Diff([]clock.Millis{400, 520, 640, 760, 760, 760}, ages()); diff != "" {
		t.Errorf("ages without relays (-want +got):\n%s", diff)
	}
	relays = true
	if diff := cmp.Diff([]clock.Millis{400, 520, 880, 880, 880, 880}, ages()); diff != "" {
		t.Errorf("ages with relays (-want +got):\n%s", diff)
	}
	if relayedReserveAge >= tenure.Lease {
		t.Errorf("the reserves probe %d ms after a proof, when its lease of %d ms is over", relayedReserveAge, tenure.Lease)
	}
}
