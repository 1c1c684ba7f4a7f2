package entry

import (
	"context"
	"slices"
	"sync"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// floorTimeout bounds one request for floors in milliseconds.
const floorTimeout = clock.Second

// floorBatcher batches requests for the floors of sessions. Sessions that join
// while a request to a holder is in flight share the next one: an answer serves
// only sessions that joined before the request was sent, as a read index of Raft
// does.
type floorBatcher struct {
	// floorsFunc returns the floors of several sessions from the primary's holder,
	// in their order.
	floorsFunc func(ctx context.Context, primary document.Server, database string, sessions []string) ([]floor.ReplicationPosition, error)

	mu sync.Mutex
	// pending holds the next request to the holder of each primary, and inFlight
	// marks the primaries whose run has not ended, both by the server's name. A
	// server belongs to one database, so the sessions of a request do too.
	pending  map[string]*floorRequest
	inFlight map[string]bool
}

// floorRequest is one batch of sessions whose floors are requested together.
type floorRequest struct {
	sessions []string
	// positions holds the floors in the order of sessions. It and err are set
	// once done is closed.
	positions []floor.ReplicationPosition
	err       error
	done      chan struct{}
}

func newFloorBatcher(o Options) *floorBatcher {
	f := &floorBatcher{floorsFunc: o.FloorsFunc, pending: map[string]*floorRequest{}, inFlight: map[string]bool{}}
	if f.floorsFunc == nil {
		f.floorsFunc = newFloorsFunc(o.FloorFunc)
	}
	return f
}

// requestFloor returns the floor of a session as of a time after the call
// began.
func (f *floorBatcher) requestFloor(ctx context.Context, primary document.Server, database, session string) (floor.ReplicationPosition, error) {
	q, i := f.join(ctx, primary, database, session)
	select {
	case <-ctx.Done():
		return floor.ReplicationPosition{}, ctx.Err()
	case <-q.done:
	}
	if q.err != nil {
		return floor.ReplicationPosition{}, q.err
	}
	return q.positions[i], nil
}

// join adds the session to the next request to the primary's holder. It returns
// the request and the session's index in it.
func (f *floorBatcher) join(ctx context.Context, primary document.Server, database, session string) (*floorRequest, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := f.pending[primary.Name]
	if q == nil {
		q = &floorRequest{done: make(chan struct{})}
		f.pending[primary.Name] = q
	}
	i := slices.Index(q.sessions, session)
	if i < 0 {
		i = len(q.sessions)
		q.sessions = append(q.sessions, session)
	}
	if !f.inFlight[primary.Name] {
		f.inFlight[primary.Name] = true
		// The request serves other sessions too, so it must not end with ctx.
		go f.run(context.WithoutCancel(ctx), primary, database)
	}
	return q, i
}

// run sends requests until none is pending.
func (f *floorBatcher) run(ctx context.Context, primary document.Server, database string) {
	for {
		q := f.takePending(primary.Name)
		if q == nil {
			return
		}
		timeoutCtx, cancel := context.WithTimeout(ctx, floorTimeout.Duration())
		q.positions, q.err = f.floorsFunc(timeoutCtx, primary, database, q.sessions)
		cancel()
		close(q.done)
	}
}

// takePending removes the next request to the primary's holder and returns it, or
// nil when there is none and run must end.
func (f *floorBatcher) takePending(primary string) *floorRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := f.pending[primary]
	delete(f.pending, primary)
	if q == nil {
		delete(f.inFlight, primary)
	}
	return q
}

// floorFunc is the type of Options.FloorFunc.
type floorFunc func(ctx context.Context, primary document.Server, database, session string) (floor.ReplicationPosition, error)

// newFloorsFunc returns a function that calls f for each session, concurrently. It
// waits for all calls and returns the first error.
func newFloorsFunc(f floorFunc) func(context.Context, document.Server, string, []string) ([]floor.ReplicationPosition, error) {
	return func(ctx context.Context, primary document.Server, database string, sessions []string) ([]floor.ReplicationPosition, error) {
		positions, errs := make([]floor.ReplicationPosition, len(sessions)), make(chan error, len(sessions))
		for i, session := range sessions {
			go func() {
				var err error
				positions[i], err = f(ctx, primary, database, session)
				errs <- err
			}()
		}
		var first error
		for range sessions {
			if err := <-errs; err != nil && first == nil {
				first = err
			}
		}
		return positions, first
	}
}
