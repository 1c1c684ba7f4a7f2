package entry

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// maxSessionFloors is the number of named sessions whose floors a VM remembers.
const maxSessionFloors = 16384

// sessionFloors holds the latest position that each named session has read or
// written through this VM, so that its reads through this VM never see an earlier
// state, whichever connection they use. A session without an entry may have been
// evicted, so it gets the highest floor of all evicted sessions of its database.
type sessionFloors struct {
	mu     sync.Mutex
	floors *simplelru.LRU[sessionKey, floor.ReplicationPosition]
	// evictedFloors holds the highest floor of the evicted sessions, by database.
	evictedFloors map[string]floor.ReplicationPosition
}

type sessionKey struct {
	database string
	session  string
}

// newSessionFloors returns floors for at most size sessions. The size must be
// positive, or NewLRU fails.
func newSessionFloors(size int) *sessionFloors {
	f := &sessionFloors{evictedFloors: map[string]floor.ReplicationPosition{}}
	f.floors, _ = simplelru.NewLRU(size, func(k sessionKey, position floor.ReplicationPosition) {
		f.evictedFloors[k.database] = f.evictedFloors[k.database].Max(position)
	})
	return f
}

// floor returns the lowest position that a read of the session may see. It is zero
// for requests without a named session.
func (f *sessionFloors) floor(database, session string) floor.ReplicationPosition {
	if session == "" {
		return floor.ReplicationPosition{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	position, ok := f.floors.Get(sessionKey{database: database, session: session})
	if !ok {
		return f.evictedFloors[database]
	}
	return position
}

// raise raises the floor of the session to a position that it has seen.
func (f *sessionFloors) raise(database, session string, position floor.ReplicationPosition) {
	if session == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	k := sessionKey{database: database, session: session}
	old, ok := f.floors.Get(k)
	if !ok {
		old = f.evictedFloors[database]
	}
	f.floors.Add(k, old.Max(position))
}
