package frontend

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

const (
	// stopPause is the pause between two looks at the sessions that are left.
	stopPause = clock.Millis(50)
	// stopMargin is left of the grace for the end of the process.
	stopMargin = clock.Millis(500)
)

// Stop takes the VM out of service: it is not ready from here on, sessions end
// after their operation, and it returns once none is left or the grace is over.
func (f *Frontend) Stop() {
	f.stopping.Store(true)
	c := f.options.Clock
	end := c.Now() + f.options.Grace - stopMargin
	for c.Now() < end && f.open.Load() > 0 {
		_ = c.Sleep(context.Background(), stopPause)
	}
	f.options.Log.Info("sessions left at the end of the planned stop", "count", f.open.Load())
}
