package holder

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// MaxSessions is the number of named sessions whose floors a holder stores.
const MaxSessions = 1 << 16

// floors stores the floor of each named session: the position of its last
// write.
type floors struct {
	mu       sync.Mutex
	sessions *lru.LRU[string, floor.ReplicationPosition]
	// base is the floor of every session that is not stored. It is at least the
	// highest floor ever forgotten, so it covers those of all forgotten sessions.
	base floor.ReplicationPosition
}

func newFloors(limit int) *floors {
	f := &floors{}
	f.sessions, _ = lru.NewLRU(limit, func(_ string, m floor.ReplicationPosition) { f.base = f.base.Max(m) })
	return f
}

// record sets the floor of a session to position, unless a higher one is stored. The
// record of a session that is not stored may be late: it has had a floor up to base.
func (f *floors) record(session string, position floor.ReplicationPosition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old, ok := f.sessions.Peek(session)
	if !ok {
		old = f.base
	}
	f.sessions.Add(session, position.Max(old))
}

// reset forgets every session and raises the base to at least the given
// position, so that all sessions have the same floor.
func (f *floors) reset(base floor.ReplicationPosition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sessions.Purge()
	f.base = f.base.Max(base)
}

// get returns the floor of a session.
func (f *floors) get(session string) floor.ReplicationPosition {
	f.mu.Lock()
	defer f.mu.Unlock()
	if position, ok := f.sessions.Get(session); ok {
		return position
	}
	return f.base
}
