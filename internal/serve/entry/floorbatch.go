package entry

import (
	"context"
	"slices"
	"sync"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// floorTimeout bounds one question for floors in milliseconds.
const floorTimeout = clock.Second

// floorBatcher batches the questions for floors. While one is on its way, those who
// come meanwhile share the next: an answer serves only askers who came before
// the question was sent, as a read index of Raft does.
type floorBatcher struct {
	// askFunc asks the primary's holder for the floors of several sessions, in
	// their order.
	askFunc func(ctx context.Context, primary document.Server, database string, sessions []string) ([]floor.ReplicationPosition, error)

	mu       sync.Mutex
	pending  map[string]*floorRequest
	inFlight map[string]bool
}

// floorRequest is one batch of askers.
type floorRequest struct {
	sessions []string
	marks    []floor.ReplicationPosition
	err      error
	done     chan struct{}
}

func newFloorBatcher(o Options) *floorBatcher {
	a := &floorBatcher{askFunc: o.FloorsFunc, pending: map[string]*floorRequest{}, inFlight: map[string]bool{}}
	if a.askFunc == nil {
		a.askFunc = askEach(o.FloorFunc)
	}
	return a
}

// requestFloor returns the floor of a session as it was after the call began.
func (a *floorBatcher) requestFloor(ctx context.Context, primary document.Server, database, session string) (floor.ReplicationPosition, error) {
	q, i := a.join(ctx, primary, database, session)
	select {
	case <-ctx.Done():
		return floor.ReplicationPosition{}, ctx.Err()
	case <-q.done:
	}
	if q.err != nil {
		return floor.ReplicationPosition{}, q.err
	}
	return q.marks[i], nil
}

// join adds the session to the question that is sent next.
func (a *floorBatcher) join(ctx context.Context, primary document.Server, database, session string) (*floorRequest, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.pending[primary.Name]
	if q == nil {
		q = &floorRequest{done: make(chan struct{})}
		a.pending[primary.Name] = q
	}
	i := slices.Index(q.sessions, session)
	if i < 0 {
		i = len(q.sessions)
		q.sessions = append(q.sessions, session)
	}
	if !a.inFlight[primary.Name] {
		a.inFlight[primary.Name] = true
		go a.run(context.WithoutCancel(ctx), primary, database)
	}
	return q, i
}

// run sends questions until none waits.
func (a *floorBatcher) run(ctx context.Context, primary document.Server, database string) {
	for {
		q := a.takePending(primary.Name)
		if q == nil {
			return
		}
		bounded, cancel := context.WithTimeout(ctx, floorTimeout.Duration())
		q.marks, q.err = a.askFunc(bounded, primary, database, q.sessions)
		cancel()
		close(q.done)
	}
}

func (a *floorBatcher) takePending(primary string) *floorRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.pending[primary]
	delete(a.pending, primary)
	if q == nil {
		delete(a.inFlight, primary)
	}
	return q
}

type floorFunc func(ctx context.Context, primary document.Server, database, session string) (floor.ReplicationPosition, error)

// askEach asks for several floors one by one, all at the same time.
func askEach(ask floorFunc) func(context.Context, document.Server, string, []string) ([]floor.ReplicationPosition, error) {
	return func(ctx context.Context, primary document.Server, database string, sessions []string) ([]floor.ReplicationPosition, error) {
		marks, errs := make([]floor.ReplicationPosition, len(sessions)), make(chan error, len(sessions))
		for i, session := range sessions {
			go func() {
				var err error
				marks[i], err = ask(ctx, primary, database, session)
				errs <- err
			}()
		}
		var first error
		for range sessions {
			if err := <-errs; err != nil && first == nil {
				first = err
			}
		}
		return marks, first
	}
}
