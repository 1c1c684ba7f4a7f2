package try

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/edit"
)

const (
	// healDelay is how long the former primary stays isolated after the change.
	healDelay    = 500 * clock.Millis(1)
	pollInterval = 5 * clock.Millis(1)
)

// forceFailover isolates the primary of the first database in the middle of the
// load, and ends the isolation once there is another.
func (t *trial) forceFailover(ctx context.Context) {
	if !t.waitForTenth(ctx, failoverTenth) {
		return
	}
	g := t.system.Groups[database]
	old := g.Primary()
	t.failoverGap.PrimaryLost()
	edit.SetIsolated(g, old, true)
	defer edit.SetIsolated(g, old, false)
	for g.Primary() == old {
		if t.clock.Sleep(ctx, pollInterval) != nil {
			return
		}
	}
	_ = t.clock.Sleep(ctx, healDelay)
}
