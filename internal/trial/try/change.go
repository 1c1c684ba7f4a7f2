package try

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/edit"
)

const (
	// healPause is how long the former primary stays isolated after the change.
	healPause = 500 * clock.Millis(1)
	pollPause = 5 * clock.Millis(1)
)

// changePrimary isolates the primary of the first database in the middle of the
// load, and ends the isolation once there is another.
func (t *trial) changePrimary(ctx context.Context) {
	if !t.at(ctx, changeTenth) {
		return
	}
	g := t.system.Groups[database]
	old := g.Primary()
	t.gap.Begin()
	edit.Isolate(g, old, true)
	defer edit.Isolate(g, old, false)
	for g.Primary() == old {
		if t.clock.Sleep(ctx, pollPause) != nil {
			return
		}
	}
	_ = t.clock.Sleep(ctx, healPause)
}
