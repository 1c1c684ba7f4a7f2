package entry

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

const (
	// confirmTimeout is how long a request waits for the VM to confirm its
	// configuration, for example after a pause of the VM, before it is refused,
	// in milliseconds.
	confirmTimeout = 2 * clock.Second
	// confirmInterval is the pause between two checks in milliseconds.
	confirmInterval = 20 * clock.Millis(1)
)

// document returns the configuration that the VM may act on. While there is
// none it waits up to confirmTimeout, and then returns a refusal.
func (e *Entry) document(ctx context.Context) (*document.Document, error) {
	if d := e.options.DocumentFunc(); d != nil {
		return d, nil
	}
	deadline := e.options.Clock.Now() + confirmTimeout
	for e.options.Clock.Now() < deadline && e.options.Clock.Sleep(ctx, confirmInterval) == nil {
		if d := e.options.DocumentFunc(); d != nil {
			return d, nil
		}
	}
	return nil, outcome.Refuse(outcome.ReasonUnconfirmed, codeCannotConnect, "the VM cannot confirm that its configuration is in force")
}
