package try

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/edit"
)

const (
	// healDelay is how long the former primary stays isolated after the failover, in
	// milliseconds.
	healDelay    = 500 * clock.Millis(1)
	pollInterval = 5 * clock.Millis(1)
)

// forceFailover isolates the primary during the load, and ends the isolation healDelay
// after another server became the primary.
func (t *trial) forceFailover(ctx context.Context) {
	if !t.waitForTenth(ctx, failoverTenth) {
		return
	}
	g := t.system.Groups[database]
	formerPrimary := g.Primary()
	t.failoverGap.RecordPrimaryLoss()
	edit.SetIsolated(g, formerPrimary, true)
	defer edit.SetIsolated(g, formerPrimary, false)
	for g.Primary() == formerPrimary {
		if t.clock.Sleep(ctx, pollInterval) != nil {
			return
		}
	}
	_ = t.clock.Sleep(ctx, healDelay)
}
