package frontend

import (
	"context"
	"net"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/memory"
)

// sweepInterval is the pause between two calls of memory.Pool.Sweep, in milliseconds.
const sweepInterval = clock.Millis(250)

// accept accepts callers' connections and serves each in its own goroutine until the context ends. It
// continues after an error, such as a lack of descriptors.
func (f *Frontend) accept(ctx context.Context) {
	for {
		c, err := f.listener.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.options.Log.Warn("accepting a caller's connection failed", "err", err)
			_, _ = f.options.Memory.EvictForDescriptor()
			_ = f.options.Clock.Sleep(ctx, errorRetryDelay)
			continue
		}
		m, ok := f.admitCaller(c)
		if !ok {
			f.refusedCallers.Inc()
			_ = c.Close()
			continue
		}
		f.openConns.Add(1)
		f.spawn(func() { f.serve(ctx, c, m) })
	}
}

// admitCaller returns the owner of the memory of a new connection, or false if it must be closed.
// At the limit of descriptors another connection is closed for it.
func (f *Frontend) admitCaller(c net.Conn) (*memory.Owner, bool) {
	if !f.options.Memory.AdmitCaller() {
		return nil, false
	}
	return f.options.Memory.NewOwner(memory.ConnSize, func() { _ = c.Close() })
}

// sweepCallers closes the connections of callers that take too long, or that are stalled while memory is
// short. It logs one line for all connections that a sweep closes.
func (f *Frontend) sweepCallers(ctx context.Context) {
	refused := f.refusedCallers.Get()
	for f.options.Clock.Sleep(ctx, sweepInterval) == nil {
		if closed := f.options.Memory.Sweep(); len(closed) > 0 {
			f.options.Log.Warn("callers' connections closed", "count", len(closed), "reason", closed[0].Reason,
				"phase", closed[0].Phase.String(), "open", f.openConns.Load())
		}
		if n := f.refusedCallers.Get(); n > refused {
			f.options.Log.Warn("callers' connections refused", "count", n-refused, "open", f.openConns.Load())
			refused = n
		}
	}
}
