package entry

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// maxSessionFloors is the number of named sessions whose floors a VM remembers.
const maxSessionFloors = 16384

// sessionFloors remembers what named sessions have read or written through this VM,
// so that their reads never go back here, on whichever connection. A session
// that was forgotten gets the highest floor that was.
type sessionFloors struct {
	mu      sync.Mutex
	floors  *simplelru.LRU[sessionKey, floor.ReplicationPosition]
	evicted map[string]floor.ReplicationPosition
}

type sessionKey struct {
	database string
	session  string
}

func newSessionFloors(size int) *sessionFloors {
	r := &sessionFloors{evicted: map[string]floor.ReplicationPosition{}}
	r.floors, _ = simplelru.NewLRU(size, func(k sessionKey, m floor.ReplicationPosition) {
		r.evicted[k.database] = r.evicted[k.database].Max(m)
	})
	return r
}

// floor returns the lowest state that the session may read.
func (r *sessionFloors) floor(database, session string) floor.ReplicationPosition {
	if session == "" {
		return floor.ReplicationPosition{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.floors.Get(sessionKey{database: database, session: session})
	if !ok {
		return r.evicted[database]
	}
	return m
}

// raise takes in what the session has seen.
func (r *sessionFloors) raise(database, session string, m floor.ReplicationPosition) {
	if session == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	k := sessionKey{database: database, session: session}
	old, ok := r.floors.Get(k)
	if !ok {
		old = r.evicted[database]
	}
	r.floors.Add(k, old.Max(m))
}
